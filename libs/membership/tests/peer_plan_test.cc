#include "quincebank/membership/peer_plan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "quincebank/membership/config_exchange.h"

namespace quincebank {
namespace {

constexpr time_point kStart{seconds(100)};
constexpr std::size_t kPeers = 3;
constexpr std::size_t kRemote = 1;

struct fleet_case {
  const char* name;
  std::size_t east;
  std::size_t west;
  std::size_t most;     ///< Askers of a node.
  std::size_t changed;  ///< Peer sets that change when a node leaves.
};

std::vector<config_peer> Fleet(std::size_t east, std::size_t west) {
  std::vector<config_peer> peers;
  for (std::size_t i = 0; i < east + west; ++i) {
    peers.push_back({"node-" + std::to_string(i), i < east ? "east" : "west", peer_role::kAgent,
                     "127.0.0.1", 1});
  }
  return peers;
}

using plan = std::map<std::string, std::set<std::string>>;

plan PlanAll(const std::vector<config_peer>& fleet) {
  plan planned;
  for (const config_peer& self : fleet) {
    std::vector<config_peer> others = fleet;
    std::erase_if(others, [&](const config_peer& peer) { return peer.name == self.name; });
    for (const std::uint32_t peer : PlanPeers(self, others, kPeers, kRemote))
      planned[self.name].insert(others[peer].name);
  }
  return planned;
}

std::map<std::string, std::size_t> AskersOf(const plan& planned) {
  std::map<std::string, std::size_t> askers;
  for (const auto& [self, peers] : planned) {
    for (const std::string& peer : peers)
      ++askers[peer];
  }
  return askers;
}

class peer_plan_test : public testing::TestWithParam<fleet_case> {};

// Guards against a node that many others poll and whose control traffic exceeds the bound, and
// against nodes that nobody polls or that have too few peers.
TEST_P(peer_plan_test, AskersOfANodeAreBounded) {
  const auto fleet = Fleet(GetParam().east, GetParam().west);
  const plan planned = PlanAll(fleet);
  const auto askers = AskersOf(planned);
  std::size_t most = 0;
  for (const auto& [name, count] : askers)
    most = std::max(most, count);
  EXPECT_LE(most, GetParam().most);
  RecordProperty("most_askers", std::to_string(most));
  for (const config_peer& self : fleet) {
    EXPECT_EQ(planned.at(self.name).size(), kPeers);
    EXPECT_TRUE(askers.contains(self.name)) << self.name;
  }
}

// Guards against a region that hears nothing from the other: each node of the smaller region polls
// one of the larger, and as many the other way.
TEST_P(peer_plan_test, RegionsPollEachOther) {
  const auto fleet = Fleet(GetParam().east, GetParam().west);
  std::map<std::string, std::string> region_of;
  for (const config_peer& peer : fleet)
    region_of[peer.name] = peer.region;
  std::map<std::string, std::size_t> across;
  for (const auto& [self, peers] : PlanAll(fleet)) {
    for (const std::string& peer : peers)
      across[region_of[self]] += region_of[self] != region_of[peer] ? 1 : 0;
  }
  const std::size_t smaller = std::min(GetParam().east, GetParam().west);
  EXPECT_EQ(across["east"], smaller);
  EXPECT_EQ(across["west"], smaller);
}

// Guards against peer sets that change all over the fleet when one node leaves the list.
TEST_P(peer_plan_test, ALeaveChangesFewPeerSets) {
  auto fleet = Fleet(GetParam().east, GetParam().west);
  const plan before = PlanAll(fleet);
  const std::string gone = fleet[fleet.size() / 3].name;
  std::erase_if(fleet, [&](const config_peer& peer) { return peer.name == gone; });
  std::size_t changed = 0;
  for (const auto& [self, peers] : PlanAll(fleet))
    changed += peers != before.at(self) ? 1 : 0;
  RecordProperty("changed_sets", std::to_string(changed));
  // Its askers, and the pairs between the regions that it takes apart.
  EXPECT_LE(changed, GetParam().changed);
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         peer_plan_test,
                         testing::Values(fleet_case{"twenty", 10, 10, 4, 10},
                                         fleet_case{"two_hundred", 100, 100, 4, 20},
                                         fleet_case{"target", 510, 510, 4, 50},
                                         fleet_case{"one_region_larger", 700, 320, 5, 10}),
                         [](const auto& info) { return info.param.name; });

// Guards against a substitute that stays for good: after faults that have ended, the askers of a
// node are those of the plan again.
TEST(peer_plan_exchange_test, APeerThatComesBackTakesItsPlaceAgain) {
  const auto fleet = Fleet(50, 50);
  config_holder holder({}, kStart);
  config_exchange exchange(fleet[0], {}, holder, kStart);
  exchange.OnPeers(fleet, kStart);
  std::vector<std::string> planned = exchange.PolledPeers();
  std::sort(planned.begin(), planned.end());
  const std::string dead = planned.front();
  const auto run = [&](time_point from, time_point to, bool down) {
    for (time_point now = from; now < to; now += milliseconds(50)) {
      for (const exchange_action& action : exchange.Due(now)) {
        if (action.step != exchange_step::kAskPeer) {
          exchange.OnServiceFailed(now);
        } else if (down && action.peer.name == dead) {
          exchange.OnPeerFailed(action.peer.name, now);
        } else {
          exchange.OnPeerRoot(action.peer.name, {{0, "", {}}, {}}, now, now);
        }
      }
    }
  };
  const auto polled = [&] {
    std::vector<std::string> names = exchange.PolledPeers();
    std::sort(names.begin(), names.end());
    return names;
  };
  run(kStart, kStart + seconds(40), true);
  EXPECT_NE(polled(), planned);
  EXPECT_EQ(polled().size(), kPeers);
  run(kStart + seconds(40), kStart + seconds(60), false);
  EXPECT_EQ(polled(), planned);
}

}  // namespace
}  // namespace quincebank
