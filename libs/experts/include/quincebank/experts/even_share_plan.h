#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace quincebank {

/// \brief Experts that each rank of a group holds in one set of layers.
using rank_experts = std::vector<std::vector<int>>;

/// \brief Dimensions and limits of a group whose ranks share an expert's tokens evenly.
struct even_share_shape {
  int ranks = 0;
  int experts = 0;
  int places = 0;        ///< Experts that one rank can hold in a set.
  int new_per_set = 0;   ///< Experts of a set that one rank can load for one plan.
  int new_per_rank = 0;  ///< Experts of all sets that one rank may load for one plan.
};

/// \brief What a plan weighs.
struct even_share_limits {
  /// Least part of a set's peak that one step must take off it.
  double least_gain = 0.015;
  /// Sets whose peak is within this part of the mean are left alone.
  double good_enough = 0.12;
};

/// \brief Result of a planning decision.
struct even_share_plan {
  std::vector<rank_experts> sets;
  double peak_before = 0;  ///< Sum over the sets of the most loaded rank's load.
  double peak_after = 0;
  double mean = 0;  ///< The same sum if all ranks had equal loads.
  int loaded = 0;   ///< Experts that ranks load.
};

/// \brief Returns the load of each rank: each expert's load, divided evenly among its holders.
[[nodiscard]] std::vector<double> RankLoads(const rank_experts& holders,
                                            std::span<const double> loads);

/// \brief The map of a group that has just formed: expert `e` on rank `e mod ranks`.
[[nodiscard]] rank_experts InitialExperts(const even_share_shape& shape);

/// \brief Looks for the few copies and moves of experts that lower the peaks most.
///
/// Ranks wait for the most loaded one set by set, so the next step is always taken in the set with
/// the highest peak: an expert of its most loaded rank is copied to, or moved to, another rank, in
/// place of a spare copy there if the rank is full.
///
/// \param loads  tokens of each expert, by set.
[[nodiscard]] even_share_plan PlanEvenShares(const even_share_shape& shape,
                                             const std::vector<rank_experts>& current,
                                             const std::vector<std::vector<double>>& loads,
                                             const even_share_limits& limits = {});

}  // namespace quincebank
