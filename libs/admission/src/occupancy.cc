#include "quincebank/admission/occupancy.h"

#include <algorithm>

namespace quincebank {
namespace {

// Weight of a new value in the moving average, which adapts to a change within a few tens of
// requests.
constexpr double kMeanWeight = 1.0 / 16;
// An estimated quantile changes by at most this share of its value per request.
constexpr double kQuantileStep = 0.05;
constexpr double kLowQuantile = 0.1;
constexpr double kHighQuantile = 0.9;
constexpr double kMinEstimateNs = 1e3;  // Multiplicative steps cannot leave 0.

/// Moves the estimate towards the value such that it converges to the given quantile.
void UpdateQuantile(double& estimate, double value, double quantile) noexcept {
  const double step = value > estimate ? quantile : quantile - 1;
  estimate = std::max(kMinEstimateNs, estimate * (1 + kQuantileStep * step));
}

nanoseconds ToNanoseconds(double value) noexcept {
  return nanoseconds(static_cast<nanoseconds::rep>(value));
}

}  // namespace

occupancy_estimate::occupancy_estimate(milliseconds initial) noexcept
    : mean_(static_cast<double>(nanoseconds(initial).count())),
      p10_(mean_ * kLowQuantile),
      p90_(mean_) {}

void occupancy_estimate::Observe(nanoseconds occupied) noexcept {
  const double value = std::max(kMinEstimateNs, static_cast<double>(occupied.count()));
  mean_ += (value - mean_) * kMeanWeight;
  UpdateQuantile(p10_, value, kLowQuantile);
  UpdateQuantile(p90_, value, kHighQuantile);
}

nanoseconds occupancy_estimate::mean() const noexcept {
  return ToNanoseconds(mean_);
}

nanoseconds occupancy_estimate::p10() const noexcept {
  return ToNanoseconds(p10_);
}

nanoseconds occupancy_estimate::p90() const noexcept {
  return ToNanoseconds(p90_);
}

nanoseconds occupancy_estimate::ExpectedWait(std::size_t ahead, std::size_t limit) const noexcept {
  const auto slots = static_cast<double>(std::max<std::size_t>(limit, 1));
  return ToNanoseconds(mean_ * static_cast<double>(ahead + 1) / slots);
}

}  // namespace quincebank
