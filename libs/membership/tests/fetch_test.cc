#include <gtest/gtest.h>

#include "quincebank/base/digest.h"
#include "quincebank/membership/config_exchange.h"

namespace quincebank {
namespace {

constexpr time_point kStart{seconds(100)};
constexpr std::string_view kBody =
    R"({"kind":"workspaces","owner":"o","workspaces":[{"name":"w"}]})";

/// Root of version 1 with one section.
std::string RootBody() {
  config_root root;
  root.version = 1;
  root.sections["w"] = {Sha256Hex(kBody), 1, "o"};
  return Serialize(root);
}

root_answer Announced() {
  return {{1, Sha256Hex(RootBody()), milliseconds(0)}, {}};
}

struct fetch_case {
  const char* name;
  peer_role role;         ///< An entry that is alone in its region watches; agents never do.
  bool peer_has_it;       ///< The peer has announced the version.
  bool root_known;        ///< The body of the root is present, so its section is wanted.
  milliseconds until;     ///< All fetches fail up to this time.
  exchange_step first;    ///< Step of the first fetch.
  bool service_is_asked;  ///< At any time.
};

class fetch_test : public testing::TestWithParam<fetch_case> {};

// Guards against one read of the service for each node and change, against a node that waits for
// peers that do not have a body, and against fetches without a pause.
TEST_P(fetch_test, AsksPeersFirstAndTheServiceAtLast) {
  const fetch_case& scenario = GetParam();
  const config_peer self{"self", "east", scenario.role, "", 0};
  config_holder holder({}, kStart);
  config_exchange exchange(self, {}, holder, kStart);
  exchange.OnPeers({self, {"peer", "east", peer_role::kAgent, "", 0}}, kStart);
  if (scenario.peer_has_it) {
    exchange.OnPeerRoot("peer", Announced(), kStart, kStart);
  } else {
    holder.Hear(Announced().announcement, root_source::kOffer, kStart, kStart);
  }
  if (scenario.root_known) {
    ASSERT_TRUE(holder.Store(Announced().announcement.digest, RootBody(), kStart).has_value());
  }
  std::optional<exchange_step> first;
  bool service_is_asked = false;
  std::size_t fetches = 0;
  for (time_point now = kStart; now < kStart + scenario.until; now += milliseconds(50)) {
    for (const exchange_action& action : exchange.Due(now)) {
      if (action.step == exchange_step::kAskPeer) {
        exchange.OnPeerFailed("peer", now);
        continue;
      }
      if (action.step == exchange_step::kWatchRoot || action.step == exchange_step::kReadRoot) {
        exchange.OnServiceFailed(now);
        continue;
      }
      first = first.value_or(action.step);
      service_is_asked = service_is_asked || action.step == exchange_step::kFetchFromService;
      ++fetches;
      EXPECT_EQ(action.digest,
                scenario.root_known ? Sha256Hex(kBody) : Announced().announcement.digest);
      exchange.OnFetchFailed(action.digest, now);
    }
  }
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(*first, scenario.first);
  EXPECT_EQ(service_is_asked, scenario.service_is_asked);
  // Nine tries 100 ms apart, then waits of 200, 400, 800, 1,600 and 3,000 ms.
  EXPECT_LE(fetches, 12 + static_cast<std::size_t>(scenario.until / seconds(3)));
}

INSTANTIATE_TEST_SUITE_P(
    Sources,
    fetch_test,
    testing::Values(fetch_case{"agent_section", peer_role::kAgent, true, true, milliseconds(2'500),
                               exchange_step::kFetchFromPeer, false},
                    fetch_case{"agent_section_after_the_wait", peer_role::kAgent, true, true,
                               milliseconds(30'000), exchange_step::kFetchFromPeer, true},
                    fetch_case{"agent_without_a_peer_that_has_it", peer_role::kAgent, false, true,
                               milliseconds(10'000), exchange_step::kFetchFromService, true},
                    fetch_case{"watcher_without_a_peer_that_has_it", peer_role::kEntry, false, true,
                               milliseconds(1'000), exchange_step::kFetchFromService, true},
                    fetch_case{"watcher_with_a_peer_that_has_it", peer_role::kEntry, true, true,
                               milliseconds(1'000), exchange_step::kFetchFromPeer, true},
                    // The service does not store roots under their digests.
                    fetch_case{"root_never_from_the_service", peer_role::kAgent, true, false,
                               milliseconds(30'000), exchange_step::kFetchFromPeer, false}),
    [](const auto& info) { return info.param.name; });

// Guards against a node that waits for its peers although none has the section of the root that it
// read itself.
TEST(fresh_agent_test, AFreshAgentGetsAllFromTheServiceIfItIsAlone) {
  const config_peer self{"self", "east", peer_role::kAgent, "", 0};
  config_holder holder({}, kStart);
  config_exchange exchange(self, {}, holder, kStart);
  exchange.OnPeers({self}, kStart);
  for (time_point now = kStart; now < kStart + seconds(6); now += milliseconds(50)) {
    for (const exchange_action& action : exchange.Due(now)) {
      if (action.step == exchange_step::kReadRoot) {
        exchange.OnServiceRoot(stored_value{RootBody(), 5}, now, now);
      } else if (action.step == exchange_step::kFetchFromService) {
        exchange.OnBody(action.digest, kBody, now);
      }
    }
  }
  EXPECT_EQ(holder.version(), 1U);
  EXPECT_EQ(holder.State(kStart + seconds(6)), holder_state::kConfirmed);
}

}  // namespace
}  // namespace quincebank
