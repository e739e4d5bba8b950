#include "quincebank/admission/gate.h"

#include <algorithm>
#include <functional>

#include "gate_fixture.h"

namespace quincebank {
namespace {

class gate_test : public gate_fixture {};

// Guards against a cold upstream that holds more accepted work than it can handle: queued work
// counts towards the limit.
TEST_F(gate_test, AColdUpstreamHoldsNoQueue) {
  EXPECT_TRUE(Offer().admitted());
  EXPECT_TRUE(Offer().admitted());
  const admission_decision third = Offer();
  ASSERT_TRUE(third.rejected());
  EXPECT_EQ(third.refused.reason, shed_reason::kCold);
  EXPECT_EQ(third.refused.failure.outcome, verdict::kNotRun);
  EXPECT_EQ(gate_.State().queued, 0U);
  EXPECT_EQ(gate_.State().name(), "cold");
}

TEST_F(gate_test, EvidenceLeadsToTheFullLimitAndAQueue) {
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

struct fallback_case {
  const char* name;
  std::function<void(admission_gate&)> event;
  std::size_t limit;
};

class fallback_test : public gate_fixture, public testing::WithParamInterface<fallback_case> {};

// Guards against a restarted or reconnected engine that is given the share of the warm one, and
// against queued work that waits for slots that no longer exist.
TEST_P(fallback_test, ActsAtOnce) {
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
  // Work in flight still occupies the upstream, so nothing starts until it is below the limit.
  if (GetParam().limit < 8) {
    EXPECT_TRUE(Offer().rejected());
  }
}

INSTANTIATE_TEST_SUITE_P(
    Events,
    fallback_test,
    testing::Values(
        fallback_case{"new_boot_number", [](admission_gate& gate) { gate.OnUpstreamBoot(2); }, 2},
        fallback_case{"lower_boot_number", [](admission_gate& gate) { gate.OnUpstreamBoot(0); }, 2},
        fallback_case{"same_boot_number", [](admission_gate& gate) { gate.OnUpstreamBoot(1); }, 8},
        fallback_case{"connection_lost", [](admission_gate& gate) { gate.OnConnectionLost(); }, 2},
        fallback_case{"drained_and_back",
                      [](admission_gate& gate) {
                        gate.SetDraining(true);
                        gate.SetDraining(false);
                      },
                      2}),
    [](const auto& info) { return info.param.name; });

// Guards against slots that are given out while running work shows that the upstream is slow.
TEST_F(gate_test, SlowRunningWorkStopsNewWork) {
  WarmUp();
  (void)FillAndQueue(4, {.workspace = 1});
  gate_.ReportServiceTime(running_[0], seconds(10));
  gate_.ReportServiceTime(running_[1], seconds(10));
  EXPECT_EQ(gate_.State().phase, admission_phase::kCold);
  EXPECT_EQ(gate_.State().limit, 2U);
  EXPECT_EQ(ProcessQueue().shed.size(), 4U);
}

// Guards against finishes from before a restart that free slots twice or warm up the new engine.
TEST_F(gate_test, WorkFromBeforeARestartOnlyFreesItsSlot) {
  gate_.OnUpstreamBoot(1);
  WarmUp();
  (void)FillAndQueue(0, {});
  gate_.OnUpstreamBoot(2);
  (void)FinishAll();
  EXPECT_EQ(gate_.State().in_flight, 0U);
  EXPECT_EQ(gate_.State().limit, 2U);
  EXPECT_EQ(gate_.State().phase, admission_phase::kCold);
}

// Guards against new work on a draining upstream and against cutting off running work.
TEST_F(gate_test, DrainingRejectsNewAndQueuedWorkOnly) {
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

// Guards against slots that are freed twice or never: repeated, late and wrong calls of an agent.
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

// Guards against queue links into entries that are destroyed first.
TEST_F(gate_test, MayBeDestroyedWithQueuedWork) {
  WarmUp();
  (void)FillAndQueue(16, {.workspace = 1});
  EXPECT_EQ(gate_.State().queued, 16U);
}

// Guards against a workspace that takes all free slots and is then treated as if it had used
// nothing.
TEST_F(gate_test, WorkThatDidNotWaitIsChargedToo) {
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
  std::size_t limit;   ///< Right after the change, from 8 in flight and 16 queued.
  std::size_t queued;  ///< After the next step.
};

class limits_test : public gate_fixture, public testing::WithParamInterface<limits_case> {};

// Guards against a configuration change that loses accepted work, raises the limit without evidence
// or is ignored until a restart.
TEST_P(limits_test, AConfigurationChangeAppliesAtOnce) {
  WarmUp();
  const auto queued = FillAndQueue(16, {.workspace = 1});
  gate_.SetLimits(GetParam().cold, GetParam().full, GetParam().queue);
  EXPECT_EQ(gate_.State().limit, GetParam().limit);
  const queue_changes changes = ProcessQueue();
  EXPECT_EQ(gate_.State().queued, GetParam().queued);
  EXPECT_EQ(changes.admitted.size() + changes.shed.size() + gate_.State().queued, queued.size());
  // All tickets from before the change still name their work.
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

// Guards against a larger queue that is configured but cannot be filled.
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

// Guards against a full queue that keeps out a small workspace.
TEST_F(gate_test, AFullQueueMakesRoomForASmallWorkspace) {
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

// Guards against second copies that delay other work or load a cold upstream: they take a free
// place of a warm upstream or none.
TEST_F(gate_fixture, HedgeTakesAFreePlaceOfAWarmUpstreamOrNone) {
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
