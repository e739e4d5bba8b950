#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "quincebank/routing/choose.h"

namespace quincebank {

/// \brief What all candidates of one decision share, computed once.
class weigher {
 public:
  explicit weigher(const route_input& input) noexcept;

  /// \brief Computes load, score and exclusion of one upstream.
  [[nodiscard]] route_candidate Weigh(std::uint32_t index,
                                      std::uint32_t cached_blocks,
                                      candidate_source source) const noexcept;
  [[nodiscard]] bool Tried(std::uint32_t index) const noexcept {
    for (const upstream_key key : input_.request.tried) {
      if (key == input_.table->key(index))
        return true;
    }
    return false;
  }
  [[nodiscard]] upstream_load LoadOf(std::uint32_t index) const noexcept {
    return index < input_.loads.size() ? input_.loads[index] : upstream_load{};
  }
  [[nodiscard]] std::uint32_t prefix_blocks() const noexcept { return prefix_blocks_; }
  [[nodiscard]] std::uint16_t region() const noexcept { return region_; }

 private:
  /// Tried upstreams whose failure domains are remembered; retries are fewer than that.
  static constexpr std::size_t kMaxTriedDomains = 4;

  [[nodiscard]] bool SharesTriedDomain(std::uint32_t index) const noexcept;

  const route_input& input_;
  std::uint32_t prefix_blocks_;
  std::uint16_t region_;
  std::uint16_t failure_domain_;
  std::uint64_t queue_percent_;
  std::int64_t deadline_us_;
  std::size_t tried_domains_ = 0;
  std::array<std::uint16_t, kMaxTriedDomains> tried_domain_{};
};

/// \brief Adds a candidate unless the decision has it already; keeps the better estimate of the
/// cached blocks. When the list is full, the candidate replaces an excluded one or else the one
/// with the highest score.
void Keep(route_decision& decision, const route_candidate& candidate) noexcept;

/// \brief Sets the chosen index to the candidate with the lowest score that is not excluded.
///
/// \returns Whether there is one.
bool PickLowest(route_decision& decision) noexcept;

/// \brief Says why a service's pool has no upstream for the request.
[[nodiscard]] error NoPoolError(const route_input& input);

/// \brief Number of upstreams for each value of `exclusion`.
using exclusion_counts = std::array<std::size_t, 7>;
/// \brief Says why no upstream of a pool can be chosen.
[[nodiscard]] error ExcludedError(const route_input& input, const exclusion_counts& counts);
/// \brief The error for a pool whose upstreams were all tried.
[[nodiscard]] error AllTriedError(const route_input& input, const routing_table::pool& pool);

/// \brief Policy `quincebank`.
[[nodiscard]] result<route_decision> ChooseByScore(const route_input& input);
/// \brief Policy `round-robin`.
[[nodiscard]] result<route_decision> ChooseByTurn(const route_input& input);
/// \brief Policy `least-loaded`: the lowest load by the last hint, without own corrections.
[[nodiscard]] result<route_decision> ChooseLeastLoaded(const route_input& input);
/// \brief Policy `two-random`: the lower load by the last hint of two drawn upstreams.
[[nodiscard]] result<route_decision> ChooseOfTwo(const route_input& input);

}  // namespace quincebank
