#include "quincebank/admission/retry_budget.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

struct budget_case {
  const char* name;
  retry_budget_settings settings;
  int requests;
  int granted;
};

class budget_test : public testing::TestWithParam<budget_case> {};

// Guards against retries that multiply the load of an overloaded upstream. Every request fails and
// takes as many tokens as it can get.
TEST_P(budget_test, LimitsRetriesToTheShareOfRequests) {
  retry_budget budget(GetParam().settings);
  int granted = 0;
  for (int i = 0; i < GetParam().requests; ++i) {
    budget.OnRequest();
    while (budget.TryTakeToken())
      ++granted;
  }
  EXPECT_EQ(granted, GetParam().granted);
}

INSTANTIATE_TEST_SUITE_P(
    Budgets,
    budget_test,
    testing::Values(
        budget_case{"a_tenth", {.initial = 0}, 1000, 100},
        budget_case{"a_tenth_and_the_first", {}, 1000, 101},
        budget_case{"a_third_is_not_rounded_up", {.ratio = 0.33, .initial = 0}, 100, 33},
        budget_case{"none", {.ratio = 0, .initial = 0}, 1000, 0},
        budget_case{"initial_within_the_burst", {.ratio = 0, .burst = 2, .initial = 9}, 1, 2}),
    [](const auto& info) { return info.param.name; });

// Guards against a burst of retries after a long time without failures.
TEST(retry_budget_test, AccumulatesNoMoreThanTheBurst) {
  retry_budget budget({.burst = 5});
  for (int i = 0; i < 10'000; ++i)
    budget.OnRequest();
  int granted = 0;
  while (budget.TryTakeToken())
    ++granted;
  EXPECT_EQ(granted, 5);
}

// Guards against losing a token for a retry for which no upstream was found.
TEST(retry_budget_test, AReturnedTokenCanBeUsedAgain) {
  retry_budget budget;
  ASSERT_TRUE(budget.TryTakeToken());
  EXPECT_FALSE(budget.TryTakeToken());
  budget.ReturnToken();
  EXPECT_DOUBLE_EQ(budget.tokens(), 1.0);
  EXPECT_TRUE(budget.TryTakeToken());
}

}  // namespace
}  // namespace quincebank
