#pragma once

#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/telemetry/latency_axis.h"

namespace quincebank {

class json_reader;

/// \brief Counts of a latency histogram at one moment. Merging two adds their counts.
class histogram_counts {
 public:
  histogram_counts();

  void Add(nanoseconds latency);
  /// \brief Adds a count to one bin; -1 is the underflow bin, `kLatencyBins` the overflow bin.
  void AddToBin(int bin, std::uint64_t count);
  void AddSum(double milliseconds) noexcept { sum_ms_ += milliseconds; }
  void Merge(const histogram_counts& other);

  [[nodiscard]] std::uint64_t total() const;
  [[nodiscard]] double sum_ms() const noexcept { return sum_ms_; }
  [[nodiscard]] std::uint64_t InBin(int bin) const;
  /// \brief Counts latencies up to the upper edge of a bin.
  [[nodiscard]] std::uint64_t UpTo(int bin) const;
  /// \brief Counts latencies above the threshold. Those in the bin that holds the threshold count
  /// as above it, so the result is never too low.
  [[nodiscard]] std::uint64_t Above(nanoseconds threshold) const;
  /// \returns The upper edge in milliseconds of the bin that holds the quantile; nothing if empty.
  [[nodiscard]] std::optional<double> QuantileMs(double quantile) const;

  /// \brief Returns the sparse form `{"bins":"...","counts":{"<bin>":N},"sum_ms":N}`.
  [[nodiscard]] boost::json::object ToJson() const;
  /// \brief Reads what `ToJson` wrote; errors go to the reader.
  [[nodiscard]] static histogram_counts FromJson(json_reader& reader);

 private:
  using storage = boost::histogram::dense_storage<std::uint64_t>;

  boost::histogram::histogram<std::tuple<latency_axis>, storage> histogram_;
  double sum_ms_ = 0;
};

}  // namespace quincebank
