#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "quincebank/base/random.h"
#include "quincebank/placement/outstanding_work.h"
#include "quincebank/placement/placement_cost.h"
#include "quincebank/placement/work_estimate.h"

namespace quincebank {
namespace {

constexpr time_point kStart{std::chrono::hours(1)};

work_request Request(std::int64_t hint, std::int64_t max = 0, std::string_view workspace = "w") {
  return {"r", workspace, 800, max, hint};
}

struct untaught_case {
  const char* name;
  work_request request;
  double default_tokens;
  double expected;
};

class untaught_estimate_test : public testing::TestWithParam<untaught_case> {};

// Guards against a wrong or missing hint that makes a request look free or endless.
TEST_P(untaught_estimate_test, FallsBackToTheMean) {
  work_estimate estimate;
  const work_prediction predicted =
      estimate.PredictTokens(GetParam().request, GetParam().default_tokens);
  EXPECT_DOUBLE_EQ(predicted.work.output_tokens, GetParam().expected);
  EXPECT_EQ(predicted.work.prompt_tokens, 800);
  EXPECT_GE(predicted.upper_output_tokens, predicted.work.output_tokens);
}

INSTANTIATE_TEST_SUITE_P(hints,
                         untaught_estimate_test,
                         testing::Values(untaught_case{"hint", Request(70), 95, 70},
                                         untaught_case{"missing", Request(0), 95, 95},
                                         untaught_case{"negative", Request(-3), 95, 95},
                                         untaught_case{"absurd", Request(1LL << 60), 95, 95},
                                         untaught_case{"above_limit", Request(70, 30), 95, 30},
                                         untaught_case{"nothing_known", Request(0), 0, 100}),
                         [](const auto& info) { return std::string(info.param.name); });

// Guards against hints that are believed although answers have shown them to be wrong.
TEST(work_estimate, LearnsTheCorrectionOfWrongHints) {
  work_estimate estimate;
  random_source random(3);
  for (int i = 0; i < 500; ++i) {
    // Small hints are four times too low; large ones say nothing.
    estimate.OnOutput(Request(20), "s", 80);
    estimate.OnOutput(Request(200 + static_cast<std::int64_t>(random.Below(50))), "s",
                      random.Below(10) == 0 ? 300 : 40);
    estimate.OnOutput(Request(20, 0, "other"), "s", 30);
  }
  EXPECT_NEAR(estimate.PredictTokens(Request(20), 0).work.output_tokens, 80, 8);
  EXPECT_NEAR(estimate.PredictTokens(Request(20, 0, "other"), 0).work.output_tokens, 30, 5);
  EXPECT_NEAR(estimate.PredictTokens(Request(200), 0).work.output_tokens, 66, 25);
  EXPECT_GT(estimate.PredictTokens(Request(200), 0).upper_output_tokens, 40);
  EXPECT_NEAR(estimate.PredictTokens(Request(20, 60), 0).work.output_tokens, 60, 1e-9);
}

// Guards against a gateway whose memory grows with the names and hints that clients send.
TEST(work_estimate, IsBoundedAndKeepsWhatIsUsed) {
  constexpr std::size_t kMaxCells = 64;
  work_estimate estimate(kMaxCells);
  for (int i = 0; i < 1'000; ++i) {
    estimate.OnOutput(Request(70), "s", 140);
    const std::string workspace = std::to_string(i);
    estimate.OnOutput({workspace, workspace, 1, 0, i}, workspace, 5);
    ASSERT_LE(estimate.size(), kMaxCells);
  }
  EXPECT_NEAR(estimate.PredictTokens(Request(70), 0).work.output_tokens, 140, 5);
}

// Guards against work that stays outstanding after its request has ended, or becomes negative.
TEST(outstanding_work, ShrinksWithEachEvent) {
  outstanding_work work;
  assigned_work first;
  assigned_work second;
  work.OnSend(first, {800, 20, {}});
  work.OnSend(second, {100, 50, {}});
  EXPECT_EQ(work.own(), (work_amount{900, 70, {}}));
  for (int event = 0; event < 10; ++event)
    work.OnOutput(first, 5, 5);
  EXPECT_EQ(work.own(), (work_amount{100, 55, {}}));
  EXPECT_EQ(work.ExpectedMemory(0, {}), 800 + 50 + 100 + 55);
  work.OnEnd(first);
  work.OnEnd(second);
  EXPECT_EQ(work.own(), work_amount{});
  EXPECT_EQ(work.ExpectedMemory(0, {}), 0);
}

// Guards against loads of other gateways that do not count, with and without the optional fields.
TEST(outstanding_work, AddsOtherRequestsAtTheMeanCost) {
  const mean_work mean{800, 90, 60, {}};
  outstanding_work work;
  EXPECT_EQ(work.Total(3, mean), (work_amount{0, 180, {}}));
  work.OnReport({.running = 2, .waiting = 1}, kStart);
  EXPECT_EQ(work.Total(3, mean), (work_amount{800, 210, {}}));
  EXPECT_EQ(work.speed(kStart), 1);
  EXPECT_EQ(work.ExpectedMemory(2, mean), 845 + 60 + 890);
  work.OnReport({.running = 2, .waiting = 0, .kv_used = 5'000, .pace = 500}, kStart);
  EXPECT_EQ(work.ExpectedMemory(2, mean), 5'120);
  EXPECT_EQ(work.speed(kStart), 0.5);
  EXPECT_EQ(work.speed(kStart + seconds(2)), 1);
}

// Guards against an upstream without reports that stays avoided, since it gets no requests from
// which a better speed could be learned.
TEST(outstanding_work, LearnedSpeedReturnsToTheMean) {
  outstanding_work work;
  for (int i = 0; i < 30; ++i)
    work.OnAnswered(milliseconds(300), milliseconds(100), kStart);
  EXPECT_NEAR(work.speed(kStart), 1.0 / 3, 0.01);
  EXPECT_GT(work.speed(kStart + seconds(60)), 0.95);
}

struct cost_case {
  const char* name;
  placement_candidate better;
  placement_candidate worse;
};

constexpr placement_candidate kIdle{.in_flight = 2, .slots = 10, .limit = 14};

class finish_cost_test : public testing::TestWithParam<cost_case> {};

TEST_P(finish_cost_test, IsLowerAtTheBetterEngine) {
  const engine_profile engine{.batch_slots = 10,
                              .memory_tokens = 10'000,
                              .step_ms = 4.55,
                              .step_ms_per_request = 1.09,
                              .prompt_tokens_per_ms = 61};
  const placement_request request{
      placement_policy::kPredictedFinish, {{800, 90, {}}, 180}, &engine};
  EXPECT_LT(PlacementCost(GetParam().better, request), PlacementCost(GetParam().worse, request));
}

placement_candidate Changed(const std::function<void(placement_candidate&)>& change) {
  placement_candidate candidate = kIdle;
  change(candidate);
  return candidate;
}

INSTANTIATE_TEST_SUITE_P(
    engines,
    finish_cost_test,
    testing::Values(cost_case{"smaller_batch", kIdle, Changed([](auto& c) { c.in_flight = 3; })},
                    cost_case{"faster", Changed([](auto& c) { c.in_flight = 5; }),
                              Changed([](auto& c) { c.speed = 0.5; })},
                    cost_case{"fewer_prompts", kIdle,
                              Changed([](auto& c) { c.outstanding.prompt_tokens = 2'900; })},
                    // An engine out of memory preempts the newest request.
                    cost_case{"free_memory", Changed([](auto& c) { c.in_flight = 5; }),
                              Changed([](auto& c) { c.expected_memory = 9'500; })},
                    cost_case{"slots_free_earlier", Changed([](auto& c) {
                                c.in_flight = 10;
                                c.outstanding.output_tokens = 300;
                              }),
                              Changed([](auto& c) {
                                c.in_flight = 10;
                                c.outstanding.output_tokens = 900;
                              })},
                    cost_case{"not_failing", kIdle,
                              Changed([](auto& c) { c.failure_share = 0.5; })}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a slow rank with a batch that delays its whole group.
TEST(limit_to_speed, LowersTheLimitOfSlowEnginesOnly) {
  const engine_profile engine{.batch_slots = 10, .step_ms = 4.55, .step_ms_per_request = 1.09};
  const auto limit = [&](double speed) {
    placement_candidate candidate = kIdle;
    LimitToSpeed(engine, speed, candidate);
    return candidate.limit;
  };
  EXPECT_EQ(limit(1.2), 14);
  EXPECT_EQ(limit(0.92), 14);
  EXPECT_EQ(limit(0.6), 4);
  EXPECT_EQ(limit(0.1), 1);
}

}  // namespace
}  // namespace quincebank
