#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>

#include "quincebank/routing/table.h"

namespace quincebank {

/// Low bits of a product that do not count, so that the distance of any weight fits into 64 bits.
inline constexpr unsigned kDroppedBits = 24;

/// \brief Weighted rendezvous distance of a pool member to a key whose bits are well mixed.
///
/// Every entry computes the same distances. One multiplication by an odd hash of the id replaces a
/// full hash of id and key. Dividing a uniform value by the weight approximates the exponential
/// clock of weighted rendezvous hashing for small values, which are the ones that win.
[[nodiscard]] inline std::uint64_t RendezvousDistance(const routing_table::pool& pool,
                                                      std::uint32_t position,
                                                      std::uint64_t key) noexcept {
  return ((pool.multiplier[position] * key) >> kDroppedBits) * pool.stretch[position];
}

/// \brief Pool positions with the smallest rendezvous distances to a key, nearest first.
template <std::size_t kSize>
class nearest {
 public:
  nearest(const routing_table::pool& pool, std::uint64_t key) noexcept : pool_(pool), key_(key) {}

  /// \brief Leaves out positions that are unlikely to be among the nearest of a range.
  ///
  /// Three times the expected distance of the last place lets through a dozen positions instead of
  /// many that are displaced again. If too few come through, offer all again after `Unlimit`.
  void Limit(const routing_table::region_range& range) noexcept {
    constexpr std::uint64_t kMargin = 3;
    const std::uint64_t share = kMargin * kSize * pool_.max_weight;
    if (share >= range.weight)
      return;
    const std::uint64_t product = std::numeric_limits<std::uint64_t>::max() / range.weight * share;
    SetBound((product >> kDroppedBits) * routing_table::kStretchOne);
  }
  void Unlimit() noexcept {
    count_ = 0;
    bound_ = std::numeric_limits<std::uint64_t>::max();
    limit_ = bound_;
  }

  /// \brief Adds a position if it is near enough.
  ///
  /// Nearly all positions fail the first comparison, which needs one multiplication: no weight in
  /// the pool can bring such a position below the bound.
  void Offer(std::uint32_t position) noexcept {
    if (pool_.multiplier[position] * key_ > limit_)
      return;
    const std::uint64_t distance = RendezvousDistance(pool_, position, key_);
    // Without this test a light position within the limit would take the place of a heavier one
    // outside it.
    if (distance >= bound_)
      return;
    Insert(distance, position);
  }

  [[nodiscard]] std::uint64_t key() const noexcept { return key_; }
  /// \brief Product of multiplier and key above which no position enters the list.
  [[nodiscard]] std::uint64_t limit() const noexcept { return limit_; }

  [[nodiscard]] bool full() const noexcept { return count_ == kSize; }
  [[nodiscard]] std::size_t size() const noexcept { return count_; }
  [[nodiscard]] std::uint32_t at(std::size_t i) const noexcept { return positions_[i]; }

 private:
  void Insert(std::uint64_t distance, std::uint32_t position) noexcept {
    std::size_t i = count_ < kSize ? count_++ : kSize - 1;
    for (; i > 0 && distances_[i - 1] > distance; --i) {
      distances_[i] = distances_[i - 1];
      positions_[i] = positions_[i - 1];
    }
    distances_[i] = distance;
    positions_[i] = position;
    if (count_ == kSize)
      SetBound(distances_[kSize - 1]);
  }

  /// Derives the limit of the product: the inverse of RendezvousDistance for the smallest stretch,
  /// rounded up.
  void SetBound(std::uint64_t bound) noexcept {
    constexpr std::uint64_t kMaxKept = std::numeric_limits<std::uint64_t>::max() >> kDroppedBits;
    bound_ = bound;
    const std::uint64_t kept = bound / routing_table::kStretchOne;
    if (kept < kMaxKept)
      limit_ = ((kept + 1) << kDroppedBits) - 1;
  }

  const routing_table::pool& pool_;
  std::uint64_t key_;
  std::uint64_t bound_ = std::numeric_limits<std::uint64_t>::max();  // Of distances.
  std::uint64_t limit_ = std::numeric_limits<std::uint64_t>::max();  // Of products.
  std::array<std::uint64_t, kSize> distances_{};
  std::array<std::uint32_t, kSize> positions_{};
  std::size_t count_ = 0;
};

/// \brief Offers all positions of a range to two lists.
///
/// Nearly all positions enter neither list. They are passed over by a loop that keeps keys and
/// limits in registers.
template <std::size_t kFirst, std::size_t kSecond>
void OfferRange(const routing_table::pool& pool,
                const routing_table::region_range& range,
                nearest<kFirst>& first,
                nearest<kSecond>& second) noexcept {
  const std::uint64_t* const multipliers = pool.multiplier.data();
  const std::uint64_t first_key = first.key();
  const std::uint64_t second_key = second.key();
  std::uint32_t i = range.begin;
  while (i < range.end) {
    const std::uint64_t first_limit = first.limit();
    const std::uint64_t second_limit = second.limit();
    while (i < range.end && multipliers[i] * first_key > first_limit &&
           multipliers[i] * second_key > second_limit) {
      ++i;
    }
    if (i == range.end)
      return;
    first.Offer(i);
    second.Offer(i);
    ++i;
  }
}

/// \brief Fills two lists with the nearest positions of a range.
template <std::size_t kFirst, std::size_t kSecond>
void FindNearest(const routing_table::pool& pool,
                 const routing_table::region_range& range,
                 nearest<kFirst>& first,
                 nearest<kSecond>& second) noexcept {
  first.Limit(range);
  second.Limit(range);
  OfferRange(pool, range, first, second);
  if (first.full() && second.full())
    return;
  first.Unlimit();
  second.Unlimit();
  OfferRange(pool, range, first, second);
}

}  // namespace quincebank
