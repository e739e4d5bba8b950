#pragma once

#include <cstddef>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Running estimates of the time for which a request occupies a slot of an upstream.
///
/// Not thread-safe.
class occupancy_estimate {
 public:
  /// \param initial  mean and 90th percentile before the first observation; the 10th percentile
  /// starts at a tenth of it.
  explicit occupancy_estimate(milliseconds initial) noexcept;

  /// \brief Records the time for which a finished request occupied its slot.
  void Observe(nanoseconds occupied) noexcept;
  [[nodiscard]] nanoseconds mean() const noexcept;
  /// \brief Returns the 10th percentile, which nine in ten requests exceed.
  [[nodiscard]] nanoseconds p10() const noexcept;
  /// \brief Returns the 90th percentile, which one in ten requests exceeds.
  [[nodiscard]] nanoseconds p90() const noexcept;
  /// \brief Returns the expected queueing time behind `ahead` requests of which `limit` run at a
  /// time; a `limit` of 0 counts as 1.
  [[nodiscard]] nanoseconds ExpectedWait(std::size_t ahead, std::size_t limit) const noexcept;

 private:
  double mean_;  ///< Nanoseconds, as are the percentiles.
  double p10_;
  double p90_;
};

}  // namespace quincebank
