#include <gtest/gtest.h>

#include <functional>
#include <ostream>

#include "quincebank/base/json_reader.h"
#include "quincebank/experts/switch_agent.h"
#include "quincebank/experts/switch_coordinator.h"
#include "quincebank/experts/switch_json.h"

namespace quincebank {
namespace {

const change_id kChange{4, {7}};

switch_decision Record(switch_verdict verdict) {
  return verdict == switch_verdict::kAbort ? switch_decision{4, verdict, 0, {}, {}}
                                           : switch_decision{4, verdict, 12, {}, {}};
}

struct coordinator_case {
  const char* name;
  std::function<void(switch_coordinator&)> events;
  coordinator_phase phase;
  bool withdraws;  ///< On the last deadline.

  friend void PrintTo(const coordinator_case& c, std::ostream* out) { *out << c.name; }
};

void Prepare(switch_coordinator& coordinator) {
  (void)coordinator.OnHistory({3, {}});
  (void)coordinator.OnPrepared(0, {kChange, 10});
  (void)coordinator.OnPrepared(1, {kChange, 9});
}

void Promise(switch_coordinator& coordinator) {
  Prepare(coordinator);
  (void)coordinator.OnHistory({3, {}});
  (void)coordinator.OnPromised(0, {kChange});
  (void)coordinator.OnPromised(1, {kChange});
}

class switch_coordinator_test : public testing::TestWithParam<coordinator_case> {};

// Guards against changes that start or end wrongly while the key-value service is down.
TEST_P(switch_coordinator_test, WithdrawsOnlyBeforeItsCreate) {
  switch_coordinator coordinator({7}, 2, {}, 2);
  (void)coordinator.Start();
  GetParam().events(coordinator);
  EXPECT_EQ(coordinator.state().phase, GetParam().phase);
  const auto actions = coordinator.OnDeadline();
  const bool withdraws =
      !actions.empty() && std::holds_alternative<withdraw_message>(actions.front());
  EXPECT_EQ(withdraws, GetParam().withdraws);
}

INSTANTIATE_TEST_SUITE_P(
    Events,
    switch_coordinator_test,
    testing::Values(coordinator_case{"service_down_at_start",
                                     [](switch_coordinator& c) { (void)c.OnServiceFailed(); },
                                     coordinator_phase::kNotStarted, false},
                    coordinator_case{"one_rank_prepared",
                                     [](switch_coordinator& c) {
                                       (void)c.OnHistory({3, {}});
                                       (void)c.OnPrepared(0, {kChange, 10});
                                       (void)c.OnPrepared(0, {kChange, 10});
                                     },
                                     coordinator_phase::kPreparing, true},
                    coordinator_case{"service_down_before_promise",
                                     [](switch_coordinator& c) {
                                       Prepare(c);
                                       (void)c.OnServiceFailed();
                                     },
                                     coordinator_phase::kAborting, false},
                    coordinator_case{"epoch_aborted_before_promise",
                                     [](switch_coordinator& c) {
                                       Prepare(c);
                                       (void)c.OnHistory({4, {}});
                                     },
                                     coordinator_phase::kAborting, false},
                    coordinator_case{"answer_of_create_lost",
                                     [](switch_coordinator& c) {
                                       Promise(c);
                                       (void)c.OnServiceFailed();
                                     },
                                     coordinator_phase::kCommitting, false},
                    coordinator_case{"refused_after_create",
                                     [](switch_coordinator& c) {
                                       Promise(c);
                                       (void)c.OnRefused({kChange});
                                     },
                                     coordinator_phase::kCommitting, false},
                    coordinator_case{"message_of_another_change",
                                     [](switch_coordinator& c) {
                                       Prepare(c);
                                       (void)c.OnHistory({3, {}});
                                       (void)c.OnRefused({{4, {8}}});
                                       (void)c.OnPromised(0, {{4, {8}}});
                                     },
                                     coordinator_phase::kPromising, true},
                    coordinator_case{"another_writer_was_faster",
                                     [](switch_coordinator& c) {
                                       Promise(c);
                                       (void)c.OnRecord(Record(switch_verdict::kAbort));
                                     },
                                     coordinator_phase::kDone, false}),
    [](const auto& info) { return info.param.name; });

// Guards against a pending change that never resolves after a long outage.
TEST(switch_coordinator_outage_test, RepeatsTheCreateUntilARecordStands) {
  switch_coordinator coordinator({7}, 2, {}, 2);
  Promise(coordinator);
  for (int i = 0; i < 3; ++i) {
    (void)coordinator.OnServiceFailed();
    const auto actions = coordinator.OnTick();
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<create_record>(actions[0]).record, Record(switch_verdict::kCommit));
  }
  const auto actions = coordinator.OnRecord(Record(switch_verdict::kCommit));
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(std::get<decision_message>(actions[0]).record, Record(switch_verdict::kCommit));
}

struct leftover_case {
  const char* name;
  switch_history history;
  engine_view view;
  std::size_t action;  ///< Index of the first action in `agent_action`, or of none.
  std::optional<engine_order_kind> order;

  friend void PrintTo(const leftover_case& c, std::ostream* out) { *out << c.name; }
};

constexpr std::size_t kNoAction = 99;
const switch_decision kRestarted{4, switch_verdict::kRestart, 0, {}, {2}};
const switch_decision kCommitted{4, switch_verdict::kCommit, 12, {}, {}};

class leftover_test : public testing::TestWithParam<leftover_case> {};

// Guards against a restarted agent that ends the hold of its predecessor without the decision.
TEST_P(leftover_test, RestartedAgentFollowsTheRecord) {
  switch_agent agent;
  (void)agent.Start();
  (void)agent.OnHistory(GetParam().history);
  const auto actions = agent.OnView(GetParam().view);
  if (GetParam().action == kNoAction) {
    EXPECT_TRUE(actions.empty());
    return;
  }
  ASSERT_FALSE(actions.empty());
  EXPECT_EQ(actions[0].index(), GetParam().action);
  const auto* const order = std::get_if<engine_order>(actions.data());
  EXPECT_EQ(order == nullptr ? std::nullopt : std::optional(order->kind), GetParam().order);
}

const std::size_t kOrder = agent_action(engine_order{}).index();
const std::size_t kCreate = agent_action(create_record{}).index();
const std::size_t kLost = agent_action(report_engine_lost{}).index();

INSTANTIATE_TEST_SUITE_P(
    Views,
    leftover_test,
    testing::Values(
        leftover_case{"clean", {3, {}}, {1, 10, 0, 0, {}}, kNoAction, {}},
        leftover_case{"undecided_hold", {3, {}}, {1, 10, 0, 0, {{4, true, 12}}}, kCreate, {}},
        leftover_case{"staged_only",
                      {3, {}},
                      {1, 10, 0, 0, {{4, true, {}}}},
                      kOrder,
                      engine_order_kind::kRelease},
        leftover_case{"committed_hold",
                      {4, kCommitted},
                      {1, 10, 0, 0, {{4, true, 12}}},
                      kOrder,
                      engine_order_kind::kCommit},
        leftover_case{"aborted_hold",
                      {4, {}},
                      {1, 10, 0, 0, {{4, true, 12}}},
                      kOrder,
                      engine_order_kind::kRelease},
        leftover_case{"commit_waits_for_its_step",
                      {4, kCommitted},
                      {1, 10, 0, 4, {}},
                      kNoAction,
                      {}},
        leftover_case{"initial_map_after_a_restart",
                      {4, kRestarted},
                      {2, 10, 0, 0, {}},
                      kNoAction,
                      {}},
        leftover_case{"restarted_once_more", {4, kRestarted}, {3, 0, 0, 0, {}}, kLost, {}},
        leftover_case{"staged_before_the_restart",
                      {4, kRestarted},
                      {2, 10, 0, 0, {{4, true, {}}}},
                      kOrder,
                      engine_order_kind::kRelease},
        leftover_case{"engine_without_the_map", {4, kCommitted}, {2, 0, 0, 0, {}}, kLost, {}}),
    [](const auto& info) { return info.param.name; });

// Guards against a restarted agent that takes part in an epoch its predecessor may have seen.
TEST(switch_agent_test, RefusesTheEpochAfterItsStart) {
  switch_agent agent;
  (void)agent.Start();
  (void)agent.OnHistory({3, {}});
  (void)agent.OnView({});
  const auto refused = agent.OnPrepare({{4, {7}}, {}});
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<refused_message>(refused[0]));
  (void)agent.OnDecision({Record(switch_verdict::kAbort)});
  (void)agent.OnView({});
  const auto staged = agent.OnPrepare({{5, {7}}, {}});
  ASSERT_FALSE(staged.empty());
  EXPECT_EQ(std::get<engine_order>(staged[0]).kind, engine_order_kind::kStage);
}

struct record_case {
  const char* name;
  const char* text;
  const char* path;  ///< Of the error; empty if the record is valid.

  friend void PrintTo(const record_case& c, std::ostream* out) { *out << c.name; }
};

class record_json_test : public testing::TestWithParam<record_case> {};

// Guards against a record that another version or writer has damaged.
TEST_P(record_json_test, NamesThePath) {
  const auto record = SwitchDecisionFromJson(ParseJson(GetParam().text).value());
  EXPECT_EQ(record.has_value() ? "" : record.error().path, GetParam().path);
}

INSTANTIATE_TEST_SUITE_P(
    Records,
    record_json_test,
    testing::Values(
        record_case{"abort", R"({"epoch":4,"verdict":"abort"})", ""},
        record_case{"restart", R"({"epoch":4,"verdict":"restart","engines":[{"boot":7}]})", ""},
        record_case{"restart_without_engines", R"({"epoch":4,"verdict":"restart"})", "/engines"},
        record_case{"restart_without_boot", R"({"epoch":4,"verdict":"restart","engines":[{}]})",
                    "/engines/0/boot"},
        record_case{"unknown_verdict", R"({"epoch":4,"verdict":"no"})", "/verdict"},
        record_case{"short_digest", R"({"epoch":4,"verdict":"commit","step":1,"map":"00"})",
                    "/map"},
        record_case{"abort_with_step", R"({"epoch":4,"verdict":"abort","step":1})", "/step"}),
    [](const auto& info) { return info.param.name; });

TEST(record_json_round_trip_test, KeepsTheDecision) {
  switch_decision record{9, switch_verdict::kCommit, 77, DigestOfMap("{}"), {}};
  EXPECT_EQ(SwitchDecisionFromJson(ToJson(record)).value(), record);
  record = {9, switch_verdict::kRestart, 0, {}, {7, 8}};
  EXPECT_EQ(SwitchDecisionFromJson(ToJson(record)).value(), record);
  EXPECT_EQ(DecisionKey("g1", 9), "experts/g1/9");
}

// Guards against staged weights that are never released, since an engine that checks fencing tokens
// rejects the release of a change that was given up.
TEST(switch_agent_fence_test, NeverFallsAfterAnAbandonedChange) {
  switch_agent agent;
  (void)agent.Start();
  (void)agent.OnHistory({3, {}});
  (void)agent.OnView({});
  (void)agent.OnDecision({Record(switch_verdict::kAbort)});
  (void)agent.OnView({});
  ASSERT_EQ(agent.state().phase, agent_phase::kIdle);
  const change_id change{5, {7}};
  const auto staged = agent.OnPrepare({change, {}});
  ASSERT_TRUE(std::holds_alternative<engine_order>(staged.front()));
  (void)agent.OnCoordinatorGone(change);
  engine_view view;
  view.epochs.push_back({5, true, std::nullopt});
  const auto released = agent.OnView(view);
  ASSERT_FALSE(released.empty());
  ASSERT_TRUE(std::holds_alternative<engine_order>(released.front()));
  EXPECT_EQ(std::get<engine_order>(released.front()).kind, engine_order_kind::kRelease);
  EXPECT_GE(std::get<engine_order>(released.front()).fence,
            std::get<engine_order>(staged.front()).fence);
}

}  // namespace
}  // namespace quincebank
