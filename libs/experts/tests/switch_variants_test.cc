#include <gtest/gtest.h>

#include <iostream>
#include <memory>
#include <ostream>
#include <utility>

#include "switch_explorer.h"

namespace quincebank::test {
namespace {

constexpr std::size_t kMaxStates = 3'000'000;

template <typename Wanted, typename Action>
const Wanted* Find(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const auto* const wanted = std::get_if<Wanted>(&action))
      return wanted;
  }
  return nullptr;
}

/// The service overwrites a record instead of creating it once.
class overwriting_store : public protocol {
 public:
  [[nodiscard]] bool CreatesOnce() const override { return false; }
  void Create(switch_decision& stored, const switch_decision& record) const override {
    stored = record;
  }
};

/// Ranks hear the commit while its record is still on the way.
class tells_before_record : public protocol {
 public:
  [[nodiscard]] std::vector<coordinator_action> Coordinator(
      switch_coordinator& coordinator,
      int rank,
      const coordinator_event& event) const override {
    auto actions = Deliver(coordinator, rank, event);
    if (const auto* const create = Find<create_record>(actions)) {
      const switch_decision record = create->record;
      actions.emplace_back(decision_message{record});
    }
    return actions;
  }
};

/// The coordinator commits when the first of two ranks has promised.
class commits_on_first_promise : public protocol {
 public:
  [[nodiscard]] std::vector<coordinator_action> Coordinator(
      switch_coordinator& coordinator,
      int rank,
      const coordinator_event& event) const override {
    auto actions = Deliver(coordinator, rank, event);
    if (std::holds_alternative<promised_message>(event) && actions.empty())
      return Deliver(coordinator, 1 - rank, event);
    return actions;
  }
};

/// The coordinator takes a failed create for one that never takes effect.
class withdraws_after_create : public protocol {
 public:
  [[nodiscard]] std::vector<coordinator_action> Coordinator(
      switch_coordinator& coordinator,
      int rank,
      const coordinator_event& event) const override {
    if (std::holds_alternative<service_failed_event>(event) &&
        coordinator.state().phase == coordinator_phase::kCommitting)
      return {withdraw_message{coordinator.state().change}};
    return Deliver(coordinator, rank, event);
  }
};

/// The agent promises as soon as it has sent the hold.
class promises_before_hold : public protocol {
 public:
  [[nodiscard]] std::vector<agent_action> Agent(switch_agent& agent,
                                                const agent_event& event) const override {
    auto actions = Deliver(agent, event);
    if (std::holds_alternative<promise_request>(event) && Find<engine_order>(actions) != nullptr)
      actions.emplace_back(promised_message{agent.state().change});
    return actions;
  }
};

/// The agent promises although the step has started.
class promises_past_step : public protocol {
 public:
  [[nodiscard]] std::vector<agent_action> Agent(switch_agent& agent,
                                                const agent_event& event) const override {
    const agent_state before = agent.state();
    const auto* const view = std::get_if<engine_view>(&event);
    if (view != nullptr && before.phase == agent_phase::kHolding && view->next_step > before.step)
      return {promised_message{before.change}};
    return Deliver(agent, event);
  }
};

/// The agent whose coordinator is gone aborts without a record.
class aborts_alone : public protocol {
 public:
  [[nodiscard]] std::vector<agent_action> Agent(switch_agent& agent,
                                                const agent_event& event) const override {
    auto actions = Deliver(agent, event);
    if (const auto* const create = Find<create_record>(actions))
      return agent.OnRecord(create->record);
    return actions;
  }
};

/// The agent whose coordinator is gone goes on waiting for it.
class waits_for_coordinator : public protocol {
 public:
  [[nodiscard]] std::vector<agent_action> Agent(switch_agent& agent,
                                                const agent_event& event) const override {
    return std::holds_alternative<gone_event>(event) ? std::vector<agent_action>{}
                                                     : Deliver(agent, event);
  }
};

/// The agent takes a map that waits for its step for the map in use.
class ignores_pending_map : public protocol {
 public:
  [[nodiscard]] std::vector<agent_action> Agent(switch_agent& agent,
                                                const agent_event& event) const override {
    const auto* const view = std::get_if<engine_view>(&event);
    if (view == nullptr || view->pending == 0)
      return Deliver(agent, event);
    engine_view changed = *view;
    changed.map = std::exchange(changed.pending, 0);
    return Deliver(agent, changed);
  }
};

/// A restarted agent releases all that it finds in the engine.
class releases_leftovers : public protocol {
 public:
  [[nodiscard]] std::vector<agent_action> Restart(switch_agent& agent,
                                                  const switch_history& history,
                                                  const switch_decision& last) const override {
    auto actions = protocol::Restart(agent, history, last);
    actions.emplace_back(engine_order{engine_order_kind::kRelease, 2, 0, 2});
    return actions;
  }
};

/// A restarted agent doesn't look at what its predecessor left in the engine.
class ignores_leftovers : public protocol {
 public:
  [[nodiscard]] std::vector<agent_action> Agent(switch_agent& agent,
                                                const agent_event& event) const override {
    const auto* const view = std::get_if<engine_view>(&event);
    if (view == nullptr || agent.state().phase > agent_phase::kIdle)
      return Deliver(agent, event);
    engine_view changed = *view;
    changed.epochs.clear();
    return Deliver(agent, changed);
  }
};

/// A restarted agent takes part in the epoch of its predecessor.
class rejoins_epoch : public protocol {
 public:
  [[nodiscard]] std::vector<agent_action> Restart(switch_agent& agent,
                                                  const switch_history& history,
                                                  const switch_decision& last) const override {
    agent = switch_agent(agent.rank());
    (void)agent.Start();
    (void)agent.OnHistory({history.decided - 1, {}});
    return agent.OnDecision({last});
  }
};

/// The agent stages again while the engine doesn't show the weights.
class repeats_stage : public protocol {
 public:
  [[nodiscard]] std::vector<agent_action> Agent(switch_agent& agent,
                                                const agent_event& event) const override {
    auto actions = Deliver(agent, event);
    if (std::holds_alternative<engine_view>(event) &&
        agent.state().phase == agent_phase::kStaging) {
      const map_epoch epoch = agent.state().change.epoch;
      actions.emplace_back(engine_order{engine_order_kind::kStage, epoch, 0, epoch});
    }
    return actions;
  }
};

/// The agent doesn't notice that its engine has restarted in the middle of a change.
class ignores_boot : public protocol {
 public:
  [[nodiscard]] std::vector<agent_action> Agent(switch_agent& agent,
                                                const agent_event& event) const override {
    const auto* const view = std::get_if<engine_view>(&event);
    if (view == nullptr || agent.state().phase < agent_phase::kStaging)
      return Deliver(agent, event);
    engine_view changed = *view;
    changed.boot = agent.state().boot;
    return Deliver(agent, changed);
  }
};

enum class fault { kTwoMaps, kStuck };

struct variant_case {
  const char* name;
  std::shared_ptr<const protocol> rules;
  limits bounds;
  fault expected;

  friend void PrintTo(const variant_case& c, std::ostream* out) { *out << c.name; }
};

class switch_variant_test : public testing::TestWithParam<variant_case> {};

// Guards against an enumeration that wouldn't notice a broken protocol.
TEST_P(switch_variant_test, IsCaught) {
  const exploration found = Explore(GetParam().bounds, *GetParam().rules, kMaxStates);
  if (GetParam().expected == fault::kTwoMaps) {
    EXPECT_NE(found.violation, "") << found.states << " states";
  } else {
    EXPECT_TRUE(found.complete);
    EXPECT_GT(found.stuck, 0U) << found.states << " states";
  }
  std::cout << GetParam().name << ": " << found.states << " states, " << found.trace.size()
            << " events to \"" << found.violation << "\", " << found.stuck << " stuck\n";
}

template <typename Rules>
variant_case Variant(const char* name, const limits& bounds, fault expected = fault::kTwoMaps) {
  return {name, std::make_shared<Rules>(), bounds, expected};
}

INSTANTIATE_TEST_SUITE_P(
    Variants,
    switch_variant_test,
    testing::Values(
        Variant<overwriting_store>("overwriting_store", {.steps = 2, .wrong_suspicions = 1}),
        Variant<tells_before_record>("tells_before_record", {.steps = 2, .wrong_suspicions = 1}),
        Variant<commits_on_first_promise>("commits_on_first_promise", {.steps = 2}),
        Variant<withdraws_after_create>("withdraws_after_create", {.steps = 2}),
        Variant<promises_before_hold>("promises_before_hold", {.steps = 2}),
        Variant<promises_past_step>("promises_past_step", {.steps = 2}),
        Variant<aborts_alone>("aborts_alone", {.steps = 2, .wrong_suspicions = 1}),
        Variant<waits_for_coordinator>("waits_for_coordinator",
                                       {.steps = 2, .coordinator_crashes = 1},
                                       fault::kStuck),
        Variant<ignores_pending_map>(
            "ignores_pending_map",
            {.coordinators = 2, .steps = 2, .give_ups = 0, .in_turn = true}),
        Variant<releases_leftovers>("releases_leftovers", {.steps = 2, .agent_restarts = 1}),
        Variant<ignores_leftovers>("ignores_leftovers",
                                   {.steps = 2, .agent_restarts = 1},
                                   fault::kStuck),
        Variant<rejoins_epoch>("rejoins_epoch",
                               {.coordinators = 2,
                                .steps = 4,
                                .agent_restarts = 1,
                                .order_copies = 2,
                                .give_ups = 0,
                                .in_turn = true}),
        Variant<repeats_stage>(
            "repeats_stage",
            {.coordinators = 2, .steps = 4, .order_copies = 2, .give_ups = 0, .in_turn = true}),
        Variant<ignores_boot>("ignores_boot", {.steps = 2, .group_reboots = 1, .give_ups = 0})),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace quincebank::test
