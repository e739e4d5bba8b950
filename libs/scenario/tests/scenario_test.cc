#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "quincebank/scenario/world.h"

namespace quincebank::scenario {
namespace {

constexpr std::uint64_t kSeeds = 40;

std::vector<std::string> ScriptNames() {
  std::vector<std::string> names;
  for (const auto& file : std::filesystem::directory_iterator(QUINCEBANK_SCENARIO_DIR)) {
    if (file.path().extension() == ".scn")
      names.push_back(file.path().stem());
  }
  std::sort(names.begin(), names.end());
  return names;
}

class scenario_test : public testing::TestWithParam<std::string> {};

// Each script says in its first lines which failure it guards against.
TEST_P(scenario_test, HoldsForAllSeeds) {
  std::ifstream file(std::string(QUINCEBANK_SCENARIO_DIR) + "/" + GetParam() + ".scn");
  std::stringstream text;
  text << file.rdbuf();
  ASSERT_TRUE(text.str().starts_with("#")) << "the script does not say what it guards against";
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    order_policy rules;
    const auto report = RunScript(text.str(), seed, rules);
    ASSERT_TRUE(report.has_value()) << GetParam() << ".scn:" << Describe(report.error());
    EXPECT_GT(report.value().calls, 0U);
    for (const std::string& violation : report.value().violations)
      ADD_FAILURE() << GetParam() << ".scn, seed " << seed << ": " << violation;
  }
}

INSTANTIATE_TEST_SUITE_P(Scripts,
                         scenario_test,
                         testing::ValuesIn(ScriptNames()),
                         [](const auto& info) { return info.param; });

// Guards against runs that can't be repeated from their seed.
TEST(scenario_seed_test, TheSameSeedGivesTheSameRun) {
  const std::string text =
      "entry e1 e2\nagent a1 a2\nrun 50ms\nlate 300 1s\norder key=k1 via e1\norder key=k1 via "
      "e2\nsettle\n";
  order_policy rules;
  const auto first = RunScript(text, 7, rules);
  const auto second = RunScript(text, 7, rules);
  EXPECT_EQ(first.value().events, second.value().events);
  EXPECT_EQ(first.value().duration, second.value().duration);
}

}  // namespace
}  // namespace quincebank::scenario
