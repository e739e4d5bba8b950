#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace quincebank {

using expert_index = std::uint16_t;
using rank_index = std::uint16_t;

/// \brief Sum of the shares of one expert's replicas. A power of two that fits `std::uint16_t`.
inline constexpr int kShareUnit = 1 << 15;
/// \brief Unit of rank speeds: a rank of nominal speed has 1000.
inline constexpr int kSpeedUnit = 1000;
/// \brief Popularity is kept as a whole number of thousandths of a token per step, so that a record
/// holds it exactly; JSON numbers with a fraction lose their last bit in a round trip.
inline constexpr int kPopularityUnit = 1000;

/// \brief Dimensions of a group, equal in all layers.
struct group_shape {
  int layers = 0;
  int ranks = 0;
  int experts = 0;
  int slots_per_rank = 0;  ///< Expert weights that one rank holds in each layer.

  [[nodiscard]] int slots() const noexcept { return ranks * slots_per_rank; }
  [[nodiscard]] int RankOf(int slot) const noexcept { return slot / slots_per_rank; }
  [[nodiscard]] bool operator==(const group_shape&) const noexcept = default;
};

/// \brief Experts of one layer in their slots, and the part of its expert's tokens each slot takes.
///
/// Slot `s` belongs to rank `s / slots_per_rank`.
struct layer_map {
  std::vector<expert_index> experts;
  std::vector<std::uint16_t> shares;  ///< Add up to `kShareUnit` for each expert.

  [[nodiscard]] bool operator==(const layer_map&) const = default;
};

/// \brief Placement of all replicas of a group; all ranks use the same one in a step.
struct expert_map {
  group_shape shape;
  std::vector<layer_map> layers;

  [[nodiscard]] bool operator==(const expert_map&) const = default;
};

/// \brief Counts the weights that ranks must load to go from one map to the other.
///
/// A weight that only changes its slot within a rank isn't loaded again.
[[nodiscard]] std::int64_t CountLoadedWeights(const group_shape& shape,
                                              std::span<const expert_index> from,
                                              std::span<const expert_index> to);

/// \brief Returns whether every expert has a replica, no rank holds an expert twice, and the shares
/// of each expert add up to `kShareUnit`.
[[nodiscard]] bool IsComplete(const expert_map& map);

}  // namespace quincebank
