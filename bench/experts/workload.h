#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "quincebank/experts/expert_map.h"

namespace quincebank::bench {

/// \brief How the popularity of experts changes over the windows.
enum class drift : std::uint8_t { kSteady, kNoisy, kSeasonal, kMenuChange, kHotExpert };

[[nodiscard]] std::string_view ToString(drift kind) noexcept;

/// \brief Counts that one window of steps brings.
struct window_counts {
  std::vector<std::vector<std::int64_t>> tokens;  ///< Of each layer and expert.
};

/// \brief Makes the token counts of all windows of one scenario from a seed.
class workload {
 public:
  static constexpr std::int64_t kStepsPerWindow = 1'000;
  static constexpr int kWindows = 160;
  static constexpr int kWarmUp = 16;          ///< Windows that no statistic counts.
  static constexpr int kTokensPerRank = 512;  ///< Routed in each step and layer.

  workload(drift kind, const group_shape& shape, std::uint64_t seed);

  [[nodiscard]] window_counts Window(int index);

 private:
  [[nodiscard]] double Factor(int window, int layer, int expert) const;

  const drift kind_;
  const group_shape shape_;
  const std::uint64_t seed_;
  std::vector<std::vector<double>> base_;     // Before a change.
  std::vector<std::vector<double>> changed_;  // After a menu change.
};

/// \brief Speeds in `kSpeedUnit` parts: between 0.92 and 1.08, and one straggler at 0.7.
[[nodiscard]] std::vector<std::int64_t> MakeSpeeds(int ranks, std::uint64_t seed);

}  // namespace quincebank::bench
