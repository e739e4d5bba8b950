#include <gtest/gtest.h>

#include <iostream>
#include <ostream>

#include "switch_explorer.h"

namespace quincebank::test {
namespace {

constexpr std::size_t kMaxStates = 3'000'000;

struct group_case {
  const char* name;
  limits bounds;

  friend void PrintTo(const group_case& c, std::ostream* out) { *out << c.name; }
};

std::string Join(const std::vector<std::string>& events) {
  std::string text;
  for (const std::string& event : events)
    text += "\n  " + event;
  return text;
}

class switch_protocol_test : public testing::TestWithParam<group_case> {};

// Guards against two maps in one step, and against ranks that wait forever for a decision, in any
// order of messages, engine orders, crashes and losses.
TEST_P(switch_protocol_test, AllRanksUseOneMapInEveryStep) {
  const exploration found = Explore(GetParam().bounds, protocol(), kMaxStates);
  std::cout << GetParam().name << ": " << found.states << " states, " << found.transitions
            << " transitions\n";
  EXPECT_EQ(found.violation, "") << Join(found.trace);
  ASSERT_TRUE(found.complete) << "more than " << kMaxStates << " states";
  if (GetParam().bounds.give_ups == kUnbounded) {
    EXPECT_EQ(found.stuck, 0U) << Join(found.stuck_trace);
  }
  // Without these the enumeration would prove nothing.
  EXPECT_GT(found.new_map_used, 0U);
  const limits& bounds = GetParam().bounds;
  if (bounds.group_reboots > 0 && bounds.coordinators > 1) {
    EXPECT_GT(found.new_map_after_reboot, 0U);
  }
  if (bounds.give_ups != 0 || bounds.coordinator_crashes > 0) {
    EXPECT_GT(found.aborted, 0U);
  }
}

const auto kName = [](const auto& info) { return std::string(info.param.name); };

INSTANTIATE_TEST_SUITE_P(
    Groups,
    switch_protocol_test,
    testing::Values(
        group_case{"two_ranks", {.ranks = 2}},
        group_case{"two_ranks_wrong_suspicions", {.ranks = 2, .wrong_suspicions = 2}},
        group_case{"two_ranks_crash_and_loss",
                   {.ranks = 2, .coordinator_crashes = 1, .rank_losses = 1}},
        group_case{"two_ranks_crash_and_restarts",
                   {.ranks = 2, .steps = 2, .coordinator_crashes = 1, .agent_restarts = 2}},
        group_case{"two_ranks_fences",
                   {.ranks = 2, .agent_restarts = 1, .engines_check_fences = true}},
        group_case{"two_changes_in_turn",
                   {.coordinators = 2, .steps = 4, .give_ups = 1, .in_turn = true}},
        group_case{"two_changes_in_turn_late_orders",
                   {.coordinators = 2,
                    .steps = 4,
                    .agent_restarts = 1,
                    .order_copies = 2,
                    .give_ups = 0,
                    .in_turn = true}},
        group_case{"two_changes_at_once", {.coordinators = 2, .steps = 2, .give_ups = 1}},
        group_case{"two_changes_at_once_restart",
                   {.coordinators = 2, .steps = 3, .agent_restarts = 1, .give_ups = 0}},
        group_case{"two_changes_at_once_crash_and_restart",
                   {.coordinators = 2,
                    .steps = 2,
                    .coordinator_crashes = 1,
                    .agent_restarts = 1,
                    .give_ups = 0}},
        group_case{"two_changes_at_once_crash_and_loss",
                   {.coordinators = 2,
                    .steps = 2,
                    .coordinator_crashes = 2,
                    .rank_losses = 1,
                    .give_ups = 0}},
        group_case{"two_ranks_reboot", {.steps = 2, .group_reboots = 1}},
        group_case{"two_ranks_reboot_and_restart",
                   {.steps = 2, .agent_restarts = 1, .group_reboots = 1, .give_ups = 0}},
        group_case{
            "two_changes_in_turn_reboot",
            {.coordinators = 2, .steps = 2, .group_reboots = 1, .give_ups = 0, .in_turn = true}},
        group_case{"three_ranks_two_changes_in_turn",
                   {.ranks = 3,
                    .coordinators = 2,
                    .steps = 4,
                    .agent_restarts = 1,
                    .give_ups = 0,
                    .in_turn = true}},
        group_case{"three_ranks_two_changes_at_once",
                   {.ranks = 3, .coordinators = 2, .steps = 2, .rank_losses = 1, .give_ups = 0}},
        group_case{"three_ranks", {.ranks = 3, .steps = 2}},
        group_case{
            "three_ranks_crash_and_loss",
            {.ranks = 3, .steps = 2, .coordinator_crashes = 1, .rank_losses = 1, .give_ups = 0}},
        group_case{"three_ranks_restart",
                   {.ranks = 3, .steps = 2, .agent_restarts = 1, .give_ups = 0}}),
    kName);

// About a minute each, so they run only with --gtest_also_run_disabled_tests.
INSTANTIATE_TEST_SUITE_P(
    LongGroups,
    switch_protocol_test,
    testing::Values(group_case{"three_ranks_crash",
                               {.ranks = 3, .steps = 2, .coordinator_crashes = 1}},
                    group_case{"three_ranks_restart_and_give_up",
                               {.ranks = 3, .steps = 2, .agent_restarts = 1, .give_ups = 1}}),
    kName);

}  // namespace
}  // namespace quincebank::test
