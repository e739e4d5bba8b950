#include <gtest/gtest.h>

#include "gate_fixture.h"

namespace quincebank {
namespace {

struct deadline_case {
  const char* name;
  std::size_t queued;  ///< Requests of workspace 1 that are already queued.
  std::uint64_t workspace;
  milliseconds deadline;
  admission_decision::kind result;
};

class deadline_test : public gate_fixture, public testing::WithParamInterface<deadline_case> {};

// Guards against accepting requests that cannot meet their deadline, which wastes slots, and
// against rejecting those that would have met it. Eight requests run at a time, for 100 ms each.
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
                    // A small workspace waits only for its fair turn, not for the whole queue.
                    deadline_case{"small_workspace", 15, 2, milliseconds(200), kind::kQueued}),
    [](const auto& info) { return info.param.name; });

class expiry_test : public gate_fixture {};

// Guards against starting a queued request that can no longer meet its deadline.
TEST_F(expiry_test, ExpiredRequestsAreNotStarted) {
  WarmUp();
  const auto queued = FillAndQueue(1, {.workspace = 1, .deadline = milliseconds(250)});
  now_ += milliseconds(240);
  const queue_changes changes = FinishAll();
  EXPECT_TRUE(changes.admitted.empty());
  ASSERT_EQ(changes.shed.size(), 1U);
  EXPECT_EQ(changes.shed.front().ticket, queued.front());
  EXPECT_EQ(changes.shed.front().refused.reason, shed_reason::kDeadline);
}

// Guards against giving a slot to a request that will probably miss its deadline while another one
// is queued that would meet its own. One request in five takes 300 ms instead of 100 ms.
TEST_F(expiry_test, AContendedSlotGoesToARequestThatMeetsItsDeadline) {
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

// Guards against expired requests that stay in the queue while no request finishes.
TEST_F(expiry_test, ExpiredRequestsLeaveTheQueueWithoutAFinish) {
  WarmUp();
  (void)FillAndQueue(4, {.workspace = 1, .deadline = milliseconds(250)});
  now_ += milliseconds(300);
  EXPECT_EQ(ProcessQueue().shed.size(), 4U);
  EXPECT_EQ(gate_.State().queued, 0U);
}

// Guards against estimates from a period of slow service that reject all later requests, so that
// none runs and corrects them.
TEST_F(expiry_test, EstimatesRecoverAfterAPeriodOfSlowService) {
  for (int i = 0; i < 2000; ++i) {
    while (gate_.State().in_flight < gate_.State().limit)
      (void)Offer();
    (void)FinishAll(work_outcome::kServed, seconds(30));
  }
  const admission_request request{.workspace = 1, .deadline = seconds(1)};
  ASSERT_TRUE(Offer(request).admitted())
      << "an idle upstream gets a request to correct the estimates";
  std::size_t started = 1;
  for (int i = 0; i < 400; ++i) {
    for (int k = 0; k < 16; ++k)
      started += Offer(request).admitted() ? 1 : 0;
    started += FinishAll().admitted.size();
  }
  EXPECT_EQ(gate_.State().phase, admission_phase::kFull);
  EXPECT_FALSE(Offer(request).rejected());
  // The cold limit alone would start two requests in each of the 400 rounds.
  EXPECT_GT(started, 800U);
}

}  // namespace
}  // namespace quincebank
