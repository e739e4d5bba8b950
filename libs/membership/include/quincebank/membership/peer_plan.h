#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "quincebank/membership/config_peer.h"

namespace quincebank {

/// \brief Chooses the peers that a node polls, so that each node is polled by few others.
///
/// Choosing the nodes with the highest rendezvous scores spreads the polls like random choices: the
/// busiest of 1,020 nodes was polled by 9 others at a mean of 3. Here each place has a ring on
/// which all nodes stand by a hash of their names. A local place goes to the next node of the own
/// region on its ring, so each ring gives a node one asker. A remote place pairs the nodes of two
/// regions on a ring as an opening bracket is paired with its closing one, which again gives a node
/// at most one asker from each other region; a node of a larger region may stay without a pair and
/// takes one more local peer. A node that joins or leaves changes the peers of its neighbours only.
///
/// \param peers  all live processes except `self`.
/// \returns Positions in `peers`, at most `count` and at most `remote` of them in other regions.
[[nodiscard]] std::vector<std::uint32_t> PlanPeers(const config_peer& self,
                                                   const std::vector<config_peer>& peers,
                                                   std::size_t count,
                                                   std::size_t remote);

}  // namespace quincebank
