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

/// \brief Quantiles of recent latencies in bounded memory.
///
/// Counts are halved whenever their sum reaches twice the window, so older latencies fade.
class latency_quantile {
 public:
  explicit latency_quantile(std::size_t window);

  void Observe(milliseconds latency);
  /// \returns The upper edge of the bin that holds the quantile; nothing without observations.
  [[nodiscard]] std::optional<milliseconds> Quantile(double quantile) const;
  [[nodiscard]] std::size_t samples() const noexcept { return samples_; }

 private:
  using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using storage = boost::histogram::dense_storage<double>;

  const std::size_t window_;
  boost::histogram::histogram<std::tuple<axis>, storage> histogram_;
  double total_weight_ = 0;
  std::size_t samples_ = 0;
};

}  // namespace quincebank
