#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <cstddef>
#include <string_view>

namespace quincebank {

/// Bins for each doubling of the latency; each is 19% wide.
inline constexpr int kBinsPerOctave = 4;
/// Doublings from the shortest latency, 0.5 ms, to 2097 s. Longer ones fall into an overflow bin.
inline constexpr int kOctaves = 22;
inline constexpr int kLatencyBins = kBinsPerOctave * kOctaves;
inline constexpr double kShortestLatencyMs = 0.5;
inline constexpr double kLongestLatencyMs = kShortestLatencyMs * (1U << kOctaves);
/// Names the bins in the JSON form; counts of other bins are never merged.
inline constexpr std::string_view kLatencyScheme = "log2/4 0.5ms 22";

/// \brief Axis of every latency histogram, in milliseconds.
using latency_axis =
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

[[nodiscard]] inline latency_axis MakeLatencyAxis() {
  return latency_axis(kLatencyBins, kShortestLatencyMs, kLongestLatencyMs);
}

}  // namespace quincebank
