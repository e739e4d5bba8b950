#include "quincebank/placement/patience.h"

#include <algorithm>

namespace quincebank {
namespace {

// Patience with a silent upstream, in latency objectives, and at most this part of the time left.
constexpr int kObjectives = 2;
constexpr int kPartOfTimeLeft = 2;
// Clients give a stream up after a gap of eight gap objectives or two seconds.
constexpr int kGapObjectives = 8;
constexpr milliseconds kLeastGap{800};
// A short burst is over after some hundred milliseconds.
constexpr milliseconds kWhenFull{400};
// Time that a group takes to form again, beside the stall.
constexpr milliseconds kFormTime{600};

}  // namespace

milliseconds FirstBytePatience(const route_rule& route,
                               milliseconds left,
                               bool may_follow) noexcept {
  if (!may_follow || !route.MayRepeat())
    return left;
  return std::min(route.latency_objective * kObjectives, left / kPartOfTimeLeft);
}

milliseconds GapPatience(const route_rule& route, milliseconds left, bool may_follow) noexcept {
  if (!may_follow || !route.MayRepeat())
    return left;
  return std::min(left, std::max(route.event_gap_objective * kGapObjectives, kLeastGap));
}

milliseconds RetryAfter(placement_obstacle obstacle,
                        attempt_outcome last,
                        milliseconds stall) noexcept {
  const bool gone = obstacle == placement_obstacle::kNoUpstream ||
                    last == attempt_outcome::kStalled || last == attempt_outcome::kReplaced ||
                    last == attempt_outcome::kUnreachable;
  return gone ? stall + kFormTime : kWhenFull;
}

}  // namespace quincebank
