#pragma once

#include <cstddef>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Running estimates of how long a request occupies a slot.
class occupancy_estimate {
 public:
  explicit occupancy_estimate(milliseconds initial) noexcept;

  void Observe(nanoseconds occupied) noexcept;
  [[nodiscard]] nanoseconds mean() const noexcept;
  /// \brief Time that nine in ten requests exceed.
  [[nodiscard]] nanoseconds p10() const noexcept;
  /// \brief Time that one in ten requests exceeds.
  [[nodiscard]] nanoseconds p90() const noexcept;
  /// \brief Expected wait behind `ahead` requests that are served `limit` at a time.
  [[nodiscard]] nanoseconds ExpectedWait(std::size_t ahead, std::size_t limit) const noexcept;

 private:
  double mean_;
  double p10_;
  double p90_;
};

}  // namespace quincebank
