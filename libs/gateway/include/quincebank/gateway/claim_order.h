#pragma once

#include <cstddef>
#include <span>
#include <string_view>

#include "quincebank/fleet/fleet_records.h"

namespace quincebank {

/// \brief Gateway entry that may claim a role, such as that of the coordinator.
struct claimant {
  std::string_view name;
  double cores = 0;  ///< Processor time available on its host, in cores.
};

/// \brief Returns how many other entries come before this one in the order of claims on a role.
///
/// Entries on hosts with more cores come first, since planning expert maps takes much of the
/// processor time of a small host. Entries with the same number of cores are ordered by rendezvous
/// hashing. All entries that know the same `entries` compute the same order.
///
/// \param role  store key of the role; seeds the hash.
/// \param entries  all registered entries; `self` is skipped if it is among them.
[[nodiscard]] std::size_t CountEarlierClaimants(std::string_view role,
                                                const claimant& self,
                                                std::span<const entry_record> entries) noexcept;

}  // namespace quincebank
