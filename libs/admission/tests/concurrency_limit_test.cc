#include "quincebank/admission/concurrency_limit.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

constexpr milliseconds kGood{100};
constexpr milliseconds kSlow{150};
constexpr milliseconds kSpike{1000};

ramp_settings Ramp() {
  ramp_settings ramp;
  ramp.good_service_time = kGood;
  ramp.spike_factor = 4.0;
  ramp.spike_count = 2;
  return ramp;
}

/// Finishes work that was started in the current round, with the limit fully used.
void FinishAtLimit(concurrency_limit& limit,
                   std::size_t count,
                   milliseconds service_time = kGood,
                   work_outcome outcome = work_outcome::kServed) {
  for (std::size_t i = 0; i < count; ++i)
    limit.OnFinish(limit.revision(), outcome, service_time, limit.limit());
}

/// Finishes good work until the limit reaches its upper bound, and stops there, so that the next
/// finished work is the first of a round.
void RampToFullLimit(concurrency_limit& limit) {
  for (int i = 0; i < 1000 && !limit.full(); ++i)
    FinishAtLimit(limit, 1);
}

TEST(concurrency_limit_test, StartsColdAndReachesTheFullLimit) {
  concurrency_limit limit(2, 32, Ramp());
  EXPECT_EQ(limit.limit(), 2U);
  EXPECT_TRUE(limit.cold());
  RampToFullLimit(limit);
  EXPECT_EQ(limit.limit(), 32U);
  EXPECT_FALSE(limit.cold());
}

// Guards against raising the limit of an upstream that is fast at its cold limit, but not yet warm.
TEST(concurrency_limit_test, StaysColdUntilEnoughRequestsHaveFinished) {
  ramp_settings ramp = Ramp();
  ramp.warm_requests = 20;
  concurrency_limit limit(2, 32, ramp);
  FinishAtLimit(limit, 19);
  EXPECT_EQ(limit.limit(), 2U);
  EXPECT_TRUE(limit.cold());
  RampToFullLimit(limit);
  EXPECT_EQ(limit.limit(), 32U);
  limit.ResetToCold();
  FinishAtLimit(limit, 19);
  EXPECT_EQ(limit.limit(), 2U);
}

struct no_evidence_case {
  const char* name;
  work_outcome outcome;
  milliseconds service_time;
  std::size_t in_flight;
  limit_revision revision;
};

class no_evidence_test : public testing::TestWithParam<no_evidence_case> {};

// Guards against a cold upstream that gets more work although the finished work does not show that
// it can handle more.
TEST_P(no_evidence_test, NeverRaisesTheLimit) {
  concurrency_limit limit(4, 32, Ramp());
  const no_evidence_case& given = GetParam();
  for (int i = 0; i < 100; ++i)
    limit.OnFinish(given.revision, given.outcome, given.service_time, given.in_flight);
  EXPECT_EQ(limit.limit(), 4U);
  EXPECT_TRUE(limit.cold());
}

INSTANTIATE_TEST_SUITE_P(
    Finishes,
    no_evidence_test,
    testing::Values(
        no_evidence_case{"cancelled", work_outcome::kIgnored, kGood, 4, {}},
        no_evidence_case{"failed", work_outcome::kUpstreamError, kGood, 4, {}},
        no_evidence_case{"timed_out", work_outcome::kTimedOut, kGood, 4, {}},
        no_evidence_case{"refused", work_outcome::kRefused, kGood, 4, {}},
        no_evidence_case{"slow", work_outcome::kServed, kSlow, 4, {}},
        no_evidence_case{"limit_unused", work_outcome::kServed, kGood, 2, {}},
        no_evidence_case{"older_limit", work_outcome::kServed, kGood, 4, {.round = 99}},
        no_evidence_case{"before_a_fallback", work_outcome::kServed, kGood, 4, {.decreases = 99}}),
    [](const auto& info) { return info.param.name; });

struct decrease_case {
  const char* name;
  milliseconds service_time;
  work_outcome outcome;
  std::size_t finishes;
  std::size_t limit;
  bool cold;
};

class decrease_test : public testing::TestWithParam<decrease_case> {};

// Guards against an upstream that turned cold and keeps getting as much work as a warm one, and
// against a single slow request that takes a warm upstream out of service.
TEST_P(decrease_test, FollowsTheServiceTime) {
  concurrency_limit limit(2, 32, Ramp());
  RampToFullLimit(limit);
  ASSERT_EQ(limit.limit(), 32U);
  const limit_revision revision = limit.revision();
  for (std::size_t i = 0; i < GetParam().finishes; ++i)
    limit.OnFinish(revision, GetParam().outcome, GetParam().service_time, 32);
  EXPECT_EQ(limit.limit(), GetParam().limit);
  EXPECT_EQ(limit.cold(), GetParam().cold);
}

INSTANTIATE_TEST_SUITE_P(
    Finishes,
    decrease_test,
    testing::Values(
        decrease_case{"one_spike", kSpike, work_outcome::kServed, 1, 32, false},
        decrease_case{"two_spikes", kSpike, work_outcome::kServed, 2, 2, true},
        // Requests that always fail must not reset a healthy upstream to cold.
        decrease_case{"some_errors", kGood, work_outcome::kUpstreamError, 31, 32, false},
        decrease_case{"a_round_of_errors", kGood, work_outcome::kUpstreamError, 32, 22, false},
        decrease_case{"two_timeouts", kSpike, work_outcome::kTimedOut, 2, 2, true},
        decrease_case{"slow_timeouts", kSlow, work_outcome::kTimedOut, 32, 22, false},
        // Callers that give up early do not show that the upstream is slow.
        decrease_case{"early_timeouts", kGood, work_outcome::kTimedOut, 99, 32, false},
        decrease_case{"one_refusal", kGood, work_outcome::kRefused, 1, 22, false},
        // One overload lowers the limit once, however much running work it slowed down.
        decrease_case{"many_refusals", kGood, work_outcome::kRefused, 20, 22, false},
        decrease_case{"slow_round", kSlow, work_outcome::kServed, 32, 22, false},
        decrease_case{"slow_old_work", kSlow, work_outcome::kServed, 200, 22, false},
        decrease_case{"part_of_a_slow_round", kSlow, work_outcome::kServed, 31, 32, false}),
    [](const auto& info) { return info.param.name; });

// Guards against a limit that falls over days because slow work at low load is counted and fast
// work is not.
TEST(concurrency_limit_test, RareSlowWorkAtLowLoadChangesNothing) {
  concurrency_limit limit(2, 32, Ramp());
  RampToFullLimit(limit);
  for (int i = 0; i < 1000; ++i) {
    limit.OnFinish(limit.revision(), work_outcome::kServed, i % 10 == 0 ? kSlow : kGood, 1);
    ASSERT_EQ(limit.limit(), 32U);
  }
}

struct progress_case {
  const char* name;
  milliseconds service_time;
  std::size_t in_flight;
  std::size_t reports;
  std::size_t limit;
};

class progress_test : public testing::TestWithParam<progress_case> {};

// Guards against an upstream that turns cold without notice and gets more work until the first slow
// work finishes, against a limit that stays far above a concurrency that was already too high, and
// against running work that raises the limit.
TEST_P(progress_test, RunningWorkLowersTheLimit) {
  concurrency_limit limit(2, 32, Ramp());
  RampToFullLimit(limit);
  const limit_revision revision = limit.revision();
  for (std::size_t i = 0; i < GetParam().reports; ++i)
    limit.OnProgress(revision, GetParam().service_time, GetParam().in_flight);
  EXPECT_EQ(limit.limit(), GetParam().limit);
}

INSTANTIATE_TEST_SUITE_P(Reports,
                         progress_test,
                         testing::Values(progress_case{"good", kGood, 32, 1000, 32},
                                         progress_case{"slow_at_the_limit", kSlow, 32, 32, 22},
                                         progress_case{"slow_below_the_limit", kSlow, 10, 10, 7},
                                         progress_case{"few_slow_at_low_load", kSlow, 1, 7, 32},
                                         progress_case{"many_slow_at_low_load", kSlow, 1, 8, 2},
                                         progress_case{"spikes", kSpike, 10, 2, 2}),
                         [](const auto& info) { return info.param.name; });

TEST(concurrency_limit_test, RunningWorkNeverRaisesTheLimit) {
  concurrency_limit limit(2, 32, Ramp());
  for (int i = 0; i < 1000; ++i)
    limit.OnProgress(limit.revision(), kGood, 2);
  EXPECT_EQ(limit.limit(), 2U);
  EXPECT_TRUE(limit.cold());
}

// Guards against an increase while part of the work is slow, before the window that counts the slow
// work has ended.
TEST(concurrency_limit_test, NoRaiseWhileWorkIsSlow) {
  concurrency_limit limit(4, 32, Ramp());
  for (int i = 0; i < 100; ++i) {
    FinishAtLimit(limit, 1, i % 4 == 0 ? kSlow : kGood);
    ASSERT_EQ(limit.limit(), 4U);
  }
}

// Guards against a second slow start up to the limit at which the upstream has just failed.
TEST(concurrency_limit_test, RampsInSmallStepsNearTheLastFailure) {
  concurrency_limit limit(2, 32, Ramp());
  RampToFullLimit(limit);
  FinishAtLimit(limit, 2, kSpike);
  ASSERT_EQ(limit.limit(), 2U);
  std::size_t last = limit.limit();
  while (!limit.full()) {
    FinishAtLimit(limit, 1);
    const std::size_t step = limit.limit() - last;
    if (last >= 16) {
      ASSERT_LE(step, 1U);
    }
    last = limit.limit();
  }
}

// Guards against good work from before a restart that raises the limit of the new, cold engine.
TEST(concurrency_limit_test, WorkStartedBeforeAResetIsNoEvidence) {
  concurrency_limit limit(2, 32, Ramp());
  RampToFullLimit(limit);
  const limit_revision before = limit.revision();
  limit.ResetToCold();
  for (int i = 0; i < 100; ++i)
    limit.OnFinish(before, work_outcome::kServed, kGood, 32);
  EXPECT_EQ(limit.limit(), 2U);
  EXPECT_TRUE(limit.cold());
}

}  // namespace
}  // namespace quincebank
