#pragma once

#include <span>
#include <vector>

#include "quincebank/experts/load_split.h"

namespace quincebank {

/// \brief Price of a search, in the unit of the layer's level.
struct search_limits {
  int max_moves = 24;
  double cost_per_weight = 0;  ///< Level that one loaded weight must save.
  double good_enough = 0;      ///< The search stops at this level.
};

/// \brief Best placement found for one layer.
struct layer_change {
  layer_load layer;
  double level = 0;
  int weights = 0;  ///< Loaded weights, counted by move.
};

/// \brief Looks for the few moves that lower the peak of a layer most.
///
/// Each round takes load off the slowest rank: it copies one of its experts over a spare replica
/// elsewhere (one weight), or swaps two experts (two weights). The result is the state, from no
/// move to all of them, with the highest saving after the cost of its moves.
class layer_search {
 public:
  explicit layer_search(load_splitter& splitter) : splitter_(splitter) {}

  /// \param start  placement whose split is already good.
  [[nodiscard]] layer_change Run(layer_load start,
                                 std::span<const double> loads,
                                 const search_limits& limits);

 private:
  struct move {
    int slot = -1;        // Gets the expert of `source`.
    int source = -1;      // On the slowest rank.
    bool swap = false;    // `source` gets the expert of `slot` in return.
    double estimate = 0;  // Level of the two ranks afterwards.
  };

  void ListMoves(const layer_load& layer, const layer_peak& peak);
  void ListMovesTo(const layer_load& layer, const layer_peak& peak, int target);
  [[nodiscard]] bool Holds(const layer_load& layer, int rank, expert_index expert) const;
  void Apply(layer_load& layer, const move& candidate) const;
  [[nodiscard]] double Potential(const layer_load& layer) const;

  load_splitter& splitter_;
  std::vector<int> live_replicas_;
  std::vector<move> moves_;
};

}  // namespace quincebank
