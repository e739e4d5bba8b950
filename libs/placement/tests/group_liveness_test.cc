#include "quincebank/placement/group_liveness.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

constexpr time_point kStart{std::chrono::hours(1)};

struct liveness_case {
  const char* name;
  int waiting;
  milliseconds last_progress;  ///< Time after the requests were sent.
  milliseconds now;
  bool stalled;
};

class group_liveness_test : public testing::TestWithParam<liveness_case> {};

// Guards against new requests to a group that has lost a rank, and against a group that is avoided
// only because one request waits in a queue.
TEST_P(group_liveness_test, StalledWhenSeveralRequestsGetNoData) {
  group_liveness liveness;
  for (int i = 0; i < GetParam().waiting; ++i)
    liveness.OnSend(kStart);
  liveness.OnProgress(kStart + GetParam().last_progress);
  EXPECT_EQ(liveness.IsStalled(kStart + GetParam().now), GetParam().stalled);
}

INSTANTIATE_TEST_SUITE_P(
    groups,
    group_liveness_test,
    testing::Values(liveness_case{"alive", 5, milliseconds(900), milliseconds(1'000), false},
                    liveness_case{"silent", 5, milliseconds(100), milliseconds(700), true},
                    liveness_case{"one_waits", 1, milliseconds(100), milliseconds(5'000), false},
                    liveness_case{"idle", 0, milliseconds(0), milliseconds(5'000), false}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a slow rank that counts as usual, since it is queried more often than the others.
TEST(group_liveness, SlowRanksDoNotLowerTheUsualPace) {
  group_liveness liveness;
  for (int report = 0; report < 1'000; ++report)
    liveness.OnPace(report % 3 == 0 ? 600 : 1'000);
  EXPECT_GT(liveness.usual_pace(), 950);
}

TEST(group_liveness, IdleGroupIsNotStalled) {
  group_liveness liveness;
  liveness.OnSend(kStart);
  liveness.OnEnd();
  liveness.OnSend(kStart + seconds(10));
  liveness.OnSend(kStart + seconds(10));
  EXPECT_FALSE(liveness.IsStalled(kStart + seconds(10) + milliseconds(100)));
}

}  // namespace
}  // namespace quincebank
