#include "quincebank/scenario/network.h"

#include <algorithm>
#include <utility>

namespace quincebank::scenario {
namespace {
constexpr nanoseconds kMinLatency = std::chrono::microseconds(300);
constexpr nanoseconds kMaxLatency = std::chrono::microseconds(2000);
}  // namespace

void network::SetLate(std::uint64_t per_mille, milliseconds delay) {
  late_per_mille_ = per_mille;
  late_by_ = delay;
}

void network::Send(const message_route& route, event_loop::task deliver, event_loop::task refused) {
  const link used = Link(route.from, route.to);
  if (broken_.contains(route.channel))
    return;
  if (cuts_.contains(used)) {
    Break(route.channel);
    return;
  }
  nanoseconds delay = loop_.Between(kMinLatency, kMaxLatency);
  if (loop_.random().Below(1000) < late_per_mille_)
    delay += loop_.Between(nanoseconds(0), late_by_);
  if (route.channel != 0) {
    time_point& last = last_delivery_[route.channel];
    last = std::max(last, loop_.now() + delay);
    delay = last - loop_.now();
  }
  const std::uint64_t from_life = loop_.Life(route.from);
  loop_.AfterInLife(
      delay, route.to, route.to_life,
      [this, used, route, from_life, deliver = std::move(deliver), refused = std::move(refused)] {
        if (broken_.contains(route.channel))
          return;
        if (cuts_.contains(used))
          Break(route.channel);
        else if (loop_.Alive(route.to))
          deliver();
        else if (refused)
          loop_.AfterInLife(kMinLatency, route.from, from_life, refused);
      });
}

// A connection that lost a message delivers nothing after it.
void network::Break(std::uint64_t channel) {
  if (channel != 0)
    broken_.insert(channel);
}

}  // namespace quincebank::scenario
