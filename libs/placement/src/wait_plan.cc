#include "quincebank/placement/wait_plan.h"

#include <algorithm>

namespace quincebank {
namespace {

// Part of the latency objective that a request waits for room before it is rejected.
constexpr int kWaitShare = 2;
// A predicted turn must be later than the longest wait by this factor: a request that is rejected
// although there would have been room loses more than one that has waited in vain.
constexpr int kDoubt = 2;

}  // namespace

milliseconds LongestWait(const route_rule& route,
                         const room_outlook& outlook,
                         milliseconds left,
                         time_point now) noexcept {
  const milliseconds most =
      std::max(std::min(route.latency_objective / kWaitShare, left), milliseconds(0));
  if (outlook.obstacle == placement_obstacle::kNoUpstream || outlook.opens >= now + most ||
      outlook.turn_wait > most * kDoubt)
    return milliseconds(0);
  return most;
}

}  // namespace quincebank
