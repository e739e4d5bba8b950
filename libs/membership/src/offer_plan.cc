#include "quincebank/membership/offer_plan.h"

#include <map>

#include "quincebank/membership/rendezvous.h"

namespace quincebank {

std::vector<offer_target> PlanOffers(const std::vector<config_peer>& peers,
                                     const std::string& root_digest,
                                     std::size_t body_bytes,
                                     const offer_settings& settings) {
  std::vector<std::string> names;
  names.reserve(peers.size());
  for (const config_peer& peer : peers)
    names.push_back(peer.name);
  const bool everyone = body_bytes <= settings.max_inline_bytes;
  std::map<std::string_view, std::size_t> seeds;
  std::vector<offer_target> targets;
  for (const std::uint32_t index : RendezvousOrder(root_digest, names, names.size())) {
    if (everyone || seeds[peers[index].region]++ < settings.seeds_per_region)
      targets.push_back({index, true});
  }
  return targets;
}

}  // namespace quincebank
