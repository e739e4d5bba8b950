#include "quincebank/config/apply_flow.h"

#include <gtest/gtest.h>

#include "fixtures.h"

namespace quincebank {
namespace {

constexpr time_point kStart{seconds(100)};

apply_request Request() {
  apply_request request;
  request.document = ParseDocument(fixtures::Document()).value();
  request.author = "ops";
  request.force = true;
  request.id = "id";
  return request;
}

/// Answers all actions up to `last`, then hands back the action at which it stopped.
apply_action RunUntil(apply_flow& flow, apply_step last, time_point now) {
  for (;;) {
    apply_action action = flow.Next(now);
    if (action.step == last || action.step == apply_step::kFinished)
      return action;
    if (action.step == apply_step::kWriteSection) {
      flow.OnWritten(true, now);
    } else {
      flow.OnRead(std::nullopt, now);
    }
  }
}

struct outage_case {
  const char* name;
  apply_step from;   ///< Step from which on every call fails.
  verdict call;      ///< Verdict of the failed calls.
  verdict expected;  ///< Verdict of the rejection.
  const char* message;
};

class outage_test : public testing::TestWithParam<outage_case> {};

// Guards against a rejection that says "not in force" of a change that may take effect, and against
// a flow without end while the service is down.
TEST_P(outage_test, RejectsWithATrueVerdictWithinTheLimit) {
  apply_flow flow(Request(), {}, kStart);
  time_point now = kStart;
  ASSERT_EQ(RunUntil(flow, GetParam().from, now).step, GetParam().from);
  const error down = MakeError(error_code::kTimeout, "no answer", GetParam().call);
  std::size_t calls = 0;
  for (auto action = flow.Next(now); action.step != apply_step::kFinished;
       action = flow.Next(now)) {
    if (action.step == apply_step::kWait) {
      now = action.not_before;
      continue;
    }
    flow.OnError(down, now);
    ASSERT_LT(++calls, 100U);
  }
  EXPECT_GE(now, kStart + apply_settings().time_limit);
  EXPECT_FALSE(flow.outcome().accepted);
  EXPECT_EQ(flow.outcome().reason.outcome, GetParam().expected);
  EXPECT_EQ(flow.outcome().reason.message.find(GetParam().message), 0U)
      << flow.outcome().reason.message;
}

INSTANTIATE_TEST_SUITE_P(
    Steps,
    outage_test,
    testing::Values(outage_case{"read_root", apply_step::kReadRoot, verdict::kMayHaveRun,
                                verdict::kNotRun, "not in force: no end within the time limit"},
                    outage_case{"write_section", apply_step::kWriteSection, verdict::kMayHaveRun,
                                verdict::kNotRun, "not in force"},
                    outage_case{"swap_refused", apply_step::kSwapRoot, verdict::kNotRun,
                                verdict::kNotRun, "not in force"},
                    outage_case{"swap_lost", apply_step::kSwapRoot, verdict::kMayHaveRun,
                                verdict::kMayHaveRun,
                                "may be in force, now or later, as version 1"}),
    [](const auto& info) { return info.param.name; });

/// Root that a faster or later writer has put in force.
config_root RootOf(std::uint64_t version, std::vector<std::string> previous) {
  config_root root;
  root.version = version;
  root.previous = std::move(previous);
  root.id = "another";
  return root;
}

struct read_back_case {
  const char* name;
  std::uint64_t version;  ///< Of the root that is read back.
  std::size_t history;    ///< Number of earlier digests that it names.
  bool names_mine;        ///< Whether its history has the lost root.
  bool finished;
  bool accepted;
  verdict outcome;
};

class read_back_test : public testing::TestWithParam<read_back_case> {};

// Guards against a lost answer whose change was superseded before the writer could look.
TEST_P(read_back_test, FindsTheLostRootInTheHistory) {
  apply_flow flow(Request(), {}, kStart);
  const apply_action swap = RunUntil(flow, apply_step::kSwapRoot, kStart);
  ASSERT_EQ(swap.step, apply_step::kSwapRoot);
  const std::string mine = Digest(ParseRoot(swap.value).value());
  flow.OnError(MakeError(error_code::kTimeout, "no answer", verdict::kMayHaveRun), kStart);
  const time_point now = kStart + seconds(1);
  ASSERT_EQ(flow.Next(now).step, apply_step::kReadBack);
  std::vector<std::string> previous(GetParam().history, "another digest");
  if (GetParam().names_mine)
    previous[GetParam().version - 2] = mine;
  flow.OnRead(stored_value{Serialize(RootOf(GetParam().version, previous)), 9}, now);
  EXPECT_EQ(flow.Next(now).step == apply_step::kFinished, GetParam().finished);
  EXPECT_EQ(flow.outcome().accepted, GetParam().accepted);
  if (GetParam().finished && !GetParam().accepted) {
    EXPECT_EQ(flow.outcome().reason.outcome, GetParam().outcome);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Roots,
    read_back_test,
    testing::Values(
        read_back_case{"superseded", 3, 2, true, true, true, {}},
        read_back_case{"superseded_often", kRootHistory + 1, kRootHistory, true, true, true, {}},
        read_back_case{"beyond_the_history", kRootHistory + 2, kRootHistory, false, true, false,
                       verdict::kMayHaveRun},
        read_back_case{"another_was_faster", 1, 0, false, false, false, {}},
        read_back_case{"others_were_faster", 3, 2, false, false, false, {}}),
    [](const auto& info) { return info.param.name; });

// Guards against a second root for one change: the repeat must be the same bytes at the same index.
TEST(apply_flow_test, RepeatsALostSwapUnchanged) {
  apply_flow flow(Request(), {}, kStart);
  const apply_action first = RunUntil(flow, apply_step::kSwapRoot, kStart);
  flow.OnError(MakeError(error_code::kTimeout, "no answer", verdict::kMayHaveRun), kStart);
  time_point now = kStart + seconds(1);
  flow.OnRead(std::nullopt, now);
  now += seconds(1);
  const apply_action second = flow.Next(now);
  EXPECT_EQ(second.step, apply_step::kSwapRoot);
  EXPECT_EQ(second.value, first.value);
  EXPECT_EQ(second.index, first.index);
  flow.OnWritten(true, now);
  EXPECT_TRUE(flow.outcome().accepted);
  EXPECT_EQ(flow.outcome().version, 1U);
  EXPECT_EQ(flow.outcome().changed.size(), 6U);
}

// Guards against a merge with a section that is not the one the root names.
TEST(apply_flow_test, RejectsADamagedSection) {
  config_root root = RootOf(1, {});
  root.sections["other"] = {std::string(64, 'a'), 1, "anna"};
  apply_flow flow(Request(), {}, kStart);
  flow.OnRead(stored_value{Serialize(root), 3}, kStart);
  ASSERT_EQ(flow.Next(kStart).step, apply_step::kReadSection);
  flow.OnRead(stored_value{"{}", 4}, kStart);
  ASSERT_EQ(flow.Next(kStart).step, apply_step::kFinished);
  EXPECT_EQ(flow.outcome().reason.outcome, verdict::kNotRun);
  EXPECT_NE(flow.outcome().reason.message.find("'other' is missing or damaged"), std::string::npos);
}

}  // namespace
}  // namespace quincebank
