#include "quincebank/placement/stop_schedule.h"

#include <gtest/gtest.h>

#include "quincebank/placement/duration_estimate.h"

namespace quincebank {
namespace {

constexpr boot_time kStart{seconds(1'000)};
constexpr milliseconds kLookups{2'000};
constexpr milliseconds kGrace{7'500};

struct stop_case {
  const char* name;
  milliseconds after;  ///< Since the begin of the stop.
  remaining_time request;
  bool admitted;
};

class stop_schedule_test : public testing::TestWithParam<stop_case> {};

// Guards against requests that are passed on during a planned stop and cut off at its end.
TEST_P(stop_schedule_test, AdmitsWhatEndsInTime) {
  stop_schedule schedule;
  EXPECT_TRUE(schedule.Admits(GetParam().request, kStart + GetParam().after));
  schedule.Begin(kStart + kLookups, kStart + kGrace);
  EXPECT_EQ(schedule.Admits(GetParam().request, kStart + GetParam().after), GetParam().admitted);
}

constexpr milliseconds kLong{8'000};
constexpr milliseconds kShort{1'500};

INSTANTIATE_TEST_SUITE_P(
    requests,
    stop_schedule_test,
    testing::Values(
        stop_case{"short", milliseconds(3'400), {kShort, {}, false}, true},
        stop_case{"short_at_the_last_moment", milliseconds(6'000), {kShort, {}, false}, true},
        stop_case{"short_too_late", milliseconds(6'001), {kShort, {}, false}, false},
        stop_case{"long_without_estimate", milliseconds(0), {kLong, {}, true}, false},
        stop_case{"long_but_expected_to_end",
                  milliseconds(1'999),
                  {kLong, milliseconds(5'000), true},
                  true},
        stop_case{"expected_to_be_cut",
                  milliseconds(1'000),
                  {kLong, milliseconds(7'000), true},
                  false},
        stop_case{"expected_to_end_after_the_look_ups",
                  milliseconds(2'000),
                  {kLong, milliseconds(100), true},
                  false},
        stop_case{"not_repeatable", milliseconds(0), {kLong, milliseconds(100), false}, false},
        stop_case{"deadline_before_the_expected_end",
                  milliseconds(1'000),
                  {kShort, milliseconds(20'000), true},
                  true},
        stop_case{"after_the_end", milliseconds(7'501), {milliseconds(0), {}, false}, false}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a bound that too few requests support, and one below what most of them take.
TEST(duration_estimate, CoversTheRequestsOfARoute) {
  duration_estimate estimate;
  for (int i = 0; i < 3; ++i) {
    estimate.Add(milliseconds(2'000));
    EXPECT_FALSE(estimate.UpperBound());
  }
  for (int i = 0; i < 100; ++i)
    estimate.Add(milliseconds(i % 2 == 0 ? 1'000 : 3'000));
  ASSERT_TRUE(estimate.UpperBound());
  EXPECT_GT(*estimate.UpperBound(), milliseconds(3'000));
  EXPECT_LT(*estimate.UpperBound(), milliseconds(8'000));
}

}  // namespace
}  // namespace quincebank
