// Expert maps of a rank group, through the running system.

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <set>

#include "process_test.h"
#include "quincebank/experts/plan_json.h"

namespace quincebank {
namespace {

class experts_process_test : public process_test {
 protected:
  static constexpr int kRanks = 3;

  void StartGroup(std::vector<std::string> options = {}) {
    deployment_plan plan;
    plan.entries = 1;
    plan.drafts = 0;
    plan.orders = 0;
    plan.ranks = kRanks;
    plan.rank_options = std::move(options);
    StartSystem(plan);
  }

  /// Epochs of the maps in use, one for each rank.
  [[nodiscard]] std::vector<std::int64_t> Numbers(const char* name) {
    std::vector<std::int64_t> numbers;
    const boost::json::value counters = system().Counters("ranks");
    if (!counters.is_object())
      return numbers;
    for (const boost::json::value& value : counters.get_object().at(name).get_array())
      numbers.push_back(value.to_number<std::int64_t>());
    return numbers;
  }

  /// The epoch that all ranks use, or -1 if they differ.
  [[nodiscard]] std::int64_t Epoch() {
    const std::vector<std::int64_t> maps = Numbers("maps");
    const std::set<std::int64_t> different(maps.begin(), maps.end());
    return different.size() == 1 ? *different.begin() : -1;
  }

  [[nodiscard]] boost::json::object Status(int rank, const std::string& params = "{}") {
    const auto answer = system().Call(
        "agent-rank-" + std::to_string(rank),
        {"POST",
         "/rpc",
         {{"Content-Type", "application/json"}},
         R"({"jsonrpc": "2.0", "id": 1, "method": "experts.status", "params": )" + params + "}"});
    if (!answer)
      return {};
    const auto parsed = ParseJson(answer.value().body);
    const boost::json::object* const object = parsed ? parsed.value().if_object() : nullptr;
    const boost::json::value* const found = object ? object->if_contains("result") : nullptr;
    return found != nullptr && found->is_object() ? found->get_object() : boost::json::object();
  }

  [[nodiscard]] std::string Phase(int rank) {
    const boost::json::object status = Status(rank);
    const boost::json::value* const phase = status.if_contains("phase");
    return phase != nullptr && phase->is_string() ? std::string(phase->get_string()) : "";
  }

  /// The rank whose agent coordinates, or -1.
  [[nodiscard]] int Leader() {
    for (int rank = 0; rank < kRanks; ++rank) {
      const boost::json::object status = Status(rank);
      const boost::json::value* const part = status.if_contains("coordinator");
      if (part != nullptr && part->get_object().at("leads") == true)
        return rank;
    }
    return -1;
  }

  /// Makes another expert popular, so that a change of the map pays.
  void Shift() {
    hot_ = (hot_ + 5) % 16;
    system().Control("ranks",
                     R"({"hot_tokens": 4000, "hot_expert": )" + std::to_string(hot_) + "}");
  }

  [[nodiscard]] bool WaitForEpochAbove(std::int64_t epoch) {
    return deployment::WaitUntil([&] { return Epoch() > epoch; }, kPatience);
  }

  /// Waits until an agent takes part in a change.
  [[nodiscard]] bool WaitForPhase(const std::set<std::string>& phases) {
    return deployment::WaitUntil(
        [&] {
          for (int rank = 0; rank < kRanks; ++rank) {
            if (phases.contains(Phase(rank)))
              return true;
          }
          return false;
        },
        kPatience);
  }

  /// Another shift of popularity must change the map everywhere, and no step was ever mixed.
  void ExpectLaterChange() {
    ASSERT_TRUE(deployment::WaitUntil(
        [&] {
          for (int rank = 0; rank < kRanks; ++rank) {
            if (Phase(rank) != "idle")
              return false;
          }
          return Epoch() >= 0;
        },
        kPatience))
        << "phases " << Phase(0) << " " << Phase(1) << " " << Phase(2);
    const std::int64_t before = Epoch();
    Shift();
    EXPECT_TRUE(WaitForEpochAbove(before)) << boost::json::serialize(Status(0));
    EXPECT_EQ(Counter(system(), "ranks", "mixed_steps"), 0);
  }

 private:
  int hot_ = 1;
};

// Guards against a change that takes effect at some ranks only, or in different steps.
TEST_F(experts_process_test, ChangeTakesEffectInTheSameStepEverywhere) {
  StartGroup();
  ASSERT_TRUE(WaitForEpochAbove(0)) << boost::json::serialize(Status(0));
  const std::vector<std::int64_t> since = Numbers("since");
  ASSERT_EQ(since.size(), static_cast<std::size_t>(kRanks));
  for (const std::int64_t step : since)
    EXPECT_EQ(step, since.front());
  EXPECT_GT(since.front(), 0);
  EXPECT_EQ(Counter(system(), "ranks", "mixed_steps"), 0);
  ExpectLaterChange();
}

// Guards against plans that can't be explained afterwards from their records alone.
TEST_F(experts_process_test, RecordedPlansReplayToTheSameOutcome) {
  StartGroup();
  ASSERT_TRUE(WaitForEpochAbove(0));
  const int leader = Leader();
  ASSERT_GE(leader, 0);
  const boost::json::object status = Status(leader, R"({"records_since": 0})");
  ASSERT_TRUE(status.contains("records"));
  const boost::json::array& records = status.at("records").get_array();
  ASSERT_FALSE(records.empty());
  for (const boost::json::value& record : records) {
    const decision_record read = RecordFromJson(record.get_object());
    EXPECT_EQ(read.kind, kPlanRecordKind);
    const auto replayed = ReplayPlan(read);
    ASSERT_TRUE(replayed.has_value()) << replayed.error().message;
    EXPECT_EQ(replayed.value(), read.outcome);
  }
}

struct reboot_case {
  const char* name;
  const char* phase;     ///< Of some rank when the engines restart; empty for no change under way.
  const char* switches;  ///< For the rank group, before the restart.

  friend void PrintTo(const reboot_case& c, std::ostream* out) { *out << c.name; }
};

class reboot_process_test : public experts_process_test,
                            public testing::WithParamInterface<reboot_case> {};

// Guards against a group that never changes its map again after all its engines have restarted, and
// against orders from before the restart that change the map of some ranks.
TEST_P(reboot_process_test, GroupGoesOnAfterARestartOfAllEngines) {
  StartGroup({"--ignores-fencing"});
  ASSERT_TRUE(WaitForEpochAbove(0));
  const std::int64_t before = Epoch();
  system().Control("ranks", GetParam().switches);
  if (*GetParam().phase != '\0') {
    Shift();
    ASSERT_TRUE(WaitForPhase({GetParam().phase}));
  }
  system().Control("ranks", R"({"reboot": true, "late_answers": 0})");
  ASSERT_EQ(Epoch(), 0);
  // The next epoch of the group is that of the restart record.
  ASSERT_TRUE(deployment::WaitUntil([&] { return Phase(0) == "idle" && Epoch() == 0; }, kPatience))
      << boost::json::serialize(Status(0));
  ExpectLaterChange();
  EXPECT_GT(Epoch(), before + 1);
}

INSTANTIATE_TEST_SUITE_P(
    Restarts,
    reboot_process_test,
    testing::Values(reboot_case{"idle", "", "{}"},
                    reboot_case{"staging", "staging", R"({"late_answers": 1000, "late_ms": 800})"},
                    reboot_case{"holding", "holding", R"({"late_answers": 1000, "late_ms": 800})"},
                    reboot_case{"late_orders", "staging",
                                R"({"late_orders": 3, "late_ms": 1500})"}),
    [](const auto& info) { return std::string(info.param.name); });

class straggler_process_test : public experts_process_test {
 protected:
  /// Part of the group's tokens that a rank handles in the next 100 steps, in thousandths.
  [[nodiscard]] std::int64_t Share(int rank) {
    const std::vector<std::int64_t> before = Numbers("handled");
    const std::int64_t steps = Counter(system(), "ranks", "steps");
    if (!deployment::WaitUntil([&] { return Counter(system(), "ranks", "steps") > steps + 100; },
                               kPatience))
      return -1;
    const std::vector<std::int64_t> after = Numbers("handled");
    std::int64_t all = 0;
    for (std::size_t i = 0; i < after.size(); ++i)
      all += after[i] - before[i];
    return 1000 * (after[rank] - before[rank]) / all;
  }

  [[nodiscard]] bool WaitForShare(int rank, std::int64_t least, std::int64_t most) {
    return deployment::WaitUntil(
        [&] {
          const std::int64_t share = Share(rank);
          return share >= least && share <= most;
        },
        kPatience);
  }
};

// Guards against a slow rank that keeps its full share, so that all ranks wait for it in every
// step, and against one that has recovered and doesn't get its share back.
TEST_F(straggler_process_test, SlowRankGetsLessLoadUntilItRecovers) {
  StartGroup();
  ASSERT_TRUE(WaitForEpochAbove(0));
  ASSERT_TRUE(WaitForShare(1, 310, 360)) << boost::json::serialize(Status(0));
  const std::int64_t before = Epoch();
  system().Control("ranks", R"({"slow_rank": 1, "slow_permille": 500})");
  // Speeds 1, 0.5 and 1 make shares of 40, 20 and 40%.
  ASSERT_TRUE(WaitForShare(1, 180, 230)) << boost::json::serialize(Status(0));
  EXPECT_GT(Epoch(), before);
  system().Control("ranks", R"({"slow_permille": 1000})");
  EXPECT_TRUE(WaitForShare(1, 310, 360)) << boost::json::serialize(Status(0));
  EXPECT_EQ(Counter(system(), "ranks", "mixed_steps"), 0);
  const int leader = Leader();
  ASSERT_GE(leader, 0);
  const boost::json::object status = Status(leader, R"({"records_since": 0})");
  for (const boost::json::value& record : status.at("records").get_array()) {
    const decision_record read = RecordFromJson(record.get_object());
    EXPECT_TRUE(read.input.contains("speed_histories"));
    EXPECT_EQ(ReplayPlan(read).value(), read.outcome);
  }
}

// Guards against load taken from a rank whose engine reports no times, or that stalled once.
TEST_F(straggler_process_test, StallsAndMissingTimesChangeNothing) {
  StartGroup();
  ASSERT_TRUE(WaitForEpochAbove(0));
  system().Control("ranks", R"({"slow_rank": 2, "stall_ms": 20000, "untimed_rank": 0})");
  const int leader = Leader();
  ASSERT_GE(leader, 0);
  const auto windows = [&] {
    const boost::json::object status = Status(leader);
    const boost::json::value* const part = status.if_contains("coordinator");
    return part == nullptr ? -1 : part->get_object().at("windows").to_number<std::int64_t>();
  };
  const std::int64_t first = windows();
  ASSERT_GE(first, 0);
  const std::int64_t epoch = Epoch();
  ASSERT_TRUE(deployment::WaitUntil([&] { return windows() > first + 8; }, kPatience));
  EXPECT_EQ(Epoch(), epoch);
  EXPECT_EQ(Status(leader).at("coordinator").at("speeds"), (boost::json::array{1000, 1000, 1000}));
}

struct engine_fault {
  const char* name;
  const char* switches;
};

class engine_fault_process_test : public experts_process_test,
                                  public testing::WithParamInterface<engine_fault> {};

// Guards against orders that run late or twice, or whose answers are lost, and take effect in a
// change that they don't belong to.
TEST_P(engine_fault_process_test, GroupStaysOnOneMapAndChangesLater) {
  StartGroup({"--ignores-fencing"});
  ASSERT_TRUE(WaitForEpochAbove(0));
  system().Control("ranks", GetParam().switches);
  const std::int64_t orders = Counter(system(), "ranks", "orders");
  Shift();
  // Stage and hold orders of all ranks, or more if the change is tried again.
  ASSERT_TRUE(deployment::WaitUntil(
      [&] { return Counter(system(), "ranks", "orders") >= orders + kRanks + kRanks; }, kPatience));
  ExpectLaterChange();
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    engine_fault_process_test,
    testing::Values(engine_fault{"late_orders", R"({"late_orders": 6, "late_ms": 300})"},
                    engine_fault{"orders_later_than_the_timeout",
                                 R"({"late_orders": 4, "late_ms": 1500})"},
                    engine_fault{"lost_answers", R"({"lose_answers": 6})"},
                    engine_fault{"repeated_orders", R"({"repeat_orders": 12, "late_ms": 100})"}),
    [](const auto& info) { return info.param.name; });

struct agent_loss {
  const char* name;
  const char* phase;  ///< Of some rank when the agent is killed.
  bool coordinator;   ///< Kills the coordinating agent, else another one.
  bool checks_fencing;
};

class agent_loss_process_test : public experts_process_test,
                                public testing::WithParamInterface<agent_loss> {};

// Guards against ranks that wait forever, or go on with different maps, after an agent has died in
// the middle of a change; with engines that ignore fencing tokens also against orders that are
// executed a second time, late.
TEST_P(agent_loss_process_test, GroupStaysOnOneMapAndChangesLater) {
  StartGroup(GetParam().checks_fencing ? std::vector<std::string>{}
                                       : std::vector<std::string>{"--ignores-fencing"});
  ASSERT_TRUE(WaitForEpochAbove(0));
  const int leader = Leader();
  ASSERT_GE(leader, 0);
  const int victim = GetParam().coordinator ? leader : (leader + 1) % kRanks;
  system().Control("ranks", GetParam().checks_fencing ? R"({"late_answers": 1000, "late_ms": 800})"
                                                      : R"({"late_answers": 1000, "late_ms": 800,
                                      "repeat_orders": 1000})");
  Shift();
  ASSERT_TRUE(WaitForPhase({GetParam().phase}));
  system().Process("agent-rank-" + std::to_string(victim)).Kill();
  system().Control("ranks", R"({"late_answers": 0})");
  system().Restart("agent-rank-" + std::to_string(victim));
  ExpectLaterChange();
}

INSTANTIATE_TEST_SUITE_P(Losses,
                         agent_loss_process_test,
                         testing::Values(agent_loss{"coordinator_staging", "staging", true, true},
                                         agent_loss{"coordinator_holding", "holding", true, true},
                                         agent_loss{"rank_staging", "staging", false, true},
                                         agent_loss{"rank_holding", "holding", false, true},
                                         agent_loss{"unfenced_coordinator", "holding", true, false},
                                         agent_loss{"unfenced_rank", "holding", false, false}),
                         [](const auto& info) { return info.param.name; });

// Guards against a group that stays still, or splits, after an outage of the service between the
// promises and the decision.
TEST_F(experts_process_test, OutageBeforeTheDecisionEndsWithOneDecision) {
  StartGroup();
  ASSERT_TRUE(WaitForEpochAbove(0));
  system().Control("ranks", R"({"late_answers": 1000, "late_ms": 800})");
  Shift();
  ASSERT_TRUE(WaitForPhase({"holding"}));
  system().Control("kv", R"({"down": true})");
  system().Control("ranks", R"({"late_answers": 0})");
  // Nothing but the record ends a promise, so the ranks stand still until the service is back.
  ASSERT_TRUE(WaitForPhase({"promised"}));
  const std::int64_t stalls = Counter(system(), "ranks", "stalled_ticks");
  ASSERT_TRUE(deployment::WaitUntil(
      [&] { return Counter(system(), "ranks", "stalled_ticks") > stalls + 100; }, kPatience));
  system().Control("kv", R"({"down": false})");
  ExpectLaterChange();
}

// Guards against taking a commit whose answer was lost for one that failed.
TEST_F(experts_process_test, LostAnswerOfTheCreateIsReadBack) {
  StartGroup();
  ASSERT_TRUE(WaitForEpochAbove(0));
  const std::int64_t before = Epoch();
  system().Control("ranks", R"({"late_answers": 1000, "late_ms": 800})");
  Shift();
  ASSERT_TRUE(WaitForPhase({"holding"}));
  // The next writes are the create and perhaps renewals of leases.
  system().Control("kv", R"({"lose_answers": 3})");
  system().Control("ranks", R"({"late_answers": 0})");
  ASSERT_TRUE(WaitForEpochAbove(before));
  EXPECT_EQ(Counter(system(), "ranks", "mixed_steps"), 0);
  ExpectLaterChange();
}

}  // namespace
}  // namespace quincebank
