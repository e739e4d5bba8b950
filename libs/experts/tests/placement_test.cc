#include "quincebank/experts/placement.h"

#include <gtest/gtest.h>

#include <cmath>
#include <numeric>
#include <ostream>

#include "quincebank/base/random.h"

namespace quincebank {
namespace {

std::vector<double> SkewedLoads(int experts, double exponent, std::uint64_t seed) {
  random_source random(seed);
  std::vector<double> loads;
  for (int e = 1; e <= experts; ++e)
    loads.push_back(10000 * std::pow(e, -exponent));
  for (std::size_t i = loads.size() - 1; i > 0; --i)
    std::swap(loads[i], loads[random.Below(i + 1)]);
  return loads;
}

struct placement_case {
  const char* name;
  group_shape shape;
  double exponent;
  std::vector<double> speeds;

  friend void PrintTo(const placement_case& c, std::ostream* out) { *out << c.name; }
};

std::vector<double> Speeds(int ranks, double straggler) {
  std::vector<double> speeds(static_cast<std::size_t>(ranks), 1.0);
  speeds[1] = straggler;
  return speeds;
}

class placement_test : public testing::TestWithParam<placement_case> {};

// Guards against lost experts, two copies on one rank, and shares that lose or double tokens.
TEST_P(placement_test, EveryExpertIsServedOnce) {
  const placement_case& c = GetParam();
  const auto loads = SkewedLoads(c.shape.experts, c.exponent, 1);
  load_splitter splitter(c.shape, c.speeds);
  layer_load layer = PlaceLayer(splitter, loads);
  splitter.Improve(layer, loads, 50, 1e-4);
  group_shape one_layer = c.shape;
  one_layer.layers = 1;
  EXPECT_TRUE(IsComplete({one_layer, {splitter.ToMap(layer, loads)}}));
}

// Guards against a placement that overloads the straggler or leaves fast ranks idle.
TEST_P(placement_test, PeakIsWithinFivePercentOfTheBound) {
  const placement_case& c = GetParam();
  const auto loads = SkewedLoads(c.shape.experts, c.exponent, 1);
  load_splitter splitter(c.shape, c.speeds);
  layer_load layer = PlaceLayer(splitter, loads);
  const layer_peak peak = splitter.Improve(layer, loads, 50, 1e-4);
  EXPECT_LE(peak.level, 1.05 * LowerBound(c.shape, loads, c.speeds));
  const double total = std::accumulate(layer.ranks.begin(), layer.ranks.end(), 0.0);
  EXPECT_NEAR(total, std::accumulate(loads.begin(), loads.end(), 0.0), 1e-3);
}

INSTANTIATE_TEST_SUITE_P(
    Groups,
    placement_test,
    testing::Values(placement_case{"equal_ranks", {1, 8, 64, 10}, 0.5, Speeds(8, 1.0)},
                    placement_case{"straggler", {1, 32, 256, 10}, 0.5, Speeds(32, 0.6)},
                    placement_case{"steep", {1, 32, 256, 10}, 1.0, Speeds(32, 0.6)},
                    placement_case{"rank_without_load", {1, 8, 64, 10}, 0.5, Speeds(8, 0.0)}),
    [](const auto& info) { return info.param.name; });

struct split_case {
  const char* name;
  std::vector<double> loads;
  std::vector<double> speeds;
  double peak;

  friend void PrintTo(const split_case& c, std::ostream* out) { *out << c.name; }
};

class split_test : public testing::TestWithParam<split_case> {};

// Guards against a split that ignores speeds or other experts of the rank. Two ranks: the first
// holds experts 0 and 1, the second experts 0 and 2.
TEST_P(split_test, EvensOutLevels) {
  const split_case& c = GetParam();
  load_splitter splitter({1, 2, 3, 2}, c.speeds);
  layer_load layer;
  layer.experts = {0, 1, 0, 2};
  splitter.Start(layer, c.loads);
  EXPECT_NEAR(splitter.Improve(layer, c.loads, 50, 1e-6).level, c.peak, 1e-6);
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    split_test,
    testing::Values(split_case{"equal", {10, 5, 5}, {1, 1}, 10},
                    split_case{"uneven_partners", {10, 8, 2}, {1, 1}, 10},
                    split_case{"partner_alone_is_the_peak", {2, 20, 1}, {1, 1}, 20},
                    split_case{"slow_rank", {10, 5, 5}, {1, 0.25}, 20},
                    split_case{"idle_expert", {0, 5, 4}, {1, 1}, 5}),
    [](const auto& info) { return info.param.name; });

// Guards against replicas for cold experts while a hot one lacks them.
TEST(replica_count_test, FollowsPopularity) {
  const std::vector<double> loads{100, 10, 10, 10};
  EXPECT_EQ(CountReplicas(loads, 6, 4), (std::vector<int>{3, 1, 1, 1}));
  EXPECT_EQ(CountReplicas(loads, 7, 2)[0], 2);
}

// Guards against charging for weights that a rank holds already.
TEST(loaded_weights_test, SlotOrderWithinARankIsFree) {
  const std::vector<expert_index> from{0, 1, 2, 3};
  const std::vector<expert_index> to{1, 0, 2, 1};
  EXPECT_EQ(CountLoadedWeights({1, 2, 4, 2}, from, to), 1);
}

}  // namespace
}  // namespace quincebank
