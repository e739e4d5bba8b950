#include "switch_explorer.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "quincebank/base/random.h"

namespace quincebank::test {
namespace {

struct key {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  [[nodiscard]] bool operator==(const key&) const noexcept = default;
};

struct key_hash {
  [[nodiscard]] std::size_t operator()(const key& k) const noexcept {
    return static_cast<std::size_t>(k.low);
  }
};

key KeyOf(std::string_view text) {
  key k{0x243f6a8885a308d3ULL, 0x13198a2e03707344ULL};
  for (std::size_t i = 0; i < text.size(); i += 8) {
    std::uint64_t word = text.size();
    for (const char c : text.substr(i, 8))
      word = (word << 8U) | static_cast<unsigned char>(c);
    k.high = Mix64(k.high ^ word) + 0x9e3779b97f4a7c15ULL;
    k.low = Mix64(k.low + (word * 0xd1342543de82ef95ULL)) ^ (k.low >> 7U);
  }
  return k;
}

bool Settled(const world& w, const limits& bounds) {
  for (int r = 0; r < bounds.ranks; ++r) {
    const rank_model& rank = w.ranks[r];
    if (rank.lost)
      continue;
    const agent_state& state = rank.agent.state();
    const bool rests = state.phase == agent_phase::kIdle || state.phase == agent_phase::kSettling;
    if (!rests || state.asking != 0 || state.reading || !rank.orders.empty())
      return false;
    if (!rank.engine.View().epochs.empty())
      return false;
  }
  return true;
}

bool UsesNewMap(const world& w) {
  return w.last_map != 0;
}

bool Aborted(const world& w) {
  return std::any_of(w.records.begin() + 2, w.records.end(), [](const switch_decision& record) {
    return record.epoch != 0 && record.verdict == switch_verdict::kAbort;
  });
}

class explorer {
 public:
  explorer(const limits& bounds, const protocol& rules) : bounds_(bounds), rules_(rules) {}

  exploration Run(std::size_t max_states) {
    Visit(FirstWorld(bounds_, rules_), 0, "start");
    while (!frontier_.empty() && found_.violation.empty()) {
      if (seen_.size() > max_states)
        return std::move(found_);
      const auto [index, current] = std::move(frontier_.front());
      frontier_.pop_front();
      for (successor& step : Successors(current, bounds_, rules_)) {
        ++found_.transitions;
        const std::uint32_t next = Visit(std::move(step.next), index, step.event);
        edges_.emplace_back(next, index);
        if (!found_.violation.empty())
          break;
      }
    }
    found_.complete = found_.violation.empty();
    if (found_.complete)
      FindStuck();
    return std::move(found_);
  }

 private:
  struct origin {
    std::uint32_t parent;
    std::uint16_t event;
  };

  std::uint32_t Visit(world w, std::uint32_t parent, const std::string& event) {
    Canonical(w);
    const auto [at, is_new] =
        seen_.try_emplace(KeyOf(text_), static_cast<std::uint32_t>(seen_.size()));
    if (!is_new)
      return at->second;
    const auto name =
        names_.try_emplace(event, static_cast<std::uint16_t>(names_.size())).first->second;
    origins_.push_back({parent, name});
    settled_.push_back(Settled(w, bounds_));
    ++found_.states;
    found_.new_map_used += UsesNewMap(w) ? 1 : 0;
    found_.new_map_after_reboot += w.reboots > 0 && UsesNewMap(w) ? 1 : 0;
    found_.aborted += Aborted(w) ? 1 : 0;
    if (!w.violation.empty()) {
      found_.violation = w.violation;
      found_.trace = Trace(at->second);
    }
    frontier_.emplace_back(at->second, std::move(w));
    return at->second;
  }

  /// Sets `text_` to the smallest encoding over all orders of the ranks: the protocol treats ranks
  /// alike, so states that differ only in their order have the same future.
  void Canonical(const world& w) {
    std::array<std::uint8_t, kMaxRanks> order{0, 1, 2};
    text_.clear();
    w.Encode(text_, bounds_, order);
    while (std::next_permutation(order.begin(), order.begin() + bounds_.ranks)) {
      other_.clear();
      w.Encode(other_, bounds_, order);
      if (other_ < text_)
        std::swap(text_, other_);
    }
  }

  [[nodiscard]] std::vector<std::string> Trace(std::uint32_t index) const {
    std::vector<std::string> texts(names_.size());
    for (const auto& [text, name] : names_)
      texts[name] = text;
    std::vector<std::string> trace;
    for (; index != 0; index = origins_[index].parent)
      trace.push_back(texts[origins_[index].event]);
    std::reverse(trace.begin(), trace.end());
    return trace;
  }

  /// Marks all states from which a settled state can be reached, against the direction of events.
  void FindStuck() {
    std::sort(edges_.begin(), edges_.end());
    std::vector<std::uint32_t> open;
    for (std::uint32_t i = 0; i < settled_.size(); ++i) {
      if (settled_[i])
        open.push_back(i);
    }
    while (!open.empty()) {
      const std::uint32_t target = open.back();
      open.pop_back();
      auto edge = std::lower_bound(edges_.begin(), edges_.end(),
                                   std::pair<std::uint32_t, std::uint32_t>(target, 0));
      for (; edge != edges_.end() && edge->first == target; ++edge) {
        if (settled_[edge->second])
          continue;
        settled_[edge->second] = true;
        open.push_back(edge->second);
      }
    }
    for (std::uint32_t i = 0; i < settled_.size(); ++i) {
      if (settled_[i])
        continue;
      if (found_.stuck++ == 0)
        found_.stuck_trace = Trace(i);
    }
  }

  const limits& bounds_;
  const protocol& rules_;
  exploration found_;
  std::string text_;
  std::string other_;
  std::unordered_map<key, std::uint32_t, key_hash> seen_;
  std::unordered_map<std::string, std::uint16_t> names_;
  std::vector<origin> origins_;
  std::vector<bool> settled_;
  std::vector<std::pair<std::uint32_t, std::uint32_t>> edges_;  // Target, source.
  std::deque<std::pair<std::uint32_t, world>> frontier_;
};

}  // namespace

exploration Explore(const limits& bounds, const protocol& rules, std::size_t max_states) {
  return explorer(bounds, rules).Run(max_states);
}

}  // namespace quincebank::test
