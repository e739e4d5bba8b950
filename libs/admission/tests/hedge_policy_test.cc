#include "quincebank/admission/hedge_policy.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

struct hedge_case {
  const char* name;
  bool repeatable;
  int samples;
  milliseconds elapsed;
  double tokens;
  bool hedged;
};

class hedge_test : public testing::TestWithParam<hedge_case> {};

// Guards against a hedge of a request that must not be repeated, and against hedges that add load
// without need. 95 in 100 latencies are 100 ms, the others 2 s.
TEST_P(hedge_test, HedgesOnlySlowRepeatableWorkWithinTheBudget) {
  hedge_policy policy;
  for (int i = 0; i < GetParam().samples; ++i)
    policy.Observe(milliseconds(i % 20 == 0 ? 2000 : 100));
  retry_budget budget({.ratio = 0, .initial = GetParam().tokens});
  EXPECT_EQ(policy.TryHedge(GetParam().repeatable, GetParam().elapsed, budget), GetParam().hedged);
  EXPECT_DOUBLE_EQ(budget.tokens(), GetParam().tokens - (GetParam().hedged ? 1 : 0));
}

INSTANTIATE_TEST_SUITE_P(
    Requests,
    hedge_test,
    testing::Values(hedge_case{"slow", true, 1000, milliseconds(150), 1, true},
                    hedge_case{"not_repeatable", false, 1000, milliseconds(5000), 1, false},
                    hedge_case{"still_quick", true, 1000, milliseconds(80), 1, false},
                    hedge_case{"no_budget", true, 1000, milliseconds(150), 0, false},
                    hedge_case{"few_samples", true, 99, milliseconds(5000), 1, false}),
    [](const auto& info) { return info.param.name; });

// Guards against hedging every request after the whole service became slower.
TEST(hedge_policy_test, TheDelayFollowsTheLatency) {
  hedge_policy policy;
  for (int i = 0; i < 2000; ++i)
    policy.Observe(milliseconds(100));
  const auto before = policy.Delay(true);
  for (int i = 0; i < 20'000; ++i)
    policy.Observe(milliseconds(1000));
  const auto after = policy.Delay(true);
  ASSERT_TRUE(before.has_value());
  ASSERT_TRUE(after.has_value());
  EXPECT_GE(*before, milliseconds(100));
  EXPECT_LT(*before, milliseconds(130));
  EXPECT_GE(*after, milliseconds(1000));
  EXPECT_LT(*after, milliseconds(1300));
}

}  // namespace
}  // namespace quincebank
