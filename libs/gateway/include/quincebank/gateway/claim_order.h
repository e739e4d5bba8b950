#pragma once

#include <cstddef>
#include <span>
#include <string_view>

#include "quincebank/fleet/fleet_records.h"

namespace quincebank {

/// \brief Entry that may claim a role.
struct claimant {
  std::string_view name;
  double cores = 0;  ///< Processor time of its host.
};

/// \brief Returns how many other entries claim a role before this one.
///
/// Entries on larger hosts come first, since planning expert maps takes a good part of a small
/// host; equal ones in rendezvous order. All entries with the same list find the same order.
///
/// \param role  key of the role.
[[nodiscard]] std::size_t CountEarlierClaimants(std::string_view role,
                                                const claimant& self,
                                                std::span<const entry_record> entries) noexcept;

}  // namespace quincebank
