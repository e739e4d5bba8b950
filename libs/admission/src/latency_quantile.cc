#include "quincebank/admission/latency_quantile.h"

#include <algorithm>
#include <boost/histogram/make_histogram.hpp>

namespace quincebank {
namespace {

// On the logarithmic axis, each of 96 bins from 1 ms to 10 minutes is 14% wide.
constexpr unsigned kBinCount = 96;
constexpr double kMinLatencyMs = 1.0;
constexpr double kMaxLatencyMs = 600'000.0;
constexpr std::size_t kMinWindow = 16;

}  // namespace

latency_quantile::latency_quantile(std::size_t window)
    : window_(std::max(window, kMinWindow)),
      histogram_(
          boost::histogram::make_histogram_with(storage(),
                                                axis(kBinCount, kMinLatencyMs, kMaxLatencyMs))) {}

void latency_quantile::Observe(milliseconds latency) {
  const double value =
      std::clamp(static_cast<double>(latency.count()), kMinLatencyMs, kMaxLatencyMs * 0.999);
  histogram_(value);
  total_weight_ += 1;
  ++samples_;
  if (total_weight_ >= static_cast<double>(2 * window_)) {
    histogram_ *= 0.5;
    total_weight_ *= 0.5;
  }
}

std::optional<milliseconds> latency_quantile::Quantile(double quantile) const {
  if (total_weight_ <= 0)
    return std::nullopt;
  double remaining = std::clamp(quantile, 0.0, 1.0) * total_weight_;
  const auto& edges = histogram_.axis(0);
  for (int bin = 0; bin < edges.size(); ++bin) {
    remaining -= histogram_.at(bin);
    if (remaining <= 0)
      return milliseconds(static_cast<milliseconds::rep>(edges.bin(bin).upper()) + 1);
  }
  return milliseconds(static_cast<milliseconds::rep>(kMaxLatencyMs));
}

}  // namespace quincebank
