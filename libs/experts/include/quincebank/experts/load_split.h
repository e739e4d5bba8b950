#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "quincebank/experts/expert_map.h"

namespace quincebank {

/// \brief Placement of one layer with the load of each slot and rank.
struct layer_load {
  std::vector<expert_index> experts;  ///< Expert of each slot.
  std::vector<double> amounts;        ///< Load of each slot.
  std::vector<double> ranks;          ///< Load of each rank.
};

/// \brief Highest level (load divided by speed) of a layer and where it is.
struct layer_peak {
  double level = 0;
  int rank = 0;
};

/// \brief Splits the load of each expert between its replicas so that the slowest rank is done as
/// early as possible.
///
/// Each sweep gives one expert after the other the best split for the load of the other experts
/// ("water filling"). Each of these steps lowers the sum of load^2 / speed; its minimum also has
/// the lowest possible peak, because the feasible rank loads form a base polytope.
class load_splitter {
 public:
  /// \param speeds  speed of each rank; a rank with speed 0 takes no load.
  load_splitter(const group_shape& shape, std::span<const double> speeds);

  /// \brief Sets equal shares on the ranks that can take load.
  void Start(layer_load& layer, std::span<const double> loads);
  /// \brief Sets the shares of a map.
  void StartFrom(layer_load& layer, const layer_map& map, std::span<const double> loads) const;
  /// \brief Improves the split until a sweep gains less than `tolerance` of the peak.
  layer_peak Improve(layer_load& layer,
                     std::span<const double> loads,
                     int max_sweeps,
                     double tolerance);
  [[nodiscard]] layer_peak Peak(const layer_load& layer) const;
  /// \brief Returns the map with shares rounded to `kShareUnit` parts.
  [[nodiscard]] layer_map ToMap(const layer_load& layer, std::span<const double> loads) const;

  [[nodiscard]] const group_shape& shape() const noexcept { return shape_; }
  [[nodiscard]] std::span<const double> speeds() const noexcept { return speeds_; }

 private:
  struct replica {
    int slot;
    int rank;
    double base;   // Load of the rank without this expert.
    double level;  // base / speed.
  };

  void IndexReplicas(const layer_load& layer);
  void Fill(layer_load& layer, std::span<const int> slots, double load);

  const group_shape shape_;
  const std::vector<double> speeds_;
  std::vector<int> first_;  // Replicas of expert e: slots_[first_[e]] to slots_[first_[e + 1] - 1].
  std::vector<int> slots_;
  std::vector<std::size_t> replicated_;  // Experts with several replicas.
  std::vector<replica> scratch_;
};

}  // namespace quincebank
