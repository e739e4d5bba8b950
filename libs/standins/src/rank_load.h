#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "quincebank/base/random.h"

namespace quincebank {

/// Parts of an expert's tokens, as in the maps.
inline constexpr std::int64_t kShareParts = 1 << 15;

/// \brief Part of each expert's tokens that one rank handles, by layer, in `kShareParts`.
using rank_shares = std::vector<std::vector<std::int64_t>>;

/// \brief Reads the shares of a rank from the JSON form of a map.
/// \returns Nothing if the map doesn't fit the group.
[[nodiscard]] std::optional<rank_shares> ReadShares(const boost::json::value& map,
                                                    std::size_t rank,
                                                    std::size_t ranks,
                                                    std::size_t layers,
                                                    std::size_t experts);

/// \brief Shares of a rank before the first map: expert `e` is at rank `e % ranks`.
[[nodiscard]] rank_shares FirstShares(std::size_t rank,
                                      std::size_t ranks,
                                      std::size_t layers,
                                      std::size_t experts);

/// \brief What one rank has handled since the start, and how long that took.
class rank_load {
 public:
  rank_load(std::size_t layers, std::size_t experts, std::uint64_t seed);

  /// \param tokens          of the whole group for each layer and expert, in this step.
  /// \param speed_permille  speed of the rank.
  void AddStep(const rank_shares& shares,
               const std::vector<std::vector<std::int64_t>>& tokens,
               std::int64_t speed_permille);
  /// \brief Lets the last step take longer than its load explains.
  void Stall(std::int64_t ns) noexcept { busy_ns_ += ns; }

  /// \brief Tokens handled, for each layer and expert.
  [[nodiscard]] std::vector<std::vector<std::int64_t>> Tokens() const;
  [[nodiscard]] std::int64_t handled() const noexcept { return handled_parts_ / kShareParts; }
  [[nodiscard]] std::int64_t busy_ns() const noexcept { return busy_ns_; }

 private:
  std::vector<std::vector<std::int64_t>> parts_;  // Tokens times `kShareParts`.
  std::int64_t handled_parts_ = 0;
  std::int64_t busy_ns_ = 0;
  random_source random_;
};

}  // namespace quincebank
