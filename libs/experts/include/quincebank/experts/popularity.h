#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "quincebank/experts/expert_map.h"

namespace quincebank {

struct popularity_settings {
  double half_life_windows = 8;         ///< Of the smoothed estimate.
  double recent_half_life_windows = 2;  ///< Of the recent estimate, which confirms a change.
  double jump_deviations = 6;           ///< Deviation that counts as a jump, in mean deviations.
};

/// \brief Estimates the tokens per step of each expert from the counts of successive windows.
///
/// The smoothed estimate averages noise away. Two successive windows beyond `jump_deviations` on
/// the same side are a change, not noise; then the estimate follows at once.
class popularity_estimate {
 public:
  popularity_estimate(int layers, int experts, popularity_settings settings = {});

  /// \brief Adds the token counts of one layer in a window of `steps` steps.
  void Observe(int layer, std::span<const std::int64_t> tokens, std::int64_t steps);

  /// \brief Thousandths of a token per step, smoothed.
  [[nodiscard]] std::vector<std::int64_t> Smoothed(int layer) const;
  /// \brief Thousandths of a token per step of the latest windows.
  [[nodiscard]] std::vector<std::int64_t> Recent(int layer) const;

 private:
  struct estimate {
    double smoothed = 0;
    double recent = 0;
    double deviation = 0;  // Smoothed absolute difference between a window and `smoothed`.
    int surprises = 0;     // Successive windows beyond the threshold; negative below the estimate.
    int windows = 0;
  };

  void Observe(estimate& expert, double rate) const;

  const int experts_;
  const popularity_settings settings_;
  const double keep_;
  const double keep_recent_;
  std::vector<estimate> estimates_;
};

}  // namespace quincebank
