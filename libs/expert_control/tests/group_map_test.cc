// Maps that ranks state wrongly.

#include "quincebank/expert_control/group_map.h"

#include <gtest/gtest.h>

#include <array>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace quincebank {
namespace {

constexpr int kRanks = 2;
constexpr int kExperts = 4;
constexpr std::uint64_t kEpoch = 1;

/// Experts by rank and set.
using stated_experts = std::vector<std::vector<std::vector<int>>>;

/// Ranks that state the experts they hold, and do nothing else.
class stating_ranks final : public engine_port {
 public:
  explicit stating_ranks(stated_experts experts) : experts_(std::move(experts)) {
    for (int rank = 0; rank < kRanks; ++rank)
      records_.at(static_cast<std::size_t>(rank)).id = "i-" + std::to_string(rank);
  }

  [[nodiscard]] rollout_group Group() const {
    return {{records_.data(), records_.data() + 1}, {kRanks, kExperts, 3, 2, 2}, 1};
  }

  std::vector<result<rank_report>> Reports(std::span<const upstream_record* const>) override {
    return {};
  }
  std::vector<result<pick_counts>> Counts(std::span<const upstream_record* const>) override {
    return {};
  }
  std::vector<result<held_experts>> Held(std::span<const upstream_record* const> ranks) override {
    std::vector<result<held_experts>> held;
    for (const upstream_record* const rank : ranks)
      held.emplace_back(
          held_experts{kEpoch, 1, experts_.at(static_cast<std::size_t>(rank - records_.data()))});
    return held;
  }
  std::vector<order_answer> Send(std::span<const rank_order>, milliseconds) override { return {}; }

 private:
  std::array<upstream_record, kRanks> records_;
  stated_experts experts_;
};

struct stated_case {
  const char* name;
  stated_experts experts;
  bool whole = false;      ///< A map that the group can use.
  bool completed = false;  ///< The map can be completed.
};

class stated_map_test : public testing::TestWithParam<stated_case> {};

// Guards against a wrong number of a rank that becomes an index of the planner and ends the
// process.
TEST_P(stated_map_test, IsUsedOnlyIfAllItsExpertsAreThoseOfTheGroup) {
  stating_ranks ranks(GetParam().experts);
  const auto read = ReadGroupMap(ranks, ranks.Group(), kEpoch);
  EXPECT_EQ(read.has_value(), GetParam().whole);
  const auto completed = CompleteGroupMap(ranks, ranks.Group(), kEpoch);
  EXPECT_EQ(completed.has_value(), GetParam().completed);
  EXPECT_TRUE(!completed || CheckGroupMap(ranks.Group(), completed.value()));
}

INSTANTIATE_TEST_SUITE_P(
    maps,
    stated_map_test,
    testing::Values(stated_case{"whole", {{{0, 1, 2}}, {{2, 3}}}, true, true},
                    stated_case{"expert_on_no_rank", {{{0, 1}}, {{2}}}, false, true},
                    stated_case{"expert_beyond_the_last", {{{0, 1}}, {{2, 4}}}},
                    stated_case{"largest_number",
                                {{{0, 1}}, {{2, std::numeric_limits<int>::max()}}}},
                    stated_case{"negative_expert", {{{0, 1}}, {{2, -1}}}},
                    stated_case{"expert_twice_on_a_rank", {{{0, 1}}, {{2, 3, 3}}}},
                    stated_case{"more_sets", {{{0, 1}, {0, 1}}, {{2, 3}, {2, 3}}}},
                    stated_case{"no_set", {{}, {}}}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a map from before a change of the configuration that is planned with afterwards.
TEST(group_map, FitsOneShapeOnly) {
  const stating_ranks ranks({});
  const std::vector<rank_experts> map{{{0, 1}, {2, 3}}};
  EXPECT_TRUE(CheckGroupMap(ranks.Group(), map));
  rollout_group other = ranks.Group();
  other.shape.experts = kExperts + 1;
  EXPECT_FALSE(CheckGroupMap(other, map));
  other.shape.experts = kExperts - 1;
  EXPECT_FALSE(CheckGroupMap(other, map));
  other = ranks.Group();
  other.ranks.pop_back();
  EXPECT_FALSE(CheckGroupMap(other, map));
  other = ranks.Group();
  other.sets = 2;
  EXPECT_FALSE(CheckGroupMap(other, map));
}

}  // namespace
}  // namespace quincebank
