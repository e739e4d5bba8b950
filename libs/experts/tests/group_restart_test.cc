#include "quincebank/experts/group_restart.h"

#include <gtest/gtest.h>

#include <ostream>

namespace quincebank {
namespace {

constexpr rank_condition kFresh{true, 4, 7, 0, 0};

struct restart_case {
  const char* name;
  std::vector<rank_condition> ranks;
  bool restarts;

  friend void PrintTo(const restart_case& c, std::ostream* out) { *out << c.name; }
};

class group_restart_test : public testing::TestWithParam<restart_case> {};

// Guards against a group that goes on while its ranks have different maps, and against one that
// stays out of service after all its engines have restarted.
TEST_P(group_restart_test, NeedsTheInitialMapEverywhere) {
  const auto record = PlanGroupRestart({4, {}}, GetParam().ranks);
  ASSERT_EQ(record.has_value(), GetParam().restarts);
  if (!record)
    return;
  EXPECT_EQ(record->epoch, 5U);
  EXPECT_EQ(record->verdict, switch_verdict::kRestart);
  ASSERT_EQ(record->boots.size(), GetParam().ranks.size());
  for (std::size_t i = 0; i < record->boots.size(); ++i)
    EXPECT_EQ(record->boots[i], GetParam().ranks[i].boot);
}

INSTANTIATE_TEST_SUITE_P(
    Conditions,
    group_restart_test,
    testing::Values(restart_case{"all_restarted", {kFresh, {true, 4, 9, 0, 0}}, true},
                    restart_case{"one_still_on_its_map", {kFresh, {false, 4, 9, 3, 0}}, false},
                    restart_case{"one_on_another_map", {kFresh, {true, 4, 9, 2, 0}}, false},
                    restart_case{"one_with_a_map_to_come", {kFresh, {true, 4, 9, 0, 3}}, false},
                    restart_case{"one_behind_the_records", {kFresh, {true, 3, 9, 0, 0}}, false},
                    restart_case{"no_ranks", {}, false}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace quincebank
