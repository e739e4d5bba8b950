#include "quincebank/gateway/rank_groups.h"

#include <gtest/gtest.h>
#include <sys/resource.h>

namespace quincebank {
namespace {

constexpr int kGroupSize = 4;
constexpr const char* kGroup = "s/g";

/// Snapshot with one service and a complete group of ranks.
ref_ptr<fleet_snapshot> CompleteGroup() {
  service_rule service;
  service.name = "s";
  service.engine = engine_profile{};
  service.engine->expert_sets = 2;
  service.engine->experts_per_set = 8;
  ref_ptr<fleet_snapshot> snapshot(new fleet_snapshot);
  snapshot->catalog = new service_catalog(1, {}, {service}, {}, {});
  for (int rank = 0; rank < kGroupSize; ++rank) {
    known_upstream upstream;
    upstream.record.id = "i-" + std::to_string(rank);
    upstream.record.service = "s";
    upstream.record.group = rank_membership{"g", 1, rank, kGroupSize, true};
    snapshot->upstreams["s"].push_back(upstream);
  }
  return snapshot;
}

std::size_t PeakMemoryKilobytes() {
  rusage usage{};
  EXPECT_EQ(::getrusage(RUSAGE_SELF, &usage), 0);
  return static_cast<std::size_t>(usage.ru_maxrss);
}

struct other_member_case {
  const char* name;
  rank_membership membership;
};

class other_member_test : public testing::TestWithParam<other_member_case> {};

// Guards against a coordinator that ends for its memory, or stops balancing a sound group, because
// of one record that states another size.
TEST_P(other_member_test, NeitherTakesMemoryNorHidesTheGroup) {
  constexpr std::size_t kMaxGrowth = std::size_t{64} * 1024;
  const ref_ptr<fleet_snapshot> snapshot = CompleteGroup();
  known_upstream other;
  other.record.id = "i-other";
  other.record.service = "s";
  other.record.group = GetParam().membership;
  snapshot->upstreams["s"].push_back(other);
  const std::size_t before = PeakMemoryKilobytes();
  const auto groups = FindRankGroups(snapshot);
  EXPECT_LT(PeakMemoryKilobytes() - before, kMaxGrowth);
  ASSERT_EQ(groups.size(), 1U);
  ASSERT_EQ(groups.at(kGroup).ranks.size(), std::size_t{kGroupSize});
  for (int rank = 0; rank < kGroupSize; ++rank)
    EXPECT_EQ(groups.at(kGroup).ranks[static_cast<std::size_t>(rank)]->group->rank, rank);
}

INSTANTIATE_TEST_SUITE_P(
    records,
    other_member_test,
    testing::Values(other_member_case{"huge_group", {"other", 1, 0, 100'000'000, true}},
                    other_member_case{"huge_size_in_the_group", {"g", 1, 0, 100'000'000, true}},
                    other_member_case{"smaller_size_in_the_group", {"g", 1, 0, 3, true}},
                    other_member_case{"later_epoch_of_another_size", {"g", 9, 0, 8, true}},
                    other_member_case{"rank_beyond_the_size", {"other", 1, 7, 4, true}},
                    other_member_case{"negative_rank", {"other", 1, -1, 4, true}}),
    [](const auto& info) { return std::string(info.param.name); });

struct incomplete_case {
  const char* name;
  void (*change)(fleet_snapshot&);
};

class incomplete_group_test : public testing::TestWithParam<incomplete_case> {};

// Guards against orders to a group in which a rank is missing or has restarted.
TEST_P(incomplete_group_test, IsNotFound) {
  const ref_ptr<fleet_snapshot> snapshot = CompleteGroup();
  GetParam().change(*snapshot);
  EXPECT_TRUE(FindRankGroups(snapshot).empty());
}

INSTANTIATE_TEST_SUITE_P(
    changes,
    incomplete_group_test,
    testing::Values(
        incomplete_case{"rank_missing", [](fleet_snapshot& s) { s.upstreams["s"].pop_back(); }},
        incomplete_case{"rank_not_open",
                        [](fleet_snapshot& s) { s.upstreams["s"][1].record.group->open = false; }},
        incomplete_case{"epochs_differ",
                        [](fleet_snapshot& s) { s.upstreams["s"][1].record.group->epoch = 2; }},
        incomplete_case{"rank_superseded",
                        [](fleet_snapshot& s) { s.upstreams["s"][1].superseded = true; }},
        incomplete_case{
            "no_experts",
            [](fleet_snapshot& s) { s.catalog = new service_catalog(1, {}, {}, {}, {}); }},
        incomplete_case{"no_configuration", [](fleet_snapshot& s) { s.catalog = nullptr; }}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace quincebank
