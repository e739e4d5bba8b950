#include <gtest/gtest.h>

#include <iostream>

#include "switch_explorer.h"

namespace quincebank::test {
namespace {

constexpr std::size_t kMaxStates = 3'000'000;

struct group_case {
  const char* name;
  limits bounds;
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
  EXPECT_EQ(found.stuck, 0U) << Join(found.stuck_trace);
  // Without these the enumeration would prove nothing.
  EXPECT_GT(found.new_map_used, 0U);
  EXPECT_GT(found.aborted, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Groups,
    switch_protocol_test,
    testing::Values(
        group_case{"two_ranks", {.ranks = 2}},
        group_case{"two_ranks_suspicions", {.ranks = 2, .wrong_suspicions = 2}},
        group_case{"two_ranks_crash", {.ranks = 2, .coordinator_crashes = 1}},
        group_case{"two_ranks_crash_loss",
                   {.ranks = 2, .coordinator_crashes = 1, .rank_losses = 1}},
        group_case{"two_ranks_restart", {.ranks = 2, .agent_restarts = 1}},
        group_case{"two_ranks_restart2",
                   {.ranks = 2, .steps = 2, .coordinator_crashes = 1, .agent_restarts = 2}},
        group_case{"two_coords", {.ranks = 2, .coordinators = 2, .steps = 2}},
        group_case{"two_coords_in_turn",
                   {.ranks = 2, .coordinators = 2, .steps = 2, .in_turn = true}},
        group_case{"three_ranks2", {.ranks = 3, .steps = 2}},
        group_case{"three_ranks2_crash", {.ranks = 3, .steps = 2, .coordinator_crashes = 1}},
        group_case{"three_ranks", {.ranks = 3}}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace quincebank::test
