#include "quincebank/telemetry/latency_histogram.h"

#include <boost/histogram/make_histogram.hpp>
#include <chrono>

namespace quincebank {

latency_histogram::latency_histogram()
    : histogram_(boost::histogram::make_histogram_with(storage(), MakeLatencyAxis())) {}

void latency_histogram::Record(nanoseconds latency) noexcept {
  histogram_(std::chrono::duration<double, std::milli>(latency).count());
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(latency).count();
  sum_us_.fetch_add(static_cast<std::uint64_t>(micros), std::memory_order_relaxed);
}

histogram_counts latency_histogram::Counts() const {
  histogram_counts counts;
  for (int bin = -1; bin <= kLatencyBins; ++bin) {
    const std::uint64_t count = histogram_.at(bin).value();
    if (count > 0)
      counts.AddToBin(bin, count);
  }
  counts.AddSum(static_cast<double>(sum_us_.load(std::memory_order_relaxed)) / 1000.0);
  return counts;
}

void latency_histogram::Reset() noexcept {
  histogram_.reset();
  sum_us_.store(0, std::memory_order_relaxed);
}

}  // namespace quincebank
