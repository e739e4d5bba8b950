#include "quincebank/experts/shift_detector.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace quincebank {
namespace {

std::vector<std::vector<double>> Window(std::size_t hot, double share, double choices) {
  std::vector<double> counts(16, choices * (1 - share) / 15);
  counts[hot] = choices * share;
  return {counts, counts};
}

struct shift_case {
  const char* name;
  std::vector<std::vector<double>> next;
  bool shifted;
};

class popularity_window_test : public testing::TestWithParam<shift_case> {};

// Guards against plans for what was popular before a shift, and against noise taken for a shift.
TEST_P(popularity_window_test, StartsAnewAfterAShiftOnly) {
  popularity_window popularity;
  for (int i = 0; i < 5; ++i)
    EXPECT_FALSE(popularity.Add(Window(3, 0.3, 10'000)));
  EXPECT_EQ(popularity.Add(GetParam().next), GetParam().shifted);
  EXPECT_EQ(popularity.loads() == GetParam().next, GetParam().shifted);
}

INSTANTIATE_TEST_SUITE_P(windows,
                         popularity_window_test,
                         testing::Values(shift_case{"same", Window(3, 0.3, 10'000), false},
                                         shift_case{"noise", Window(3, 0.38, 10'000), false},
                                         shift_case{"shift", Window(9, 0.3, 10'000), true},
                                         shift_case{"too_few", Window(9, 0.3, 100), false}),
                         [](const auto& info) { return std::string(info.param.name); });

// Guards against a shift in a large group that goes unnoticed: there windows are alike, and a small
// difference already tells that popularity has shifted in the middle of one.
TEST(popularity_window, SeesASmallShiftWhereWindowsAreAlike) {
  popularity_window popularity;
  for (int i = 0; i < 20; ++i)
    EXPECT_FALSE(popularity.Add(Window(3, 0.3, 10'000)));
  EXPECT_TRUE(popularity.Add(Window(3, 0.2, 10'000)));
}

TEST(popularity_window, BeginsWithWhatIsAssumed) {
  popularity_window popularity;
  popularity.Assume(Window(3, 0.5, 1));
  EXPECT_TRUE(popularity.known());
  const auto& loads = popularity.loads().front();
  EXPECT_EQ(std::max_element(loads.begin(), loads.end()) - loads.begin(), 3);
  // One real window outweighs it.
  popularity.Add(Window(9, 0.5, 100'000));
  EXPECT_EQ(std::max_element(loads.begin(), loads.end()) - loads.begin(), 9);
}

TEST(popularity_window, NeedsChoicesBeforeItIsKnown) {
  popularity_window popularity;
  EXPECT_FALSE(popularity.known());
  popularity.Add(Window(1, 0.2, 100));
  EXPECT_FALSE(popularity.known());
  popularity.Add(Window(1, 0.2, 10'000));
  EXPECT_TRUE(popularity.known());
}

}  // namespace
}  // namespace quincebank
