#include <gtest/gtest.h>

#include "quincebank/scenario/fault_schedule.h"
#include "quincebank/scenario/world.h"

namespace quincebank::scenario {
namespace {

constexpr std::uint64_t kSeedsPerTest = 50;

/// Draws and runs the schedules of one test; `block` chooses their seeds.
void CheckSchedules(std::uint64_t block, const schedule_options& options) {
  for (std::uint64_t i = 0; i < kSeedsPerTest; ++i) {
    const std::uint64_t seed = block * kSeedsPerTest + i;
    const std::string text = DrawSchedule(seed, options);
    order_policy rules;
    const auto report = RunScript(text, seed, rules);
    ASSERT_TRUE(report.has_value()) << Describe(report.error()) << "\n" << text;
    for (const std::string& violation : report.value().violations)
      ADD_FAILURE() << "seed " << seed << ": " << violation << "\n" << text;
    if (testing::Test::HasFailure())
      return;
  }
}

class schedule_test : public testing::TestWithParam<std::uint64_t> {};

// Guards against combinations of faults that nobody wrote a script for.
TEST_P(schedule_test, KeepsTheInvariants) {
  CheckSchedules(GetParam(), {});
}

class retention_schedule_test : public testing::TestWithParam<std::uint64_t> {};

// Guards against entries and agents that know different retentions while claims are erased and
// reduced.
TEST_P(retention_schedule_test, KeepsTheInvariants) {
  CheckSchedules(GetParam(), {.retention = true});
}

INSTANTIATE_TEST_SUITE_P(Seeds, retention_schedule_test, testing::Range<std::uint64_t>(0, 10));

class known_seed_test : public testing::TestWithParam<std::uint64_t> {};

// Guards against a writer that removes a claim which it gave up, although its request got the claim
// through another entry and sent the attempt.
TEST_P(known_seed_test, KeepsTheInvariants) {
  order_policy rules;
  const auto report = RunScript(DrawSchedule(GetParam(), {.faults = 25}), GetParam(), rules);
  ASSERT_TRUE(report.has_value()) << Describe(report.error());
  EXPECT_EQ(report.value().violations, std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(Seeds, known_seed_test, testing::Values(40, 47, 77, 326, 1108, 11995));

INSTANTIATE_TEST_SUITE_P(Seeds, schedule_test, testing::Range<std::uint64_t>(0, 10));

}  // namespace
}  // namespace quincebank::scenario
