#include "quincebank/gateway/claim_order.h"

#include <algorithm>

#include "quincebank/membership/rendezvous.h"

namespace quincebank {

std::size_t CountEarlierClaimants(std::string_view role,
                                  const claimant& self,
                                  std::span<const entry_record> entries) noexcept {
  const std::uint64_t own = RendezvousScore(role, self.name);
  return static_cast<std::size_t>(
      std::count_if(entries.begin(), entries.end(), [&](const entry_record& entry) {
        if (entry.name == self.name)
          return false;
        return entry.cores != self.cores ? entry.cores > self.cores
                                         : RendezvousScore(role, entry.name) > own;
      }));
}

}  // namespace quincebank
