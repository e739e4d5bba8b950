#include <gtest/gtest.h>

#include "gate_fixture.h"

namespace quincebank {
namespace {

struct deadline_case {
  const char* name;
  std::size_t queued;  ///< Requests of workspace 1 that wait already.
  std::uint64_t workspace;
  milliseconds deadline;
  admission_decision::kind result;
};

class deadline_test : public gate_fixture, public testing::WithParamInterface<deadline_case> {};

// Guards against accepting work that is bound to miss its deadline, which wastes slots, and against
// rejecting work that would have met it. Eight run at a time, for 100 ms each.
TEST_P(deadline_test, IsCheckedWhenOffered) {
  WarmUp();
  (void)FillAndQueue(GetParam().queued, {.workspace = 1});
  const admission_decision decision =
      Offer({.workspace = GetParam().workspace, .deadline = GetParam().deadline});
  EXPECT_EQ(decision.result, GetParam().result);
  if (decision.rejected()) {
    EXPECT_EQ(decision.refused.reason, shed_reason::kDeadline);
    EXPECT_EQ(decision.refused.failure.outcome, verdict::kNotRun);
  }
}

using kind = admission_decision::kind;

INSTANTIATE_TEST_SUITE_P(
    Deadlines,
    deadline_test,
    testing::Values(deadline_case{"passed", 0, 1, milliseconds(0), kind::kRejected},
                    deadline_case{"below_the_service_time", 0, 1, milliseconds(60),
                                  kind::kRejected},
                    deadline_case{"no_queue", 0, 1, milliseconds(130), kind::kQueued},
                    deadline_case{"behind_the_queue", 16, 1, milliseconds(200), kind::kRejected},
                    deadline_case{"time_for_the_queue", 8, 1, milliseconds(300), kind::kQueued},
                    // A small workspace waits for its turn only, not for the whole queue.
                    deadline_case{"small_workspace", 15, 2, milliseconds(200), kind::kQueued}),
    [](const auto& info) { return info.param.name; });

class expiry_test : public gate_fixture {};

// Guards against a slot given to queued work whose deadline has passed while it waited.
TEST_F(expiry_test, ExpiredWorkIsNeverStarted) {
  WarmUp();
  const auto queued = FillAndQueue(1, {.workspace = 1, .deadline = milliseconds(250)});
  now_ += milliseconds(240);
  const queue_changes changes = FinishAll();
  EXPECT_TRUE(changes.admitted.empty());
  ASSERT_EQ(changes.shed.size(), 1U);
  EXPECT_EQ(changes.shed.front().ticket, queued.front());
  EXPECT_EQ(changes.shed.front().refused.reason, shed_reason::kDeadline);
}

// Guards against slots wasted on work that will probably miss its deadline while other work waits
// that would meet it. One request in five takes 300 ms instead of 100 ms.
TEST_F(expiry_test, AContendedSlotGoesToWorkThatMeetsItsDeadline) {
  for (int i = 0; i < 100; ++i) {
    while (gate_.State().in_flight < gate_.State().limit)
      (void)Offer();
    (void)FinishAll(work_outcome::kServed, i % 5 == 0 ? milliseconds(300) : kServiceTime);
  }
  ASSERT_GE(gate_.State().limit, 2U);
  const auto tight = FillAndQueue(1, {.workspace = 1, .deadline = milliseconds(600)});
  const auto relaxed = FillAndQueue(1, {.workspace = 1, .deadline = seconds(60)});
  now_ += milliseconds(250);
  const queue_changes changes = FinishAll(work_outcome::kServed, milliseconds(200));
  ASSERT_EQ(changes.shed.size(), 1U);
  EXPECT_EQ(changes.shed.front().ticket, tight.front());
  ASSERT_EQ(changes.admitted.size(), 1U);
  EXPECT_EQ(changes.admitted.front(), relaxed.front());
}

// Guards against expired work that holds queue room while the upstream is stuck.
TEST_F(expiry_test, ExpiredWorkLeavesTheQueueWithoutAFinish) {
  WarmUp();
  (void)FillAndQueue(4, {.workspace = 1, .deadline = milliseconds(250)});
  now_ += milliseconds(300);
  EXPECT_EQ(ProcessQueue().shed.size(), 4U);
  EXPECT_EQ(gate_.State().queued, 0U);
}

// Guards against estimates from a bad time that reject everything for ever, so that nothing runs
// that could correct them.
TEST_F(expiry_test, EstimatesRecoverAfterABadTime) {
  for (int i = 0; i < 2000; ++i) {
    while (gate_.State().in_flight < gate_.State().limit)
      (void)Offer();
    (void)FinishAll(work_outcome::kServed, seconds(30));
  }
  const admission_request request{.workspace = 1, .deadline = seconds(1)};
  ASSERT_TRUE(Offer(request).admitted()) << "an idle upstream gets work to correct the estimates";
  std::size_t started = 1;
  for (int i = 0; i < 400; ++i) {
    for (int k = 0; k < 16; ++k)
      started += Offer(request).admitted() ? 1 : 0;
    started += FinishAll().admitted.size();
  }
  EXPECT_EQ(gate_.State().phase, admission_phase::kFull);
  EXPECT_FALSE(Offer(request).rejected());
  // Two in each of 400 rounds are what the cold limit alone would start.
  EXPECT_GT(started, 800U);
}

}  // namespace
}  // namespace quincebank
