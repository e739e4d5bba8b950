#include "quincebank/placement/group_pulse.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

constexpr time_point kStart{std::chrono::hours(1)};

struct pulse_case {
  const char* name;
  int waiting;
  milliseconds heard;  ///< After the sends.
  milliseconds now;
  bool stalled;
};

class group_pulse_test : public testing::TestWithParam<pulse_case> {};

// Guards against new requests for a group that has lost a rank, and against a group that is left
// alone because one request waits in a queue.
TEST_P(group_pulse_test, StallsWhenSeveralRequestsHearNothing) {
  group_pulse pulse;
  for (int i = 0; i < GetParam().waiting; ++i)
    pulse.OnSend(kStart);
  pulse.OnHeard(kStart + GetParam().heard);
  EXPECT_EQ(pulse.Stalled(kStart + GetParam().now), GetParam().stalled);
}

INSTANTIATE_TEST_SUITE_P(
    groups,
    group_pulse_test,
    testing::Values(pulse_case{"alive", 5, milliseconds(900), milliseconds(1'000), false},
                    pulse_case{"silent", 5, milliseconds(100), milliseconds(700), true},
                    pulse_case{"one_waits", 1, milliseconds(100), milliseconds(5'000), false},
                    pulse_case{"idle", 0, milliseconds(0), milliseconds(5'000), false}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(group_pulse, AnIdleGroupIsNotSilent) {
  group_pulse pulse;
  pulse.OnSend(kStart);
  pulse.OnEnd();
  pulse.OnSend(kStart + seconds(10));
  pulse.OnSend(kStart + seconds(10));
  EXPECT_FALSE(pulse.Stalled(kStart + seconds(10) + milliseconds(100)));
}

}  // namespace
}  // namespace quincebank
