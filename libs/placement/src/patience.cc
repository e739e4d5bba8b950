#include "quincebank/placement/patience.h"

#include <algorithm>

namespace quincebank {
namespace {

// Patience with a silent upstream, in latency objectives, and at most this part of the time left.
constexpr int kObjectives = 2;
constexpr int kPartOfTimeLeft = 2;
// Passes of its group until the first event of a request that has to wait for a slot.
constexpr int kPasses = 10;
// Clients give a stream up after a gap of eight gap objectives or two seconds.
constexpr int kGapObjectives = 8;
constexpr milliseconds kLeastGap{800};
// When a service is full: in latency objectives, and at least the time of a few plain requests.
constexpr int kFullObjectives = 2;
constexpr milliseconds kLeastWhenFull{300};
// Cold upstreams take some requests in each second.
constexpr milliseconds kWhenRateLimited{1'000};
// While the configuration is not known: in ages of the process.
constexpr int kStartAges = 2;
constexpr milliseconds kLeastWhenStarting{700};
constexpr milliseconds kMostWhenStarting{4'000};
// Time that a group takes to form again, beside the stall.
constexpr milliseconds kFormTime{600};

}  // namespace

milliseconds FirstBytePatience(const route_rule& route,
                               milliseconds left,
                               bool may_follow,
                               nanoseconds pass_time) noexcept {
  if (!may_follow || !route.MayRepeat())
    return left;
  const auto passes = std::chrono::duration_cast<milliseconds>(pass_time * kPasses);
  return std::min(std::max(route.latency_objective * kObjectives, passes), left / kPartOfTimeLeft);
}

milliseconds GapPatience(const route_rule& route, milliseconds left, bool may_follow) noexcept {
  if (!may_follow || !route.MayRepeat())
    return left;
  return std::min(left, std::max(route.event_gap_objective * kGapObjectives, kLeastGap));
}

milliseconds RetryAfterStart(milliseconds age) noexcept {
  return std::clamp(age * kStartAges, kLeastWhenStarting, kMostWhenStarting);
}

milliseconds RetryAfter(const route_rule& route,
                        placement_obstacle obstacle,
                        attempt_outcome last,
                        milliseconds stall) noexcept {
  const bool gone = obstacle == placement_obstacle::kNoUpstream ||
                    last == attempt_outcome::kStalled || last == attempt_outcome::kReplaced ||
                    last == attempt_outcome::kUnreachable;
  if (gone)
    return stall + kFormTime;
  if (obstacle == placement_obstacle::kRateLimited)
    return kWhenRateLimited;
  return std::max(route.latency_objective * kFullObjectives, kLeastWhenFull);
}

}  // namespace quincebank
