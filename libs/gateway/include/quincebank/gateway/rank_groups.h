#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "quincebank/base/ref_counted.h"
#include "quincebank/gateway/fleet_snapshot.h"

namespace quincebank {

/// \brief Ranks of one complete group in one snapshot.
struct rank_group {
  ref_ptr<const fleet_snapshot> snapshot;  ///< Owns the records.
  std::vector<const upstream_record*> ranks;
  engine_profile profile;
  std::uint64_t epoch = 0;
};

/// \brief Returns the groups whose ranks are all open and in the same epoch.
/// \returns The groups by service and group name.
[[nodiscard]] std::map<std::string, rank_group> FindRankGroups(
    const ref_ptr<const fleet_snapshot>& snapshot);

}  // namespace quincebank
