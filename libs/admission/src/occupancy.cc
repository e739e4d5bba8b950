#include "quincebank/admission/occupancy.h"

#include <algorithm>

namespace quincebank {
namespace {

// The mean follows a change within a few tens of requests.
constexpr double kMeanStep = 1.0 / 16;
// A quantile moves by at most this share of itself per request.
constexpr double kQuantileStep = 0.05;
constexpr double kLow = 0.1;
constexpr double kHigh = 0.9;
constexpr double kShortest = 1e3;  // nanoseconds; keeps the multiplicative steps away from 0

void Follow(double& estimate, double value, double quantile) noexcept {
  const double step = value > estimate ? quantile : quantile - 1;
  estimate = std::max(kShortest, estimate * (1 + kQuantileStep * step));
}

nanoseconds FromDouble(double value) noexcept {
  return nanoseconds(static_cast<nanoseconds::rep>(value));
}

}  // namespace

occupancy_estimate::occupancy_estimate(milliseconds initial) noexcept
    : mean_(static_cast<double>(nanoseconds(initial).count())), low_(mean_ * kLow), high_(mean_) {}

void occupancy_estimate::Observe(nanoseconds occupied) noexcept {
  const double value = std::max(kShortest, static_cast<double>(occupied.count()));
  mean_ += (value - mean_) * kMeanStep;
  Follow(low_, value, kLow);
  Follow(high_, value, kHigh);
}

nanoseconds occupancy_estimate::mean() const noexcept {
  return FromDouble(mean_);
}

nanoseconds occupancy_estimate::low() const noexcept {
  return FromDouble(low_);
}

nanoseconds occupancy_estimate::high() const noexcept {
  return FromDouble(high_);
}

nanoseconds occupancy_estimate::Wait(std::size_t ahead, std::size_t limit) const noexcept {
  const auto slots = static_cast<double>(std::max<std::size_t>(limit, 1));
  return FromDouble(mean_ * static_cast<double>(ahead + 1) / slots);
}

}  // namespace quincebank
