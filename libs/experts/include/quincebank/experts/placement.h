#pragma once

#include <span>
#include <vector>

#include "quincebank/experts/load_split.h"

namespace quincebank {

/// \brief Returns how many replicas each expert gets if `slots` are handed out by popularity.
///
/// Each expert gets one; each further slot goes to the expert with the highest load per replica.
/// No expert gets more than one replica on a rank.
[[nodiscard]] std::vector<int> CountReplicas(std::span<const double> loads, int slots, int ranks);

/// \brief Places all replicas of a layer anew, the largest first, each on the rank that would be
/// done earliest. Ignores where the weights are now.
[[nodiscard]] layer_load PlaceLayer(load_splitter& splitter, std::span<const double> loads);

/// \brief Returns the level that no placement can beat: the mean load, or the load of the hottest
/// expert on its largest number of replicas, on the fastest ranks.
[[nodiscard]] double LowerBound(const group_shape& shape,
                                std::span<const double> loads,
                                std::span<const double> speeds);

}  // namespace quincebank
