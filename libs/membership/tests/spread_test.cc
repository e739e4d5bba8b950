#include <gtest/gtest.h>

#include "fleet_model.h"

namespace quincebank {
namespace {

constexpr milliseconds kSettled{5'000};
/// An accepted drain is in force everywhere within this time (docs/design.md, 1.3).
constexpr milliseconds kDrainBound{3'000};
/// So is any configuration: today's fleet, and the target size.
constexpr milliseconds kSpreadBound{5'000};
constexpr milliseconds kTargetSpreadBound{15'000};
constexpr std::size_t kTargetNodes = 1'020;

milliseconds BoundFor(std::size_t nodes) {
  return nodes >= kTargetNodes ? kTargetSpreadBound : kSpreadBound;
}

struct spread_case {
  const char* name;
  std::size_t nodes;
  double loss;
  bool service_fails;         ///< Right after the write.
  std::size_t offers;         ///< Nodes that the tool still reaches; SIZE_MAX for all.
  bool watchers_die;          ///< All watchers, right before the write, unnoticed by the host list.
  std::size_t restart_every;  ///< Every n-th node restarts right after the write; 0 for none.
  bool is_drain;
  std::size_t section = 0;  ///< Workspaces in the section that changes; 4,000 take about 170 KB.
};

class spread_test : public testing::TestWithParam<spread_case> {};

// Guards against a change that some node misses or gets late, and against a node that goes back.
TEST_P(spread_test, LastNodeHasTheVersionInTime) {
  const spread_case& scenario = GetParam();
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    fleet_options options{scenario.nodes, 2, scenario.loss, seed};
    if (scenario.section > 0) {
      options.workspaces = scenario.section;
      options.per_section = scenario.section;
    }
    fleet_model fleet(options);
    fleet.Write(false);
    ASSERT_TRUE(fleet.RunUntilHeld(1, milliseconds(30'000)));
    fleet.RunUntil(fleet.now() + kSettled);
    if (scenario.watchers_die) {
      for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.IsWatcher(i))
          fleet.Stop(i);
      }
    }
    const milliseconds written = fleet.now();
    const std::uint64_t version = fleet.Write(true);
    if (scenario.service_fails)
      fleet.SetServiceUp(false);
    fleet.Offer(scenario.offers);
    for (std::size_t i = 0; scenario.restart_every > 0 && i < fleet.size();
         i += scenario.restart_every) {
      fleet.RunUntil(fleet.now() + milliseconds(1));
      fleet.Stop(i);
      fleet.Start(i);
    }
    const milliseconds bound = scenario.is_drain ? kDrainBound : BoundFor(scenario.nodes);
    EXPECT_TRUE(fleet.RunUntilHeld(version, written + bound));
    RecordProperty("spread_ms_seed_" + std::to_string(seed),
                   std::to_string((fleet.last_adoption() - written).count()));
    fleet.RunUntil(fleet.now() + kSettled);
    EXPECT_EQ(fleet.reverts(), 0U);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      if (!fleet.IsRunning(i))
        continue;
      ASSERT_EQ(fleet.holder(i).version(), version);
      EXPECT_TRUE(fleet.holder(i).config()->IsDomainDrained("domain-0"));
    }
  }
}

constexpr std::size_t kAll = SIZE_MAX;

INSTANTIATE_TEST_SUITE_P(
    Fleets,
    spread_test,
    testing::Values(
        spread_case{"watch_only_20", 20, 0, false, 0, false, 0, false},
        spread_case{"watch_only_200", 200, 0, false, 0, false, 0, false},
        spread_case{"watch_only_1020", 1020, 0, false, 0, false, 0, false},
        spread_case{"lossy_watch_only_20", 20, 0.2, false, 0, false, 0, false},
        spread_case{"lossy_watch_only_200", 200, 0.2, false, 0, false, 0, false},
        spread_case{"lossy_watch_only_1020", 1020, 0.2, false, 0, false, 0, false},
        spread_case{"outage_and_few_offers_20", 20, 0.1, true, 4, false, 0, false},
        spread_case{"outage_and_few_offers_200", 200, 0.1, true, 8, false, 0, false},
        spread_case{"outage_and_few_offers_1020", 1020, 0.1, true, 8, false, 0, false},
        spread_case{"large_section_20", 20, 0.2, false, 0, false, 0, false, 4'000},
        spread_case{"large_section_200", 200, 0.2, false, 0, false, 0, false, 4'000},
        spread_case{"large_section_in_outage_20", 20, 0.2, true, kAll, false, 0, false, 4'000},
        spread_case{"large_section_in_outage_200", 200, 0.2, true, kAll, false, 0, false, 4'000},
        spread_case{"watchers_dead_20", 20, 0, false, 0, true, 0, false},
        spread_case{"watchers_dead_200", 200, 0, false, 0, true, 0, false},
        spread_case{"watchers_dead_1020", 1020, 0, false, 0, true, 0, false},
        spread_case{"restarts_200", 200, 0.1, false, kAll, false, 12, false},
        spread_case{"restarts_in_outage_1020", 1020, 0.1, true, kAll, false, 12, false},
        spread_case{"drain_20", 20, 0.2, true, kAll, false, 0, true},
        spread_case{"drain_200", 200, 0.2, true, kAll, false, 0, true},
        spread_case{"drain_1020", 1020, 0.2, true, kAll, false, 0, true}),
    [](const auto& info) { return info.param.name; });

// Guards against a fleet that starts at once and overloads the key-value service: each node may
// read the root once, and only the three watchers of each region read the sections.
TEST(fleet_start_test, ReadsOfTheServiceAreBounded) {
  constexpr std::size_t kNodes = 200;
  constexpr std::size_t kSections = 101;
  fleet_model fleet({kNodes, 2, 0.1, 1, 1'000, 10});
  fleet.Write(false);
  ASSERT_TRUE(fleet.RunUntilHeld(1, BoundFor(kNodes)));
  EXPECT_LE(fleet.counts().reads, kNodes + 6 * kSections);
}

}  // namespace
}  // namespace quincebank
