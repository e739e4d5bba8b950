#include <gtest/gtest.h>

#include "fleet_model.h"

namespace quincebank {
namespace {

constexpr milliseconds kSettled{5'000};
constexpr milliseconds kCutFor{20'000};

struct partition_case {
  const char* name;
  std::size_t nodes;
  bool whole_region;  ///< Else every tenth node, with its peers on the other side.
  milliseconds bound;
};

class partition_test : public testing::TestWithParam<partition_case> {};

// Guards against nodes beyond a partition that revert, claim a confirmed root, or stay behind after
// it has healed.
TEST_P(partition_test, NodesBeyondKeepTheirVersionAndReportIt) {
  fleet_model fleet({GetParam().nodes, 2, 0, 7, 0});
  const auto beyond = [](const config_peer& peer) {
    return GetParam().whole_region ? peer.region == "region-1" : peer.name.back() == '3';
  };
  fleet.Write(false);
  ASSERT_TRUE(fleet.RunUntilHeld(1, milliseconds(30'000)));
  fleet.RunUntil(fleet.now() + kSettled);
  fleet.Cut(beyond);
  fleet.Write(true);
  fleet.Offer();
  fleet.RunUntil(fleet.now() + kCutFor);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const bool cut = beyond(fleet.peer(i));
    EXPECT_EQ(fleet.holder(i).version(), cut ? 1U : 2U);
    EXPECT_EQ(fleet.Status(i).state, cut ? holder_state::kUnconfirmed : holder_state::kConfirmed);
  }
  fleet.Heal();
  const milliseconds healed = fleet.now();
  EXPECT_TRUE(fleet.RunUntilHeld(2, healed + GetParam().bound));
  RecordProperty("spread_ms", std::to_string((fleet.last_adoption() - healed).count()));
  EXPECT_EQ(fleet.reverts(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Parts,
    partition_test,
    testing::Values(partition_case{"every_tenth_of_20", 20, false, milliseconds(5'000)},
                    partition_case{"region_of_20", 20, true, milliseconds(5'000)},
                    partition_case{"every_tenth_of_200", 200, false, milliseconds(5'000)},
                    partition_case{"region_of_200", 200, true, milliseconds(5'000)},
                    partition_case{"region_of_1020", 1020, true, milliseconds(15'000)}),
    [](const auto& info) { return info.param.name; });

// Guards against ages that grow past the limit on the way through the fleet, so that nodes call
// their root unconfirmed while the watchers confirm it.
TEST(confirmation_test, EveryNodeIsConfirmedWhileTheServiceAnswers) {
  fleet_model fleet({1020, 2, 0.1, 11, 0});
  fleet.Write(false);
  ASSERT_TRUE(fleet.RunUntilHeld(1, milliseconds(30'000)));
  fleet.RunUntil(fleet.now() + kSettled);
  milliseconds oldest{0};
  for (int second = 0; second < 20; ++second) {
    fleet.RunUntil(fleet.now() + seconds(1));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      EXPECT_EQ(fleet.Status(i).state, holder_state::kConfirmed);
      oldest = std::max(oldest, fleet.Status(i).age.value_or(milliseconds(0)));
    }
  }
  RecordProperty("oldest_age_ms", std::to_string(oldest.count()));
}

// Guards against an outage that nodes do not notice, and against one that they never leave.
TEST(confirmation_test, AnOutageIsReportedAndEnds) {
  fleet_model fleet({200, 2, 0, 5, 0});
  fleet.Write(false);
  ASSERT_TRUE(fleet.RunUntilHeld(1, milliseconds(30'000)));
  fleet.RunUntil(fleet.now() + kSettled);
  fleet.SetServiceUp(false);
  fleet.RunUntil(fleet.now() + seconds(11));
  for (std::size_t i = 0; i < fleet.size(); ++i)
    EXPECT_EQ(fleet.Status(i).state, holder_state::kUnconfirmed);
  const fleet_counts before = fleet.counts();
  fleet.RunUntil(fleet.now() + seconds(60));
  // At most 6 watchers and stand-ins in each of 2 regions, a call every 4 s or less often.
  EXPECT_LE(fleet.counts().watches - before.watches, 12U * 60U / 4U);
  EXPECT_EQ(fleet.counts().reads, before.reads);
  fleet.SetServiceUp(true);
  fleet.RunUntil(fleet.now() + seconds(10));
  for (std::size_t i = 0; i < fleet.size(); ++i)
    EXPECT_EQ(fleet.Status(i).state, holder_state::kConfirmed);
}

// Guards against a fresh node that has only stale peers and says nothing of it.
TEST(confirmation_test, AFreshNodeWithStalePeersIsProvisional) {
  fleet_model fleet({20, 2, 0, 3, 0});
  fleet.Write(false);
  ASSERT_TRUE(fleet.RunUntilHeld(1, milliseconds(30'000)));
  fleet.RunUntil(fleet.now() + kSettled);
  fleet.SetServiceUp(false);
  fleet.RunUntil(fleet.now() + seconds(30));
  fleet.Stop(4);
  fleet.Start(4);
  fleet.RunUntil(fleet.now() + seconds(2));
  EXPECT_EQ(fleet.Status(4).state, holder_state::kEmpty);
  fleet.RunUntil(fleet.now() + seconds(3));
  EXPECT_EQ(fleet.holder(4).version(), 1U);
  EXPECT_EQ(fleet.Status(4).state, holder_state::kProvisional);
  fleet.SetServiceUp(true);
  fleet.RunUntil(fleet.now() + seconds(20));
  EXPECT_EQ(fleet.Status(4).state, holder_state::kConfirmed);
}

}  // namespace
}  // namespace quincebank
