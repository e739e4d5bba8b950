#include "quincebank/placement/attempt_timeouts.h"

#include <algorithm>

namespace quincebank {
namespace {

// First-byte timeout in latency objectives, and its upper bound as a divisor of the time left.
constexpr int kFirstByteObjectives = 2;
constexpr int kTimeLeftDivisor = 2;
// Passes of the group until the first event of a request that has to wait for a slot.
constexpr int kFirstBytePasses = 10;
// Stream idle timeout, in event gap objectives. Clients abandon a stream after a gap of eight
// objectives or two seconds.
constexpr int kGapObjectives = 8;
constexpr milliseconds kMinIdleTimeout{800};
// Retry-After of a full service, in latency objectives; at least the time of a few plain requests.
constexpr int kFullRetryObjectives = 2;
constexpr milliseconds kMinFullRetry{300};
// Retry-After of a rate-limited service: cold upstreams take some requests per second.
constexpr milliseconds kRateLimitedRetry{1'000};
// Retry-After while the configuration is not loaded, as a multiple of the age of the process.
constexpr int kStartupAges = 2;
constexpr milliseconds kMinStartupRetry{700};
constexpr milliseconds kMaxStartupRetry{4'000};
// Time in which a group forms again, after the stall.
constexpr milliseconds kGroupFormationTime{600};

}  // namespace

milliseconds FirstByteTimeout(const route_rule& route,
                              milliseconds time_left,
                              bool retry_allowed,
                              nanoseconds pass_time) noexcept {
  if (!retry_allowed || !route.MayRetry())
    return time_left;
  const auto passes = std::chrono::duration_cast<milliseconds>(pass_time * kFirstBytePasses);
  return std::min(std::max(route.latency_objective * kFirstByteObjectives, passes),
                  time_left / kTimeLeftDivisor);
}

milliseconds StreamIdleTimeout(const route_rule& route,
                               milliseconds time_left,
                               bool retry_allowed) noexcept {
  if (!retry_allowed || !route.MayRetry())
    return time_left;
  return std::min(time_left, std::max(route.event_gap_objective * kGapObjectives, kMinIdleTimeout));
}

milliseconds StartupRetryAfter(milliseconds age) noexcept {
  return std::clamp(age * kStartupAges, kMinStartupRetry, kMaxStartupRetry);
}

milliseconds RetryAfter(const route_rule& route,
                        placement_obstacle obstacle,
                        attempt_outcome last,
                        milliseconds stall_time) noexcept {
  const bool unavailable =
      obstacle == placement_obstacle::kNoUpstream || last == attempt_outcome::kStalled ||
      last == attempt_outcome::kReplaced || last == attempt_outcome::kUnreachable;
  if (unavailable)
    return stall_time + kGroupFormationTime;
  if (obstacle == placement_obstacle::kRateLimited)
    return kRateLimitedRetry;
  return std::max(route.latency_objective * kFullRetryObjectives, kMinFullRetry);
}

}  // namespace quincebank
