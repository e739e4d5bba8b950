#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "quincebank/experts/expert_map.h"

namespace quincebank {

/// \brief Time that a rank spent on its own part of the steps of a window, and the tokens that its
/// experts handled in them. Zero tokens or no time means no report.
struct rank_time {
  std::int64_t busy_ns = 0;
  std::int64_t tokens = 0;
};

/// \brief Returns the speed of each rank in one window, in `kSpeedUnit` parts of the median rank's.
///
/// Relative speeds don't change with what slows all ranks alike, such as longer prompts. A rank
/// without a report gets 0.
[[nodiscard]] std::vector<std::int64_t> MeasureSpeeds(std::span<const rank_time> times);

/// \brief What the estimate of one rank's speed rests on; goes into the decision record.
struct speed_history {
  std::vector<std::int64_t> samples;  ///< Since the last jump, the oldest first.
  std::int64_t before = kSpeedUnit;   ///< Estimate before the last sample.
  std::int64_t missed = 0;            ///< Windows without a report since the last sample.
  std::int64_t noise = 8'000;         ///< Standard deviation of a sample, in hundredths of it.
  std::int64_t group_noise = 0;       ///< Median noise of the ranks; noise can't be less.
  bool after_jump = false;            ///< The first sample is the first one after a jump.

  [[nodiscard]] bool operator==(const speed_history&) const = default;
};

/// \brief Adds the speeds of all ranks measured in one window; 0 if a rank gave no report.
///
/// Two outliers in five windows don't count. A lasting jump drops the older samples, so that a new
/// straggler, or one that has recovered, is seen after three windows.
void AddSamples(std::span<speed_history> histories, std::span<const std::int64_t> samples);

/// \brief Returns the estimated speed in `kSpeedUnit` parts.
///
/// Keeps the estimate before unless the samples differ from it by more than their noise. After a
/// jump the estimate is taken from three samples and made more exact twice.
[[nodiscard]] std::int64_t EstimateSpeed(const speed_history& history);

/// \brief Returns the estimated speeds of all ranks.
[[nodiscard]] std::vector<std::int64_t> EstimateSpeeds(std::span<const speed_history> histories);

}  // namespace quincebank
