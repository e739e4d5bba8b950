#include "quincebank/scenario/event_loop.h"

#include <algorithm>
#include <utility>

namespace quincebank::scenario {
namespace {
constexpr time_point kClockStart{seconds(1000)};
}
event_loop::event_loop(std::uint64_t seed) : random_(seed), now_(kClockStart) {}

wall_time event_loop::wall() const noexcept {
  return kScenarioStart + std::chrono::duration_cast<wall_time::duration>(now_ - kClockStart);
}

nanoseconds event_loop::Between(nanoseconds low, nanoseconds high) noexcept {
  return low + nanoseconds(random_.Below(static_cast<std::uint64_t>((high - low).count()) + 1));
}

void event_loop::Start(const std::string& node) {
  node_state& state = nodes_[node];
  ++state.life;
  state.alive = true;
  state.paused_until = now_;
}

void event_loop::Kill(const std::string& node) {
  nodes_[node].alive = false;
}

void event_loop::Pause(const std::string& node, milliseconds span) {
  time_point& until = nodes_[node].paused_until;
  until = std::max(until, now_ + span);
}

bool event_loop::Alive(const std::string& node) const {
  const auto found = nodes_.find(node);
  return found != nodes_.end() && found->second.alive;
}

std::uint64_t event_loop::Life(const std::string& node) const {
  const auto found = nodes_.find(node);
  return found == nodes_.end() ? 0 : found->second.life;
}

void event_loop::After(nanoseconds delay, const std::string& node, task work) {
  AfterInLife(delay, node, Life(node), std::move(work));
}

void event_loop::AfterInLife(nanoseconds delay,
                             const std::string& node,
                             std::uint64_t life,
                             task work) {
  events_.push({now_ + delay, next_order_++, node, life, std::move(work)});
}

bool event_loop::Step(time_point limit) {
  if (events_.empty() || events_.top().at > limit) {
    now_ = std::max(now_, limit);
    return false;
  }
  event next = events_.top();
  events_.pop();
  now_ = std::max(now_, next.at);
  const node_state& state = nodes_[next.node];
  if (next.life != 0 && (!state.alive || next.life != state.life))
    return true;
  if (state.alive && state.paused_until > now_) {
    next.at = state.paused_until;
    events_.push(std::move(next));
    return true;
  }
  next.work();
  return true;
}

}  // namespace quincebank::scenario
