#include "broken_policies.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "quincebank/scenario/fault_schedule.h"
#include "quincebank/scenario/world.h"

namespace quincebank::scenario {
namespace {

constexpr std::uint64_t kSeeds = 400;

struct broken_case {
  const char* name;
  std::unique_ptr<order_policy> (*make)();
  const char* caught;      ///< Part of the violation that must be found.
  bool retention = false;  ///< Whether the retention changes meanwhile.
};

void PrintTo(const broken_case& row, std::ostream* stream) {
  *stream << row.name;
}

template <typename Policy>
std::unique_ptr<order_policy> Make() {
  return std::make_unique<Policy>();
}

class broken_policies_test : public testing::TestWithParam<broken_case> {};

// Guards against checks that accept a system that runs orders twice or tells lies.
TEST_P(broken_policies_test, IsCaught) {
  std::size_t caught = 0;
  std::uint64_t first = 0;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    const auto rules = GetParam().make();
    const auto report =
        RunScript(DrawSchedule(seed, {.retention = GetParam().retention}), seed, *rules);
    ASSERT_TRUE(report.has_value()) << Describe(report.error());
    bool found = false;
    for (const std::string& violation : report.value().violations)
      found = found || violation.find(GetParam().caught) != std::string::npos;
    if (found && caught++ == 0)
      first = seed;
  }
  EXPECT_GT(caught, 0U);
  RecordProperty("seeds_that_caught_it", static_cast<int>(caught));
  std::cout << GetParam().name << ": caught by " << caught << " of " << kSeeds
            << " seeds, first by seed " << first << "\n";
}

INSTANTIATE_TEST_SUITE_P(
    Policies,
    broken_policies_test,
    testing::Values(
        broken_case{"time_lease_owner", Make<time_lease_owner>, "times"},
        broken_case{"trusts_never_seen", Make<trusts_never_seen>, "times"},
        broken_case{"trusts_later_incarnation", Make<trusts_later_incarnation>, "times"},
        broken_case{"ignores_conflicts", Make<ignores_conflicts>, "times"},
        broken_case{"takes_lost_write_as_done", Make<takes_lost_write_as_done>, "times"},
        broken_case{"runs_every_copy", Make<runs_every_copy>, "times"},
        broken_case{"optimistic_verdict", Make<optimistic_verdict>, "told 'not run'"},
        broken_case{"resumes_from_start", Make<resumes_from_start>, "not its answer"},
        broken_case{"ignores_the_floor", Make<ignores_the_floor>, "times", true},
        broken_case{"loses_requests", Make<loses_requests>, "never got a verdict"}));

class careless_retention_test : public testing::TestWithParam<const char*> {};

// Guards against scripts on changes of the retention that pass without the rule they are about.
TEST_P(careless_retention_test, IsCaughtByTheScript) {
  std::ifstream file(std::string(QUINCEBANK_SCENARIO_DIR) + "/" + GetParam() + ".scn");
  std::stringstream text;
  text << file.rdbuf();
  for (std::uint64_t seed = 0; seed < 10; ++seed) {
    ignores_the_floor rules;
    const auto report = RunScript(text.str(), seed, rules);
    ASSERT_TRUE(report.has_value()) << Describe(report.error());
    ASSERT_FALSE(report.value().violations.empty()) << "seed " << seed;
    EXPECT_NE(report.value().violations.front().find("ran 2 times"), std::string::npos)
        << report.value().violations.front();
  }
}

INSTANTIATE_TEST_SUITE_P(Scripts,
                         careless_retention_test,
                         testing::Values("retention_shortened", "retention_lengthened"));

}  // namespace
}  // namespace quincebank::scenario
