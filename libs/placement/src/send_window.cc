#include "quincebank/placement/send_window.h"

#include <algorithm>
#include <cmath>

namespace quincebank {
namespace {

// Requests of two windows may arrive within one second if the network delays the first ones.
constexpr milliseconds kWindow{1'150};

}  // namespace

send_limit ShareOfColdLimit(double per_second, std::size_t entries) noexcept {
  if (per_second <= 0)
    return {};
  const double share = per_second / static_cast<double>(std::max<std::size_t>(entries, 1));
  if (share >= 1)
    return {static_cast<std::size_t>(share), kWindow};
  const double windows = std::ceil(1 / share);
  return {1, milliseconds(static_cast<std::int64_t>(windows * kWindow.count()))};
}

bool send_window::Allows(const send_limit& limit, time_point now) const noexcept {
  if (limit.requests == 0 || sent_.size() < limit.requests)
    return true;
  return now - sent_[sent_.size() - limit.requests] >= limit.window;
}

void send_window::OnSend(const send_limit& limit, time_point now) {
  if (limit.requests == 0)
    return;
  sent_.push_back(now);
  while (sent_.size() > limit.requests)
    sent_.pop_front();
}

}  // namespace quincebank
