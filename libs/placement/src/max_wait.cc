#include "quincebank/placement/max_wait.h"

#include <algorithm>

namespace quincebank {
namespace {

// Part of the latency objective that a request waits for room before it is rejected.
constexpr int kMaxWaitDivisor = 2;
// A predicted turn must be later than the longest wait by this factor: a request that is rejected
// although there would have been room loses more than one that has waited in vain.
constexpr int kEstimateMargin = 2;

}  // namespace

milliseconds MaxWait(const route_rule& route,
                     const capacity_outlook& outlook,
                     milliseconds time_left,
                     time_point now) noexcept {
  const milliseconds max_wait =
      std::max(std::min(route.latency_objective / kMaxWaitDivisor, time_left), milliseconds(0));
  if (outlook.obstacle == placement_obstacle::kNoUpstream ||
      outlook.available_at >= now + max_wait || outlook.queue_wait > max_wait * kEstimateMargin)
    return milliseconds(0);
  return max_wait;
}

}  // namespace quincebank
