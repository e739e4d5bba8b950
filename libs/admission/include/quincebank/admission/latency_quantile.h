#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstddef>
#include <optional>
#include <tuple>
#include <vector>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Estimates quantiles of recent latencies from a histogram of fixed size.
///
/// All bins are halved whenever their sum reaches twice the window, so that recent latencies weigh
/// more than older ones. Not thread-safe.
class latency_quantile {
 public:
  /// \param window  sum of the bins after they are halved, at least 16.
  explicit latency_quantile(std::size_t window);

  /// \brief Records a latency; values outside 1 ms to about 10 minutes are clamped.
  void Observe(milliseconds latency);
  /// \param quantile  0 to 1.
  /// \returns The upper edge of the bin that holds the quantile; nothing without observations.
  [[nodiscard]] std::optional<milliseconds> Quantile(double quantile) const;
  /// \brief Returns the number of latencies recorded since the start.
  [[nodiscard]] std::size_t samples() const noexcept { return samples_; }

 private:
  using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using storage = boost::histogram::dense_storage<double>;

  const std::size_t window_;
  boost::histogram::histogram<std::tuple<axis>, storage> histogram_;
  double total_weight_ = 0;  ///< Sum of all bins.
  std::size_t samples_ = 0;
};

}  // namespace quincebank
