#include "quincebank/membership/peer_plan.h"

#include <algorithm>
#include <optional>
#include <string>

#include "quincebank/membership/rendezvous.h"

namespace quincebank {
namespace {

/// Node on a ring, seen from the one that looks for peers.
struct ring_place {
  std::uint64_t distance = 0;  ///< Clockwise from the own place.
  std::uint32_t peer = 0;
  bool local = false;
};

std::vector<ring_place> RingFrom(const config_peer& self,
                                 const std::vector<config_peer>& peers,
                                 const std::string& ring) {
  const std::uint64_t own = RendezvousScore(ring, self.name);
  std::vector<ring_place> places;
  places.reserve(peers.size());
  std::uint32_t position = 0;
  for (const config_peer& peer : peers) {
    places.push_back(
        {RendezvousScore(ring, peer.name) - own, position++, peer.region == self.region});
  }
  std::sort(places.begin(), places.end(), [&](const ring_place& a, const ring_place& b) {
    return a.distance != b.distance ? a.distance < b.distance
                                    : peers[a.peer].name < peers[b.peer].name;
  });
  return places;
}

bool Contains(const std::vector<std::uint32_t>& chosen, std::uint32_t peer) {
  return std::find(chosen.begin(), chosen.end(), peer) != chosen.end();
}

std::optional<std::uint32_t> NextLocal(const std::vector<ring_place>& ring,
                                       const std::vector<std::uint32_t>& chosen) {
  for (const ring_place& place : ring) {
    if (place.local && !Contains(chosen, place.peer))
      return place.peer;
  }
  return std::nullopt;
}

std::optional<std::uint32_t> PairedRemote(const std::vector<ring_place>& ring) {
  std::size_t open = 1;
  for (const ring_place& place : ring) {
    open += place.local ? 1 : 0;
    if (!place.local && --open == 0)
      return place.peer;
  }
  return std::nullopt;
}

}  // namespace

std::vector<std::uint32_t> PlanPeers(const config_peer& self,
                                     const std::vector<config_peer>& peers,
                                     std::size_t count,
                                     std::size_t remote) {
  std::vector<std::uint32_t> chosen;
  for (std::size_t i = 0; i < std::min(remote, count); ++i) {
    const auto pair = PairedRemote(RingFrom(self, peers, "peers/remote/" + std::to_string(i)));
    if (pair && !Contains(chosen, *pair))
      chosen.push_back(*pair);
  }
  for (std::size_t i = 0; i < count && chosen.size() < count; ++i) {
    const auto next = NextLocal(RingFrom(self, peers, "peers/" + std::to_string(i)), chosen);
    if (next)
      chosen.push_back(*next);
  }
  return chosen;
}

}  // namespace quincebank
