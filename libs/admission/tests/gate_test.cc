#include "quincebank/admission/gate.h"

#include <algorithm>
#include <functional>

#include "gate_fixture.h"

namespace quincebank {
namespace {

class gate_test : public gate_fixture {};

// Guards against accepting more requests than a cold upstream can handle, counting queued ones.
TEST_F(gate_test, NothingIsQueuedForAColdUpstream) {
  EXPECT_TRUE(Offer().admitted());
  EXPECT_TRUE(Offer().admitted());
  const admission_decision third = Offer();
  ASSERT_TRUE(third.rejected());
  EXPECT_EQ(third.refused.reason, shed_reason::kCold);
  EXPECT_EQ(third.refused.failure.outcome, verdict::kNotRun);
  EXPECT_EQ(gate_.State().queued, 0U);
  EXPECT_EQ(gate_.State().name(), "cold");
}

TEST_F(gate_test, GoodServiceTimesRaiseTheLimitAndAllowAQueue) {
  WarmUp();
  EXPECT_EQ(gate_.State().limit, 8U);
  EXPECT_EQ(gate_.State().name(), "full");
  const auto queued = FillAndQueue(16, {.workspace = 1});
  EXPECT_EQ(gate_.State().in_flight, 8U);
  EXPECT_EQ(gate_.State().queued, 16U);
  const queue_changes changes = FinishAll();
  ASSERT_EQ(changes.admitted.size(), 8U);
  EXPECT_TRUE(std::equal(changes.admitted.begin(), changes.admitted.end(), queued.begin()));
}

struct gate_reset_case {
  const char* name;
  std::function<void(admission_gate&)> event;
  std::size_t limit;
};

class gate_reset_test : public gate_fixture, public testing::WithParamInterface<gate_reset_case> {};

// Guards against sending a restarted or reconnected engine the load of a warm one, and against
// queued requests that wait for slots that no longer exist.
TEST_P(gate_reset_test, AppliesAtOnce) {
  gate_.OnUpstreamBoot(1);
  WarmUp();
  (void)FillAndQueue(16, {.workspace = 1});
  GetParam().event(gate_);
  EXPECT_EQ(gate_.State().limit, GetParam().limit);
  const queue_changes changes = ProcessQueue();
  EXPECT_TRUE(changes.admitted.empty());
  EXPECT_EQ(changes.shed.size(), GetParam().limit < 8 ? 16U : 0U);
  for (const shed_ticket& shed : changes.shed)
    EXPECT_EQ(shed.refused.failure.outcome, verdict::kNotRun);
  // Requests in flight still occupy the upstream, so none starts until fewer than the limit run.
  if (GetParam().limit < 8) {
    EXPECT_TRUE(Offer().rejected());
  }
}

INSTANTIATE_TEST_SUITE_P(
    Events,
    gate_reset_test,
    testing::Values(gate_reset_case{"new_boot_number",
                                    [](admission_gate& gate) { gate.OnUpstreamBoot(2); }, 2},
                    gate_reset_case{"lower_boot_number",
                                    [](admission_gate& gate) { gate.OnUpstreamBoot(0); }, 2},
                    gate_reset_case{"same_boot_number",
                                    [](admission_gate& gate) { gate.OnUpstreamBoot(1); }, 8},
                    gate_reset_case{"connection_lost",
                                    [](admission_gate& gate) { gate.OnConnectionLost(); }, 2},
                    gate_reset_case{"drained_and_back",
                                    [](admission_gate& gate) {
                                      gate.SetDraining(true);
                                      gate.SetDraining(false);
                                    },
                                    2}),
    [](const auto& info) { return info.param.name; });

// Guards against admitting requests while those in flight show that the upstream is slow.
TEST_F(gate_test, SlowRequestsInFlightResetTheLimit) {
  WarmUp();
  (void)FillAndQueue(4, {.workspace = 1});
  gate_.ReportServiceTime(running_[0], seconds(10));
  gate_.ReportServiceTime(running_[1], seconds(10));
  EXPECT_EQ(gate_.State().phase, admission_phase::kCold);
  EXPECT_EQ(gate_.State().limit, 2U);
  EXPECT_EQ(ProcessQueue().shed.size(), 4U);
}

// Guards against requests started before a restart that free slots twice or raise the limit of the
// restarted engine when they finish.
TEST_F(gate_test, RequestsFromBeforeARestartOnlyFreeTheirSlots) {
  gate_.OnUpstreamBoot(1);
  WarmUp();
  (void)FillAndQueue(0, {});
  gate_.OnUpstreamBoot(2);
  (void)FinishAll();
  EXPECT_EQ(gate_.State().in_flight, 0U);
  EXPECT_EQ(gate_.State().limit, 2U);
  EXPECT_EQ(gate_.State().phase, admission_phase::kCold);
}

// Guards against new requests at a draining upstream and against aborting those in flight.
TEST_F(gate_test, DrainingRejectsNewAndQueuedRequestsOnly) {
  WarmUp();
  (void)FillAndQueue(3, {.workspace = 1});
  gate_.SetDraining(true);
  EXPECT_EQ(gate_.State().name(), "draining");
  const admission_decision late = Offer();
  ASSERT_TRUE(late.rejected());
  EXPECT_EQ(late.refused.failure.code, error_code::kDraining);
  EXPECT_EQ(ProcessQueue().shed.size(), 3U);
  EXPECT_EQ(gate_.State().in_flight, 8U);
  EXPECT_TRUE(FinishAll().admitted.empty());
  EXPECT_EQ(gate_.State().in_flight, 0U);
}

struct ticket_case {
  const char* name;
  std::function<
      void(admission_gate&, admission_ticket running, admission_ticket queued, time_point)>
      act;
  std::size_t in_flight;
  std::size_t queued;
};

class ticket_test : public gate_fixture, public testing::WithParamInterface<ticket_case> {};

// Guards against slots that are freed twice or never after repeated, late or invalid calls.
TEST_P(ticket_test, CountsStayExact) {
  WarmUp();
  const auto queued = FillAndQueue(1, {.workspace = 1});
  GetParam().act(gate_, running_.front(), queued.front(), now_);
  EXPECT_EQ(gate_.State().in_flight, GetParam().in_flight);
  EXPECT_EQ(gate_.State().queued, GetParam().queued);
}

constexpr auto kServed = work_outcome::kServed;
constexpr milliseconds kReportedServiceTime{100};

INSTANTIATE_TEST_SUITE_P(
    Calls,
    ticket_test,
    testing::Values(ticket_case{"finish_twice",
                                [](auto& gate, auto running, auto, auto now) {
                                  gate.Finish(running, kServed, kReportedServiceTime, now);
                                  gate.Finish(running, kServed, kReportedServiceTime, now);
                                },
                                7, 1},
                    ticket_case{"finish_after_cancel",
                                [](auto& gate, auto running, auto, auto now) {
                                  gate.Cancel(running);
                                  gate.Finish(running, kServed, kReportedServiceTime, now);
                                },
                                7, 1},
                    ticket_case{"finish_of_queued",
                                [](auto& gate, auto, auto queued, auto now) {
                                  gate.Finish(queued, kServed, kReportedServiceTime, now);
                                },
                                8, 1},
                    ticket_case{"cancel_of_queued_twice",
                                [](auto& gate, auto, auto queued, auto) {
                                  gate.Cancel(queued);
                                  gate.Cancel(queued);
                                },
                                8, 0},
                    ticket_case{"progress_of_queued_and_unknown",
                                [](auto& gate, auto, auto queued, auto) {
                                  for (int i = 0; i < 100; ++i) {
                                    gate.ReportServiceTime(queued, std::chrono::hours(1));
                                    gate.ReportServiceTime({}, std::chrono::hours(1));
                                  }
                                },
                                8, 1},
                    ticket_case{"unknown",
                                [](auto& gate, auto, auto, auto now) {
                                  gate.Finish({}, kServed, kReportedServiceTime, now);
                                  gate.Cancel({~std::uint64_t{0}});
                                },
                                8, 1},
                    ticket_case{"reused_slot",
                                [](auto& gate, auto running, auto, auto now) {
                                  gate.Finish(running, kServed, kReportedServiceTime, now);
                                  (void)gate.ProcessQueue(now);
                                  gate.Finish(running, kServed, kReportedServiceTime, now);
                                },
                                8, 0}),
    [](const auto& info) { return info.param.name; });

// Guards against destroying entries before the queue that links them.
TEST_F(gate_test, CanBeDestroyedWithQueuedRequests) {
  WarmUp();
  (void)FillAndQueue(16, {.workspace = 1});
  EXPECT_EQ(gate_.State().queued, 16U);
}

// Guards against not charging requests that are admitted without queueing: a workspace that took
// all free slots would still be served first.
TEST_F(gate_test, RequestsAdmittedWithoutQueueingAreCharged) {
  WarmUp();
  (void)FillAndQueue(1, {.workspace = 1});
  const admission_decision other = Offer({.workspace = 2});
  ASSERT_TRUE(other.queued());
  gate_.Finish(running_.front(), work_outcome::kServed, kServiceTime, now_);
  const queue_changes changes = ProcessQueue();
  ASSERT_EQ(changes.admitted.size(), 1U);
  EXPECT_EQ(changes.admitted.front(), other.ticket);
}

struct limits_case {
  const char* name;
  std::size_t cold;
  std::size_t full;
  std::size_t queue;
  std::size_t limit;   ///< Right after the change, made with 8 in flight and 16 queued.
  std::size_t queued;  ///< After the queue has been processed.
};

class limits_test : public gate_fixture, public testing::WithParamInterface<limits_case> {};

// Guards against a configuration change that loses accepted requests, raises the limit although no
// request has finished, or is ignored until a restart.
TEST_P(limits_test, AConfigurationChangeAppliesAtOnce) {
  WarmUp();
  const auto queued = FillAndQueue(16, {.workspace = 1});
  gate_.SetLimits(GetParam().cold, GetParam().full, GetParam().queue);
  EXPECT_EQ(gate_.State().limit, GetParam().limit);
  const queue_changes changes = ProcessQueue();
  EXPECT_EQ(gate_.State().queued, GetParam().queued);
  EXPECT_EQ(changes.admitted.size() + changes.shed.size() + gate_.State().queued, queued.size());
  // All tickets from before the change are still valid.
  while (!running_.empty())
    (void)FinishAll();
  EXPECT_EQ(gate_.State().in_flight, 0U);
  EXPECT_EQ(gate_.State().queued, 0U);
}

INSTANTIATE_TEST_SUITE_P(Changes,
                         limits_test,
                         testing::Values(limits_case{"same", 2, 8, 16, 8, 16},
                                         limits_case{"higher", 2, 100, 1600, 8, 16},
                                         limits_case{"higher_cold", 10, 20, 40, 10, 14},
                                         limits_case{"lower", 2, 4, 8, 4, 8},
                                         limits_case{"no_queue", 2, 8, 0, 8, 0},
                                         limits_case{"zero", 0, 0, 0, 1, 0}),
                         [](const auto& info) { return info.param.name; });

// Guards against a raised queue limit that the pool of entries doesn't follow.
TEST_F(gate_test, ALargerQueueCanBeFilled) {
  gate_.SetLimits(2, 8, 4000);
  WarmUp();
  while (gate_.State().in_flight < 8)
    (void)Offer();
  for (std::uint64_t workspace = 0; workspace < 4000; ++workspace)
    ASSERT_TRUE(Offer({.workspace = workspace}).queued());
  EXPECT_TRUE(Offer({.workspace = 1}).rejected());
  EXPECT_EQ(gate_.State().queued, 4000U);
}

// Guards against a full queue that blocks a small workspace.
TEST_F(gate_test, ASmallWorkspaceDisplacesARequestFromAFullQueue) {
  WarmUp();
  const auto queued = FillAndQueue(16, {.workspace = 1});
  EXPECT_TRUE(Offer({.workspace = 2}).queued());
  const queue_changes changes = ProcessQueue();
  ASSERT_EQ(changes.shed.size(), 1U);
  EXPECT_EQ(changes.shed.front().ticket, queued.back());
  EXPECT_EQ(changes.shed.front().refused.reason, shed_reason::kDisplaced);
  const admission_decision more = Offer({.workspace = 1});
  ASSERT_TRUE(more.rejected());
  EXPECT_EQ(more.refused.reason, shed_reason::kQueueFull);
  EXPECT_GE(more.refused.retry_after, Settings().min_retry_after);
}

// Guards against hedges that delay other requests or load a cold upstream: a hedge is admitted only
// to a free slot of a warm upstream and is never queued.
TEST_F(gate_fixture, HedgeNeedsAFreeSlotOfAWarmUpstream) {
  const admission_request hedge{.workspace = 1, .hedge = true};
  EXPECT_EQ(Offer(hedge).refused.reason, shed_reason::kCold);
  WarmUp();
  EXPECT_TRUE(Offer(hedge).admitted());
  while (gate_.State().in_flight < gate_.State().limit)
    EXPECT_TRUE(Offer().admitted());
  const admission_decision refused = Offer(hedge);
  EXPECT_EQ(refused.refused.reason, shed_reason::kQueueFull);
  EXPECT_EQ(refused.refused.failure.outcome, verdict::kNotRun);
  EXPECT_EQ(gate_.State().queued, 0U);
  EXPECT_TRUE(Offer().queued());
}

}  // namespace
}  // namespace quincebank
