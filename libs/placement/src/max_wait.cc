#include "quincebank/placement/max_wait.h"

#include <algorithm>

namespace quincebank {
namespace {

// A request waits for capacity for at most the latency objective divided by this.
constexpr int kMaxWaitDivisor = 2;
// A request is rejected only if its estimated wait exceeds the maximum by this factor: a rejection
// although there would have been capacity costs more than a wait in vain.
constexpr int kEstimateMargin = 2;

}  // namespace

milliseconds MaxWait(const route_rule& route,
                     const capacity_outlook& outlook,
                     milliseconds time_left,
                     time_point now) noexcept {
  const bool forming = outlook.obstacle == placement_obstacle::kForming;
  const milliseconds max_wait =
      std::max(std::min(route.latency_objective / kMaxWaitDivisor, time_left), milliseconds(0));
  if (outlook.obstacle == placement_obstacle::kNoUpstream ||
      outlook.available_at >= now + max_wait ||
      (!forming && outlook.queue_wait > max_wait * kEstimateMargin))
    return milliseconds(0);
  return max_wait;
}

}  // namespace quincebank
