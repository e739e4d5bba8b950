#include <gtest/gtest.h>

#include "quincebank/scenario/fault_schedule.h"
#include "quincebank/scenario/world.h"

namespace quincebank::scenario {
namespace {

constexpr std::uint64_t kSeedsPerTest = 50;

class schedule_test : public testing::TestWithParam<std::uint64_t> {};

// Guards against combinations of faults that nobody wrote a script for.
TEST_P(schedule_test, KeepsTheInvariants) {
  for (std::uint64_t i = 0; i < kSeedsPerTest; ++i) {
    const std::uint64_t seed = GetParam() * kSeedsPerTest + i;
    const std::string text = DrawSchedule(seed, {});
    order_policy rules;
    const auto report = RunScript(text, seed, rules);
    ASSERT_TRUE(report.has_value()) << Describe(report.error()) << "\n" << text;
    for (const std::string& violation : report.value().violations)
      ADD_FAILURE() << "seed " << seed << ": " << violation << "\n" << text;
    if (HasFailure())
      return;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, schedule_test, testing::Range<std::uint64_t>(0, 10));

}  // namespace
}  // namespace quincebank::scenario
