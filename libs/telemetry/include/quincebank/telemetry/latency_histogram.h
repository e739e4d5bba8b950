#pragma once

#include <atomic>
#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <tuple>

#include "quincebank/base/time.h"
#include "quincebank/telemetry/histogram_counts.h"
#include "quincebank/telemetry/latency_axis.h"

namespace quincebank {

/// \brief Latency histogram that several threads fill at once. Each `Record` is two atomic adds.
class latency_histogram {
 public:
  latency_histogram();
  latency_histogram(const latency_histogram&) = delete;
  latency_histogram& operator=(const latency_histogram&) = delete;

  void Record(nanoseconds latency) noexcept;
  [[nodiscard]] histogram_counts Counts() const;
  /// \brief Sets all counts to 0. What is recorded meanwhile may be lost.
  void Reset() noexcept;

 private:
  using bin_count = boost::histogram::accumulators::count<std::uint64_t, true>;
  using storage = boost::histogram::dense_storage<bin_count>;

  boost::histogram::histogram<std::tuple<latency_axis>, storage> histogram_;
  std::atomic<std::uint64_t> sum_us_{0};
};

}  // namespace quincebank
