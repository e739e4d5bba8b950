#include "quincebank/placement/patience.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

struct patience_case {
  const char* name;
  repeat_rule repeats;
  bool resumable;
  bool may_follow;
  milliseconds left;
  milliseconds first_byte;
  milliseconds gap;
};

class patience_test : public testing::TestWithParam<patience_case> {};

// Guards against answers that are given up although no other attempt may follow.
TEST_P(patience_test, EndsEarlyOnlyIfAnotherAttemptMayFollow) {
  route_rule route;
  route.repeats = GetParam().repeats;
  route.resumable = GetParam().resumable;
  route.latency_objective = milliseconds(500);
  route.event_gap_objective = milliseconds(120);
  EXPECT_EQ(FirstBytePatience(route, GetParam().left, GetParam().may_follow),
            GetParam().first_byte);
  EXPECT_EQ(GapPatience(route, GetParam().left, GetParam().may_follow), GetParam().gap);
}

// Guards against repeats into an overload: a group whose passes take a quarter of a second answers
// nobody within two objectives, and a repeat only waits at the end of another queue.
TEST(patience, GrowsWithThePassesOfTheGroup) {
  route_rule route;
  route.repeats = repeat_rule::kSafe;
  route.latency_objective = milliseconds(500);
  const auto patience = [&](milliseconds pass) {
    return FirstBytePatience(route, milliseconds(8'000), true, pass);
  };
  EXPECT_EQ(patience(milliseconds(60)), milliseconds(1'000));
  EXPECT_EQ(patience(milliseconds(250)), milliseconds(2'500));
  EXPECT_EQ(patience(milliseconds(900)), milliseconds(4'000));
}

constexpr milliseconds kLong{8'000};
constexpr milliseconds kShort{600};

INSTANTIATE_TEST_SUITE_P(
    attempts,
    patience_test,
    testing::Values(
        patience_case{"safe", repeat_rule::kSafe, false, true, kLong, milliseconds(1'000),
                      milliseconds(960)},
        patience_case{"safe_last", repeat_rule::kSafe, false, false, kLong, kLong, kLong},
        patience_case{"safe_short", repeat_rule::kSafe, false, true, kShort, milliseconds(300),
                      kShort},
        patience_case{"unsafe", repeat_rule::kUnsafe, false, true, kLong, kLong, kLong},
        patience_case{"stream", repeat_rule::kStream, true, true, kLong, milliseconds(1'000),
                      milliseconds(960)},
        patience_case{"stream_once", repeat_rule::kStream, false, true, kLong, kLong, kLong}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against clients that come back while the group is still forming and are refused again.
TEST(retry_after, CoversTheTimeOfTheObstacle) {
  constexpr milliseconds kStall{1'500};
  route_rule route;
  route.latency_objective = milliseconds(500);
  EXPECT_LT(RetryAfter(route, placement_obstacle::kFull, attempt_outcome::kFull, kStall), kStall);
  // A window of the cold limit.
  EXPECT_GE(RetryAfter(route, placement_obstacle::kRateLimited, attempt_outcome::kFull, kStall),
            milliseconds(1'000));
  for (const attempt_outcome gone :
       {attempt_outcome::kStalled, attempt_outcome::kReplaced, attempt_outcome::kUnreachable})
    EXPECT_GT(RetryAfter(route, placement_obstacle::kNone, gone, kStall), kStall);
  EXPECT_GT(RetryAfter(route, placement_obstacle::kNoUpstream, attempt_outcome::kFull, kStall),
            kStall);
}

// Guards against clients that use up their retry while an outage at the start still lasts.
TEST(retry_after_start, GrowsWithTheTimeThatTheOutageHasLasted) {
  EXPECT_LE(RetryAfterStart(milliseconds(50)), milliseconds(1'000));
  EXPECT_GE(RetryAfterStart(milliseconds(1'000)), milliseconds(2'000));
  EXPECT_LE(RetryAfterStart(milliseconds(60'000)), milliseconds(5'000));
}

}  // namespace
}  // namespace quincebank
