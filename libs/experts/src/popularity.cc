#include "quincebank/experts/popularity.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace quincebank {
namespace {

// Ratio of bias to noise at which the estimate starts to follow faster, and at which it is fastest.
// Under noise alone the ratio stays below the first value in 49 of 50 windows.
constexpr double kTrendStart = 0.6;
constexpr double kTrendFull = 1.6;
// Standard deviation of a normal variable with a mean absolute deviation of 1.
constexpr double kDeviationToSigma = 1.2533;

double Alpha(double half_life_windows) {
  return 1 - std::exp2(-1 / half_life_windows);
}

}  // namespace

popularity_estimate::popularity_estimate(int layers, int experts, popularity_settings settings)
    : experts_(experts),
      settings_(settings),
      alpha_(Alpha(settings.half_life_windows)),
      alpha_recent_(Alpha(settings.recent_half_life_windows)),
      alpha_fast_(Alpha(settings.fast_half_life_windows)),
      estimates_(static_cast<std::size_t>(layers) * static_cast<std::size_t>(experts)) {}

void popularity_estimate::Observe(int layer,
                                  std::span<const std::int64_t> tokens,
                                  std::int64_t steps) {
  if (steps <= 0)
    return;
  const auto first = static_cast<std::size_t>(layer) * static_cast<std::size_t>(experts_);
  for (std::size_t e = 0; e < tokens.size(); ++e) {
    if (tokens[e] < 0)
      continue;
    Observe(estimates_[first + e], static_cast<double>(tokens[e]) / static_cast<double>(steps));
  }
}

void popularity_estimate::Observe(estimate& expert, double rate) const {
  if (expert.windows++ == 0) {
    expert.smoothed = expert.recent = expert.last = rate;
    return;
  }
  // The first windows weigh equally, so that the estimate doesn't lean on the very first one.
  const double equal = 1.0 / expert.windows;
  const double slow = std::max(alpha_, equal);
  const double difference = rate - expert.smoothed;
  const bool known = static_cast<double>(expert.windows) > settings_.half_life_windows;
  if (known && std::abs(difference) > settings_.jump_deviations * expert.noise) {
    const int side = difference > 0 ? 1 : -1;
    expert.surprises = expert.surprises * side > 0 ? expert.surprises + side : side;
  } else {
    expert.surprises = 0;
    const double deviation = std::abs(rate - expert.last) / std::numbers::sqrt2;
    expert.noise += slow * (deviation - expert.noise);
  }
  expert.last = rate;
  if (std::abs(expert.surprises) >= 2) {
    expert.smoothed = expert.recent = rate;
    expert.bias = 0;
    expert.alpha = 1;
    expert.surprises = 0;
    expert.windows = 1;
    return;
  }
  // A single surprise may be an outlier; it must not look like a trend.
  if (expert.surprises == 0)
    expert.bias += slow * (difference - expert.bias);
  const double ratio = std::abs(expert.bias) / std::max(expert.noise, 1e-9);
  const double trend = std::clamp((ratio - kTrendStart) / (kTrendFull - kTrendStart), 0.0, 1.0);
  expert.alpha = slow + (std::max(alpha_fast_, slow) - slow) * trend;
  expert.smoothed += expert.alpha * difference;
  expert.recent += std::max(alpha_recent_, equal) * (rate - expert.recent);
}

bool popularity_estimate::expects_jump() const noexcept {
  return std::any_of(estimates_.begin(), estimates_.end(),
                     [](const estimate& expert) { return expert.surprises != 0; });
}

template <typename Read>
std::vector<std::int64_t> popularity_estimate::Units(int layer, const Read& read) const {
  std::vector<std::int64_t> units;
  units.reserve(static_cast<std::size_t>(experts_));
  const auto first = static_cast<std::size_t>(layer) * static_cast<std::size_t>(experts_);
  for (std::size_t e = 0; e < static_cast<std::size_t>(experts_); ++e)
    units.push_back(std::llround(read(estimates_[first + e]) * kPopularityUnit));
  return units;
}

std::vector<std::int64_t> popularity_estimate::Smoothed(int layer) const {
  return Units(layer, [](const estimate& expert) { return expert.smoothed; });
}

std::vector<std::int64_t> popularity_estimate::Recent(int layer) const {
  return Units(layer, [](const estimate& expert) { return expert.recent; });
}

std::vector<std::int64_t> popularity_estimate::StandardError(int layer) const {
  return Units(layer, [](const estimate& expert) {
    return kDeviationToSigma * expert.noise * std::sqrt(expert.alpha / (2 - expert.alpha));
  });
}

}  // namespace quincebank
