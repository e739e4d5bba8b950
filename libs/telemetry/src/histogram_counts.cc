#include "quincebank/telemetry/histogram_counts.h"

#include <algorithm>
#include <boost/histogram/make_histogram.hpp>
#include <chrono>
#include <string_view>

#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

namespace json = boost::json;

// A thousand years; larger sums are damaged data.
constexpr double kLargestSumMs = 3e13;

double ToMillis(nanoseconds latency) noexcept {
  return std::chrono::duration<double, std::milli>(latency).count();
}

}  // namespace

histogram_counts::histogram_counts()
    : histogram_(boost::histogram::make_histogram_with(storage(), MakeLatencyAxis())) {}

void histogram_counts::Add(nanoseconds latency) {
  histogram_(ToMillis(latency));
  sum_ms_ += ToMillis(latency);
}

void histogram_counts::AddToBin(int bin, std::uint64_t count) {
  histogram_.at(std::clamp(bin, -1, kLatencyBins)) += count;
}

void histogram_counts::Merge(const histogram_counts& other) {
  histogram_ += other.histogram_;
  sum_ms_ += other.sum_ms_;
}

std::uint64_t histogram_counts::total() const {
  return UpTo(kLatencyBins);
}

std::uint64_t histogram_counts::InBin(int bin) const {
  return histogram_.at(std::clamp(bin, -1, kLatencyBins));
}

std::uint64_t histogram_counts::UpTo(int bin) const {
  std::uint64_t sum = 0;
  for (int i = -1; i <= std::min(bin, kLatencyBins); ++i)
    sum += histogram_.at(i);
  return sum;
}

std::uint64_t histogram_counts::Above(nanoseconds threshold) const {
  const int bin = histogram_.axis(0).index(ToMillis(threshold));
  return total() - UpTo(bin - 1);
}

std::optional<double> histogram_counts::QuantileMs(double quantile) const {
  const std::uint64_t all = total();
  if (all == 0)
    return std::nullopt;
  const double wanted = std::clamp(quantile, 0.0, 1.0) * static_cast<double>(all);
  std::uint64_t sum = 0;
  for (int bin = -1; bin < kLatencyBins; ++bin) {
    sum += histogram_.at(bin);
    if (sum > 0 && static_cast<double>(sum) >= wanted)
      return bin < 0 ? kShortestLatencyMs : histogram_.axis(0).bin(bin).upper();
  }
  return kLongestLatencyMs;
}

json::object histogram_counts::ToJson() const {
  json::object counts;
  for (int bin = -1; bin <= kLatencyBins; ++bin) {
    const std::uint64_t count = histogram_.at(bin);
    if (count > 0)
      counts.emplace(std::to_string(bin), count);
  }
  return {{"bins", kLatencyScheme}, {"counts", std::move(counts)}, {"sum_ms", sum_ms_}};
}

histogram_counts histogram_counts::FromJson(json_reader& reader) {
  histogram_counts result;
  if (reader.String("bins") != kLatencyScheme)
    reader.Fail("bins", "expected the scheme " + std::string(kLatencyScheme));
  result.sum_ms_ = reader.Number("sum_ms", 0, kLargestSumMs, 0);
  reader.Child("counts", [&](json_reader& counts) {
    for (int bin = -1; bin <= kLatencyBins; ++bin) {
      const std::string key = std::to_string(bin);
      if (counts.Has(key))
        result.AddToBin(bin, static_cast<std::uint64_t>(counts.Int(key, {})));
    }
    counts.Finish();
  });
  return result;
}

}  // namespace quincebank
