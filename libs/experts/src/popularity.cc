#include "quincebank/experts/popularity.h"

#include <algorithm>
#include <cmath>

namespace quincebank {
namespace {

std::int64_t ToUnits(double tokens) {
  return std::llround(tokens * kPopularityUnit);
}

}  // namespace

popularity_estimate::popularity_estimate(int layers, int experts, popularity_settings settings)
    : experts_(experts),
      settings_(settings),
      keep_(std::exp2(-1 / settings.half_life_windows)),
      keep_recent_(std::exp2(-1 / settings.recent_half_life_windows)),
      estimates_(static_cast<std::size_t>(layers) * static_cast<std::size_t>(experts)) {}

void popularity_estimate::Observe(int layer,
                                  std::span<const std::int64_t> tokens,
                                  std::int64_t steps) {
  if (steps <= 0)
    return;
  const auto first = static_cast<std::size_t>(layer) * static_cast<std::size_t>(experts_);
  for (std::size_t e = 0; e < tokens.size(); ++e)
    Observe(estimates_[first + e], static_cast<double>(tokens[e]) / static_cast<double>(steps));
}

void popularity_estimate::Observe(estimate& expert, double rate) const {
  if (expert.windows++ == 0) {
    expert.smoothed = expert.recent = rate;
    return;
  }
  const double difference = rate - expert.smoothed;
  // The first windows weigh equally, so that the estimate doesn't lean on the very first one.
  const double keep = std::min(keep_, 1 - (1.0 / expert.windows));
  const double keep_recent = std::min(keep_recent_, 1 - (1.0 / expert.windows));
  const bool known = static_cast<double>(expert.windows) > settings_.half_life_windows;
  if (known && std::abs(difference) > settings_.jump_deviations * expert.deviation) {
    const int side = difference > 0 ? 1 : -1;
    expert.surprises = expert.surprises * side > 0 ? expert.surprises + side : side;
  } else {
    expert.surprises = 0;
    expert.deviation = (keep * expert.deviation) + ((1 - keep) * std::abs(difference));
  }
  if (std::abs(expert.surprises) >= 2) {
    expert.smoothed = expert.recent = rate;
    expert.surprises = 0;
    return;
  }
  expert.smoothed += (1 - keep) * difference;
  expert.recent += (1 - keep_recent) * (rate - expert.recent);
}

std::vector<std::int64_t> popularity_estimate::Smoothed(int layer) const {
  std::vector<std::int64_t> units;
  units.reserve(static_cast<std::size_t>(experts_));
  const auto first = static_cast<std::size_t>(layer) * static_cast<std::size_t>(experts_);
  for (int e = 0; e < experts_; ++e)
    units.push_back(ToUnits(estimates_[first + static_cast<std::size_t>(e)].smoothed));
  return units;
}

std::vector<std::int64_t> popularity_estimate::Recent(int layer) const {
  std::vector<std::int64_t> units;
  units.reserve(static_cast<std::size_t>(experts_));
  const auto first = static_cast<std::size_t>(layer) * static_cast<std::size_t>(experts_);
  for (int e = 0; e < experts_; ++e)
    units.push_back(ToUnits(estimates_[first + static_cast<std::size_t>(e)].recent));
  return units;
}

}  // namespace quincebank
