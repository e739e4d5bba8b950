#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "quincebank/base/time.h"
#include "quincebank/membership/config_peer.h"

namespace quincebank {

struct offer_settings {
  /// Bodies up to this size go to every node with the offer; larger ones to the seeds only.
  std::size_t max_inline_bytes = 65'536;
  std::size_t seeds_per_region = 8;
  std::size_t parallel = 64;  ///< Offers that the tool keeps open at a time.
  std::size_t tries = 3;
  milliseconds call_timeout{500};
};

struct offer_target {
  std::uint32_t peer = 0;  ///< Position in the list of peers.
  bool with_bodies = false;
};

/// \brief Orders the direct offers of an accepted root to the nodes.
///
/// The key-value service may be down right after the write, and then only the writer has the new
/// bodies; so the offer carries them. Small ones go to every node. Large ones go to a few
/// seeds in each region, chosen by rendezvous hashing, from which the others fetch; the others get
/// no offer, since they would ask peers that do not have the bodies yet.
[[nodiscard]] std::vector<offer_target> PlanOffers(const std::vector<config_peer>& peers,
                                                   const std::string& root_digest,
                                                   std::size_t body_bytes,
                                                   const offer_settings& settings);

}  // namespace quincebank
