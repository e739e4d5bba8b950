#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>

#include "quincebank/routing/table.h"

namespace quincebank {

/// \brief Pool positions with the smallest rendezvous distances to a key, nearest first.
template <std::size_t kSize>
class nearest {
 public:
  /// \brief Distance below which a position enters the list.
  [[nodiscard]] std::uint64_t bound() const noexcept { return distances_[kSize - 1]; }

  void Insert(std::uint64_t distance, std::uint32_t position) noexcept {
    std::size_t i = kSize - 1;
    for (; i > 0 && distances_[i - 1] > distance; --i) {
      distances_[i] = distances_[i - 1];
      positions_[i] = positions_[i - 1];
    }
    distances_[i] = distance;
    positions_[i] = position;
    if (count_ < kSize)
      ++count_;
  }

  [[nodiscard]] std::size_t size() const noexcept { return count_; }
  [[nodiscard]] std::uint32_t at(std::size_t i) const noexcept { return positions_[i]; }

 private:
  static constexpr std::array<std::uint64_t, kSize> Unset() noexcept {
    std::array<std::uint64_t, kSize> unset{};
    unset.fill(std::numeric_limits<std::uint64_t>::max());
    return unset;
  }

  std::array<std::uint64_t, kSize> distances_ = Unset();
  std::array<std::uint32_t, kSize> positions_{};
  std::size_t count_ = 0;
};

/// \brief Weighted rendezvous distance of a pool member to a key whose bits are well mixed.
///
/// Every entry computes the same distances. One multiplication by an odd hash of the id replaces a
/// full hash of id and key. Dividing a uniform value by the weight approximates the exponential
/// clock of weighted rendezvous hashing for small values, which are the ones that win.
[[nodiscard]] inline std::uint64_t RendezvousDistance(const routing_table::pool& pool,
                                                      std::uint32_t position,
                                                      std::uint64_t key) noexcept {
  constexpr unsigned kHighBits = 32;
  return ((pool.multiplier[position] * key) >> kHighBits) * pool.inverse_weight[position];
}

}  // namespace quincebank
