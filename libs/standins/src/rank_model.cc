#include "rank_model.h"

#include <algorithm>

namespace quincebank {

bool rank_model::Execute(const rank_order& order, bool checks_fencing) {
  if (checks_fencing && order.fence < fence_)
    return false;
  fence_ = std::max(fence_, order.fence);
  if (order.kind == "stage") {
    epoch_state& entry = epochs_[order.epoch];
    entry.staged = true;
    entry.map = order.map;
    entry.shares = order.shares;
    return true;
  }
  if (order.kind == "hold") {
    if (order.step < next_step_)
      return false;
    epochs_[order.epoch].hold = order.step;
    return true;
  }
  if (order.kind == "commit") {
    const auto found = epochs_.find(order.epoch);
    if (found == epochs_.end() || !found->second.staged)
      return false;
    pending_ = order.epoch;
    pending_step_ = order.step;
    pending_map_ = found->second.map;
    pending_shares_ = found->second.shares;
    epochs_.erase(found);
    return true;
  }
  epochs_.erase(order.epoch);
  return true;
}

bool rank_model::MayStart(std::uint64_t step) const noexcept {
  return std::none_of(epochs_.begin(), epochs_.end(), [step](const auto& entry) {
    return entry.second.hold && step >= *entry.second.hold;
  });
}

void rank_model::StartStep() {
  if (pending_ != 0 && next_step_ >= pending_step_) {
    active_ = pending_;
    active_map_ = pending_map_;
    active_shares_ = pending_shares_;
    active_since_ = next_step_;
    pending_ = 0;
  }
  ++next_step_;
}

}  // namespace quincebank
