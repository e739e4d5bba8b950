#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "quincebank/experts/expert_map.h"

namespace quincebank {

struct popularity_settings {
  double half_life_windows = 8;         ///< Of the smoothed estimate.
  double recent_half_life_windows = 2;  ///< Of the recent estimate, which confirms a change.
  double fast_half_life_windows = 1;    ///< Of the smoothed estimate while it lags behind a trend.
  double jump_deviations = 6;           ///< Deviation that counts as a jump, in mean deviations.
};

/// \brief Estimates the tokens per step of each expert from the counts of successive windows.
///
/// The smoothed estimate averages noise away. It follows faster while its error keeps one sign,
/// which is a trend and not noise. Two successive windows beyond `jump_deviations` on the same side
/// are a sudden change; then the estimate restarts. Noise is measured between successive windows,
/// where a trend hardly shows.
class popularity_estimate {
 public:
  popularity_estimate(int layers, int experts, popularity_settings settings = {});

  /// \brief Adds the token counts of one layer in a window of `steps` steps.
  /// \param tokens  of each expert; a negative count means that the window told nothing of it.
  void Observe(int layer, std::span<const std::int64_t> tokens, std::int64_t steps);

  /// \brief Thousandths of a token per step, smoothed.
  [[nodiscard]] std::vector<std::int64_t> Smoothed(int layer) const;
  /// \brief Thousandths of a token per step of the latest windows.
  [[nodiscard]] std::vector<std::int64_t> Recent(int layer) const;
  /// \brief Standard error of the smoothed estimate, in thousandths of a token per step.
  [[nodiscard]] std::vector<std::int64_t> StandardError(int layer) const;
  /// \brief Returns whether an expert's last window may begin a sudden change, which the next one
  /// will tell. A plan made now would rest on an estimate halfway between.
  [[nodiscard]] bool expects_jump() const noexcept;

 private:
  struct estimate {
    double smoothed = 0;
    double recent = 0;
    double last = 0;    // Rate of the last window.
    double noise = 0;   // Smoothed absolute deviation of a window, from successive differences.
    double bias = 0;    // Smoothed difference between a window and `smoothed`.
    double alpha = 1;   // Weight that `smoothed` gave the last window.
    int surprises = 0;  // Successive windows beyond the threshold; negative below the estimate.
    int windows = 0;
  };

  void Observe(estimate& expert, double rate) const;

  template <typename Read>
  [[nodiscard]] std::vector<std::int64_t> Units(int layer, const Read& read) const;

  const int experts_;
  const popularity_settings settings_;
  const double alpha_;
  const double alpha_recent_;
  const double alpha_fast_;
  std::vector<estimate> estimates_;
};

}  // namespace quincebank
