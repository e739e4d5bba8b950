#include "quincebank/membership/config_exchange.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "quincebank/membership/offer_plan.h"
#include "quincebank/membership/rendezvous.h"

namespace quincebank {
namespace {

constexpr time_point kStart{seconds(100)};

std::vector<config_peer> Fleet(std::size_t entries, std::size_t agents) {
  std::vector<config_peer> peers;
  for (std::size_t i = 0; i < entries + agents; ++i) {
    peers.push_back({"node-" + std::to_string(i), i % 2 == 0 ? "east" : "west",
                     i < entries ? peer_role::kEntry : peer_role::kAgent, "127.0.0.1", 1});
  }
  return peers;
}

std::set<std::string> Watchers(const std::vector<config_peer>& peers, const std::string& region) {
  std::set<std::string> watchers;
  for (const config_peer& self : peers) {
    config_holder holder({}, kStart);
    config_exchange exchange(self, {}, holder, kStart);
    exchange.OnPeers(peers, kStart);
    if (self.region == region && exchange.IsWatcher(kStart))
      watchers.insert(self.name);
  }
  return watchers;
}

// Guards against a watcher set that grows with the fleet, has agents in it, or differs by observer.
TEST(watcher_test, ThreeEntriesOfEachRegionWatch) {
  for (const std::size_t entries : {4U, 8U, 100U}) {
    const auto peers = Fleet(entries, 2 * entries);
    EXPECT_EQ(Watchers(peers, "east").size(), std::min<std::size_t>(3, entries / 2));
    EXPECT_EQ(Watchers(peers, "west").size(), std::min<std::size_t>(3, entries / 2));
  }
}

// Guards against a region without a watcher after one has left the list, and against a takeover
// that moves the others.
TEST(watcher_test, TheNextEntryTakesOver) {
  auto peers = Fleet(20, 0);
  const std::set<std::string> before = Watchers(peers, "east");
  std::erase_if(peers, [&](const config_peer& peer) { return peer.name == *before.begin(); });
  const std::set<std::string> after = Watchers(peers, "east");
  EXPECT_EQ(after.size(), 3U);
  EXPECT_EQ(std::count_if(before.begin(), before.end(),
                          [&](const std::string& name) { return after.contains(name); }),
            2);
}

// Guards against watchers that are dead but listed: stand-ins begin when the root gets old.
TEST(watcher_test, StandInsAreFewAndWaitForAnOldRoot) {
  const auto peers = Fleet(40, 0);
  std::size_t early = 0;
  std::size_t late = 0;
  for (const config_peer& self : peers) {
    config_holder holder({}, kStart);
    config_exchange exchange(self, {}, holder, kStart);
    exchange.OnPeers(peers, kStart);
    early += exchange.IsWatcher(kStart + seconds(4)) ? 1 : 0;
    late += exchange.IsWatcher(kStart + seconds(60)) ? 1 : 0;
  }
  EXPECT_EQ(early, 6U);
  EXPECT_EQ(late, 12U);
}

/// Runs polls of one exchange for a time; every peer in `dead` fails.
std::set<std::string> Polled(config_exchange& exchange,
                             const std::set<std::string>& dead,
                             time_point from,
                             time_point to,
                             std::size_t& polls) {
  std::set<std::string> asked;
  for (time_point now = from; now < to; now += milliseconds(50)) {
    for (const exchange_action& action : exchange.Due(now)) {
      if (action.step == exchange_step::kReadRoot || action.step == exchange_step::kWatchRoot) {
        exchange.OnServiceFailed(now);
        continue;
      }
      ++polls;
      asked.insert(action.peer.name);
      if (dead.contains(action.peer.name)) {
        exchange.OnPeerFailed(action.peer.name, now);
      } else {
        exchange.OnPeerRoot(action.peer.name, {{0, "", {}}, {}}, now, now);
      }
    }
  }
  return asked;
}

struct poll_case {
  const char* name;
  std::size_t nodes;
  std::size_t dead;  ///< Of the peers polled first.
  std::size_t peers;
};

class poll_test : public testing::TestWithParam<poll_case> {};

// Guards against control traffic that grows with the fleet, and against dead peers that stay.
TEST_P(poll_test, PollsABoundedSetAndReplacesDeadPeers) {
  const auto peers = Fleet(GetParam().nodes, 0);
  config_holder holder({}, kStart);
  config_exchange exchange(peers[0], {}, holder, kStart);
  exchange.OnPeers(peers, kStart);
  const std::vector<std::string> first = exchange.PolledPeers();
  ASSERT_EQ(first.size(), GetParam().peers);
  const std::set<std::string> dead(first.begin(),
                                   first.begin() + static_cast<std::ptrdiff_t>(GetParam().dead));
  std::size_t polls = 0;
  Polled(exchange, dead, kStart, kStart + seconds(10), polls);
  EXPECT_LE(polls, 20 * GetParam().peers);
  EXPECT_GE(polls, 18 * GetParam().peers);
  const std::vector<std::string> now = exchange.PolledPeers();
  EXPECT_EQ(now.size(), GetParam().peers);
  if (GetParam().nodes > 6) {
    EXPECT_TRUE(std::none_of(now.begin(), now.end(),
                             [&](const std::string& name) { return dead.contains(name); }));
    EXPECT_TRUE(std::any_of(now.begin(), now.end(), [&](const std::string& name) {
      return std::find_if(peers.begin(), peers.end(), [&](const config_peer& peer) {
               return peer.name == name && peer.region != peers[0].region;
             }) != peers.end();
    })) << "no peer of another region";
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         poll_test,
                         testing::Values(poll_case{"alone", 1, 0, 0},
                                         poll_case{"two", 2, 0, 1},
                                         poll_case{"two_one_dead", 2, 1, 1},
                                         poll_case{"twenty", 20, 0, 3},
                                         poll_case{"twenty_one_dead", 20, 1, 3},
                                         poll_case{"twenty_all_dead", 20, 3, 3},
                                         poll_case{"thousand", 1020, 0, 3}),
                         [](const auto& info) { return info.param.name; });

// Guards against an offer of bodies that are too large for every node, and against a region that
// gets none.
TEST(offer_plan_test, LargeBodiesGoToSeedsOfEachRegion) {
  const auto peers = Fleet(40, 60);
  EXPECT_EQ(PlanOffers(peers, "d", 1'000, {}).size(), 100U);
  const auto seeds = PlanOffers(peers, "d", 1'000'000, {});
  ASSERT_EQ(seeds.size(), 16U);
  EXPECT_EQ(std::count_if(
                seeds.begin(), seeds.end(),
                [&](const offer_target& target) { return peers[target.peer].region == "east"; }),
            8);
}

// Guards against an order that a join or a leave changes for the other nodes.
TEST(rendezvous_test, OrderOfTheOthersStays) {
  std::vector<std::string> names{"a", "b", "c", "d", "e"};
  const auto order = RendezvousOrder("key", names, 5);
  std::vector<std::string> expected;
  for (const std::uint32_t index : order) {
    if (names[index] != "c")
      expected.push_back(names[index]);
  }
  std::erase(names, "c");
  std::vector<std::string> found;
  for (const std::uint32_t index : RendezvousOrder("key", names, 5))
    found.push_back(names[index]);
  EXPECT_EQ(found, expected);
}

}  // namespace
}  // namespace quincebank
