#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "quincebank/base/time.h"

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

/// \brief What a plan weighs: a map that is better, but later, against one that is in use sooner.
struct even_share_limits {
  /// Sets whose peak is within this part of the mean are left alone.
  double good_enough = 0.03;
  /// Time from a plan to the map in use, beside the loading of experts.
  milliseconds switch_time{0};
  milliseconds load_time{0};  ///< Of one expert by one rank; ranks load at the same time.
  /// How long popularity is expected to stay as it is.
  milliseconds horizon{0};
  /// Multiple of the mean load from which passes are too long for streams, and the weight of what
  /// is beyond.
  double slow_peak = 1.5;
  double slow_weight = 4;
};

/// \brief Result of a planning decision.
struct even_share_plan {
  std::vector<rank_experts> sets;
  double peak_before = 0;  ///< Sum over the sets of the most loaded rank's load.
  double peak_after = 0;
  double mean = 0;     ///< The same sum if all ranks had equal loads.
  int loaded = 0;      ///< Experts that ranks load.
  int most_loads = 0;  ///< Experts that the rank with most to load loads.
};

/// \brief Returns the load of each rank: each expert's load, divided evenly among its holders.
[[nodiscard]] std::vector<double> RankLoads(const rank_experts& holders,
                                            std::span<const double> loads);

/// \brief The map of a group that has just formed: expert `e` on rank `e mod ranks`.
[[nodiscard]] rank_experts InitialExperts(const even_share_shape& shape);

/// \brief Looks for the copies and moves of experts that lower the peaks most.
///
/// Answers popularity that shifts every few seconds: ranks wait for the most loaded one set by set,
/// and what was even before a shift is not afterwards. The next step is always taken in the set
/// with the highest peak. Free places get copies of the experts with the largest shares, so that
/// an expert that becomes popular is more likely to have several holders.
///
/// The search goes through stages in which ranks may load more and more experts, and the stage with
/// the least expected harm is the plan: its harm until it is in use, and afterwards.
///
/// \param loads  tokens of each expert, by set.
[[nodiscard]] even_share_plan PlanEvenShares(const even_share_shape& shape,
                                             const std::vector<rank_experts>& current,
                                             const std::vector<std::vector<double>>& loads,
                                             const even_share_limits& limits = {});

}  // namespace quincebank
