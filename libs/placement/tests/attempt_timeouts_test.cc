#include "quincebank/placement/attempt_timeouts.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

struct timeout_case {
  const char* name;
  retry_rule retries;
  bool resumable;
  bool retry_allowed;
  milliseconds time_left;
  milliseconds first_byte;
  milliseconds gap;
};

class attempt_timeouts_test : public testing::TestWithParam<timeout_case> {};

// Guards against answers that are abandoned although no retry is allowed.
TEST_P(attempt_timeouts_test, ShorterThanDeadlineOnlyIfRetryAllowed) {
  route_rule route;
  route.retries = GetParam().retries;
  route.resumable = GetParam().resumable;
  route.latency_objective = milliseconds(500);
  route.event_gap_objective = milliseconds(120);
  EXPECT_EQ(FirstByteTimeout(route, GetParam().time_left, GetParam().retry_allowed),
            GetParam().first_byte);
  EXPECT_EQ(StreamIdleTimeout(route, GetParam().time_left, GetParam().retry_allowed),
            GetParam().gap);
}

// Guards against retries in an overload: a group whose passes take a quarter of a second answers no
// request within two latency objectives, and a retry only waits at the end of another queue.
TEST(first_byte_timeout, GrowsWithPassTime) {
  route_rule route;
  route.retries = retry_rule::kSafe;
  route.latency_objective = milliseconds(500);
  const auto timeout = [&](milliseconds pass) {
    return FirstByteTimeout(route, milliseconds(8'000), true, pass);
  };
  EXPECT_EQ(timeout(milliseconds(60)), milliseconds(1'000));
  EXPECT_EQ(timeout(milliseconds(250)), milliseconds(2'500));
  EXPECT_EQ(timeout(milliseconds(900)), milliseconds(4'000));
}

constexpr milliseconds kLong{8'000};
constexpr milliseconds kShort{600};

INSTANTIATE_TEST_SUITE_P(
    attempts,
    attempt_timeouts_test,
    testing::Values(timeout_case{"safe", retry_rule::kSafe, false, true, kLong, milliseconds(1'000),
                                 milliseconds(960)},
                    timeout_case{"safe_last", retry_rule::kSafe, false, false, kLong, kLong, kLong},
                    timeout_case{"safe_short", retry_rule::kSafe, false, true, kShort,
                                 milliseconds(300), kShort},
                    timeout_case{"unsafe", retry_rule::kUnsafe, false, true, kLong, kLong, kLong},
                    timeout_case{"stream", retry_rule::kStream, true, true, kLong,
                                 milliseconds(1'000), milliseconds(960)},
                    timeout_case{"stream_once", retry_rule::kStream, false, true, kLong, kLong,
                                 kLong}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against clients that retry while the group is still forming and are refused again.
TEST(retry_after, CoversExpectedRecoveryTime) {
  constexpr milliseconds kStall{1'500};
  route_rule route;
  route.latency_objective = milliseconds(500);
  EXPECT_LT(RetryAfter(route, placement_obstacle::kFull, attempt_outcome::kFull, kStall), kStall);
  // A window of the cold limit.
  EXPECT_GE(RetryAfter(route, placement_obstacle::kRateLimited, attempt_outcome::kFull, kStall),
            milliseconds(1'000));
  for (const attempt_outcome unavailable :
       {attempt_outcome::kStalled, attempt_outcome::kReplaced, attempt_outcome::kUnreachable})
    EXPECT_GT(RetryAfter(route, placement_obstacle::kNone, unavailable, kStall), kStall);
  EXPECT_GT(RetryAfter(route, placement_obstacle::kNoUpstream, attempt_outcome::kFull, kStall),
            kStall);
}

// Guards against clients that use up their retries during an outage of the store at startup.
TEST(startup_retry_after, GrowsWithOutageDuration) {
  EXPECT_LE(StartupRetryAfter(milliseconds(50)), milliseconds(1'000));
  EXPECT_GE(StartupRetryAfter(milliseconds(1'000)), milliseconds(2'000));
  EXPECT_LE(StartupRetryAfter(milliseconds(60'000)), milliseconds(5'000));
}

}  // namespace
}  // namespace quincebank
