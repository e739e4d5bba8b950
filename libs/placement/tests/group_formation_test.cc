#include "quincebank/placement/group_formation.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

const time_point kNow{seconds(100)};

struct opening_case {
  const char* name;
  std::optional<time_point> closed_since;
  std::optional<time_point> opening;
};

class group_opening_test : public testing::TestWithParam<opening_case> {};

// Guards against requests to groups that refuse them, and against groups that are avoided for good
// because their registrations are outdated.
TEST_P(group_opening_test, IsExpectedForALimitedTime) {
  EXPECT_EQ(ExpectedGroupOpening(GetParam().closed_since, kNow), GetParam().opening);
}

INSTANTIATE_TEST_SUITE_P(times,
                         group_opening_test,
                         testing::Values(opening_case{"open", std::nullopt, std::nullopt},
                                         opening_case{"just_closed", kNow,
                                                      kNow + milliseconds(600)},
                                         opening_case{"overdue", kNow - seconds(1), kNow},
                                         opening_case{"outdated", kNow - seconds(3), std::nullopt}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace quincebank
