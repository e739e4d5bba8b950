#include "quincebank/experts/rebalance.h"

#include <gtest/gtest.h>

#include <boost/json/serialize.hpp>
#include <functional>
#include <ostream>
#include <utility>

#include "quincebank/base/json_reader.h"
#include "quincebank/base/random.h"
#include "quincebank/experts/plan_json.h"
#include "quincebank/experts/popularity.h"

namespace quincebank {
namespace {

const group_shape kShape{2, 8, 64, 10};

layer_popularity Skewed(std::uint64_t seed) {
  random_source random(seed);
  layer_popularity layer;
  for (std::int64_t e = 1; e <= kShape.experts; ++e)
    layer.smoothed.push_back(20'000'000 / (e + 10));
  for (std::size_t i = layer.smoothed.size() - 1; i > 0; --i)
    std::swap(layer.smoothed[i], layer.smoothed[random.Below(i + 1)]);
  layer.recent = layer.smoothed;
  layer.error.assign(layer.smoothed.size(), 0);
  return layer;
}

/// Group with a map that fits its popularity; the last change is long ago.
plan_input Settled() {
  plan_input input;
  input.speeds = {1000, 1050, 700, 1000, 950, 1000, 1000, 1000};
  input.popularity = {Skewed(1), Skewed(2)};
  input.steps_since_change = 1'000'000;
  input.current = PlanRebalance(kShape, input).value().map;
  return input;
}

/// Swaps the popularity of many experts, in both estimates.
void ShiftPopularity(plan_input& input) {
  input.popularity = {Skewed(3), Skewed(4)};
}

struct plan_case {
  const char* name;
  std::function<void(plan_input&)> edit;
  plan_reason reason;

  friend void PrintTo(const plan_case& c, std::ostream* out) { *out << c.name; }
};

class plan_reason_test : public testing::TestWithParam<plan_case> {};

// Guards against changes that aren't worth their cost, and against drift that goes unanswered.
TEST_P(plan_reason_test, JudgesTheChange) {
  plan_input input = Settled();
  GetParam().edit(input);
  const auto plan = PlanRebalance(kShape, input);
  ASSERT_TRUE(plan.has_value()) << Describe(plan.error());
  const plan_outcome& outcome = plan.value();
  EXPECT_EQ(ToString(outcome.reason), ToString(GetParam().reason));
  EXPECT_EQ(outcome.change, !outcome.map.layers.empty());
  if (outcome.change) {
    EXPECT_TRUE(IsComplete(outcome.map));
  }
  if (outcome.reason == plan_reason::kPays) {
    EXPECT_GT(outcome.saved, outcome.cost);
    EXPECT_LT(outcome.loaded_weights, kShape.slots());
  }
}

// Guards against a decision that its record can't explain.
TEST_P(plan_reason_test, ReplaysFromTheRecord) {
  plan_input input = Settled();
  GetParam().edit(input);
  const auto plan = PlanRebalance(kShape, input);
  ASSERT_TRUE(plan.has_value());
  const decision_record record = RecordPlan("group-1", kShape, input, plan.value());
  const auto text = boost::json::serialize(ToJson(record));
  const auto copy = RecordFromJson(ParseJson(text).value().as_object());
  const auto read = PlanInputFromJson(copy.input);
  ASSERT_TRUE(read.has_value()) << Describe(read.error());
  EXPECT_EQ(read.value().input, input);
  const auto replayed = ReplayPlan(copy);
  ASSERT_TRUE(replayed.has_value());
  EXPECT_EQ(boost::json::serialize(replayed.value()), boost::json::serialize(copy.outcome));
}

INSTANTIATE_TEST_SUITE_P(
    Inputs,
    plan_reason_test,
    testing::Values(plan_case{"first_map", [](plan_input& input) { input.current = {}; },
                              plan_reason::kFirstMap},
                    plan_case{"settled", [](plan_input&) {}, plan_reason::kBalanced},
                    plan_case{"shift", ShiftPopularity, plan_reason::kPays},
                    plan_case{"new_straggler", [](plan_input& input) { input.speeds[0] = 500; },
                              plan_reason::kPays},
                    plan_case{"rank_takes_no_load", [](plan_input& input) { input.speeds[0] = 0; },
                              plan_reason::kRepair},
                    plan_case{"recent_change",
                              [](plan_input& input) {
                                ShiftPopularity(input);
                                input.steps_since_change = 10;
                              },
                              plan_reason::kTooSoon},
                    plan_case{"change_expected_soon",
                              [](plan_input& input) {
                                ShiftPopularity(input);
                                input.settings.horizon_steps = 10;
                              },
                              plan_reason::kDoesNotPay},
                    plan_case{"shift_is_over",
                              [](plan_input& input) {
                                const auto before = input.popularity;
                                ShiftPopularity(input);
                                for (std::size_t i = 0; i < before.size(); ++i)
                                  input.popularity[i].recent = before[i].smoothed;
                              },
                              plan_reason::kNotConfirmed},
                    plan_case{"shift_within_noise",
                              [](plan_input& input) {
                                ShiftPopularity(input);
                                for (layer_popularity& layer : input.popularity)
                                  layer.error = layer.smoothed;
                              },
                              plan_reason::kBalanced}),
    [](const auto& info) { return info.param.name; });

// Guards against tokens that go on to a rank that takes no load, because other ranks hold all of
// its experts and nothing needs to move.
TEST(repair_test, TakesSharesFromARankWithoutLoad) {
  const group_shape shape{1, 2, 2, 2};
  plan_input input;
  input.speeds = {1000, 1000};
  input.popularity = {{{5000, 5000}, {5000, 5000}, {0, 0}}};
  input.current = PlanRebalance(shape, input).value().map;
  input.speeds = {1000, 0};
  const plan_outcome outcome = PlanRebalance(shape, input).value();
  EXPECT_EQ(ToString(outcome.reason), "repair");
  EXPECT_EQ(outcome.loaded_weights, 0);
  ASSERT_EQ(outcome.map.layers.size(), 1U);
  EXPECT_EQ(outcome.map.layers[0].shares[2] + outcome.map.layers[0].shares[3], 0);
}

struct invalid_case {
  const char* name;
  std::function<void(plan_input&)> edit;
  const char* path;

  friend void PrintTo(const invalid_case& c, std::ostream* out) { *out << c.name; }
};

class invalid_plan_test : public testing::TestWithParam<invalid_case> {};

// Guards against reads beyond the end of an input that doesn't fit the group.
TEST_P(invalid_plan_test, NamesThePath) {
  plan_input input = Settled();
  GetParam().edit(input);
  const auto plan = PlanRebalance(kShape, input);
  ASSERT_FALSE(plan.has_value());
  EXPECT_EQ(plan.error().path, GetParam().path);
}

INSTANTIATE_TEST_SUITE_P(
    Inputs,
    invalid_plan_test,
    testing::Values(invalid_case{"too_few_speeds",
                                 [](plan_input& input) { input.speeds.pop_back(); }, "/speeds"},
                    invalid_case{"too_few_ranks",
                                 [](plan_input& input) { input.speeds = {1, 1, 0, 0, 0, 0, 0, 0}; },
                                 "/speeds"},
                    invalid_case{"layer_missing",
                                 [](plan_input& input) { input.popularity.pop_back(); },
                                 "/popularity"},
                    invalid_case{"expert_missing",
                                 [](plan_input& input) { input.popularity[1].recent.pop_back(); },
                                 "/popularity/1"},
                    invalid_case{"share_lost",
                                 [](plan_input& input) { input.current.layers[0].shares[0] ^= 1U; },
                                 "/current"}),
    [](const auto& info) { return info.param.name; });

struct rate_case {
  const char* name;
  std::function<double(int)> rate;  // Tokens per step in a window.
  double smoothed;
  double tolerance;

  friend void PrintTo(const rate_case& c, std::ostream* out) { *out << c.name; }
};

class popularity_test : public testing::TestWithParam<rate_case> {};

// Guards against an estimate that chases noise or lags behind a change.
TEST_P(popularity_test, FollowsTheRate) {
  popularity_estimate popularity(1, 1);
  for (int window = 0; window < 60; ++window) {
    const std::int64_t tokens[] = {static_cast<std::int64_t>(GetParam().rate(window) * 1000)};
    popularity.Observe(0, tokens, 1000);
  }
  const double smoothed = static_cast<double>(popularity.Smoothed(0)[0]) / kPopularityUnit;
  EXPECT_NEAR(smoothed, GetParam().smoothed, GetParam().tolerance);
}

INSTANTIATE_TEST_SUITE_P(
    Rates,
    popularity_test,
    testing::Values(
        rate_case{"constant", [](int) { return 50.0; }, 50, 0.001},
        rate_case{"alternating", [](int window) { return window % 2 == 0 ? 45.0 : 55.0; }, 50, 1},
        rate_case{"one_outlier", [](int window) { return window == 59 ? 100.0 : 50.0; }, 50, 5},
        rate_case{"jump_two_windows_ago", [](int window) { return window >= 58 ? 90.0 : 50.0; }, 90,
                  0.001},
        rate_case{"trend", [](int window) { return 50.0 + window; }, 109, 2}),
    [](const auto& info) { return info.param.name; });

// Guards against records from which the estimated speeds can't be computed again, and against a
// replay that takes the recorded speeds for granted.
TEST(plan_record_test, SpeedsAreReplayedFromTheirHistories) {
  plan_input input = Settled();
  for (const std::int64_t speed : input.speeds)
    input.speed_histories.push_back(
        {std::vector<std::int64_t>(24, speed), 990, 0, 900, 1000, true});
  input.speed_histories[2].missed = 1;
  input.speeds = EstimateSpeeds(input.speed_histories);
  const decision_record record =
      RecordPlan("g", kShape, input, PlanRebalance(kShape, input).value());
  decision_record read =
      RecordFromJson(ParseJson(boost::json::serialize(ToJson(record))).value().get_object());
  EXPECT_EQ(PlanInputFromJson(read.input).value().input, input);
  EXPECT_EQ(ReplayPlan(read).value(), record.outcome);
  read.input["speeds"] = boost::json::array(8, 1000);
  EXPECT_EQ(ReplayPlan(read).value(), record.outcome);
  read.input["speed_histories"].get_array()[2].get_object()["samples"] =
      boost::json::array(24, 1000);
  EXPECT_NE(ReplayPlan(read).value(), record.outcome);
  read.input["speed_histories"].get_array()[2].get_object()["samples"] = "none";
  EXPECT_FALSE(ReplayPlan(read).has_value());
}

// Guards against plans from the first window of a sudden change, of which it may show a part only,
// and against experts that a window tells nothing of.
TEST(popularity_jump_test, IsExpectedAfterOneSurprise) {
  popularity_estimate popularity(1, 2);
  random_source random(3);
  for (int window = 0; window < 20; ++window) {
    const std::int64_t noise = static_cast<std::int64_t>(random.Below(20));
    popularity.Observe(0, std::vector<std::int64_t>{1'000 + noise, 1'000 - noise}, 10);
  }
  EXPECT_FALSE(popularity.expects_jump());
  popularity.Observe(0, std::vector<std::int64_t>{3'000, -1}, 10);
  EXPECT_TRUE(popularity.expects_jump());
  popularity.Observe(0, std::vector<std::int64_t>{5'000, -1}, 10);
  EXPECT_FALSE(popularity.expects_jump());
  EXPECT_EQ(popularity.Smoothed(0)[0], 500'000);
  EXPECT_NEAR(static_cast<double>(popularity.Smoothed(0)[1]), 100'000, 2'000);
}

}  // namespace
}  // namespace quincebank
