#pragma once

#include <cstddef>
#include <cstdint>

namespace quincebank::bench {

struct space_result {
  std::size_t claims = 0;
  double bytes = 0;   ///< Names and values of all buckets, at the end.
  double reads = 0;   ///< Of the sweeper, per second of virtual time, over the last hour.
  double writes = 0;  ///< As above; swaps and erasures.
};

/// \brief Fills the buckets of a day with claims, and sweeps as an entry does.
///
/// \param reduce  whether old claims are reduced.
[[nodiscard]] space_result MeasureSpace(std::uint64_t orders_per_second,
                                        bool reduce,
                                        std::uint64_t seed);

}  // namespace quincebank::bench
