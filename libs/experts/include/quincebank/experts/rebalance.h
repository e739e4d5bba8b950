#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/experts/expert_map.h"
#include "quincebank/experts/rank_speed.h"

namespace quincebank {

/// \brief What a change costs and when it pays.
struct rebalance_settings {
  std::int64_t expert_bytes = 88'000'000;         ///< Weights of one expert in one layer.
  nanoseconds cost_per_megabyte{2'000'000};       ///< Charged for each megabyte loaded.
  nanoseconds switch_cost{20'000'000};            ///< Charged once for a change.
  nanoseconds time_per_token{400};                ///< On a rank of nominal speed.
  std::int64_t horizon_steps = 20'000;            ///< Steps until the next expected change.
  std::int64_t min_gain_permille = 15;            ///< Least gain of step time, beyond the noise.
  std::int64_t min_steps_between_changes = 1000;  ///< Hysteresis in time.
  std::int64_t max_moves_per_layer = 24;

  [[nodiscard]] bool operator==(const rebalance_settings&) const noexcept = default;
};

/// \brief Popularity of the experts of one layer, in `kPopularityUnit` parts of a token per step.
struct layer_popularity {
  std::vector<std::int64_t> smoothed;  ///< Decides the plan.
  std::vector<std::int64_t> recent;    ///< Must confirm the gain.
  std::vector<std::int64_t> error;     ///< Standard error of `smoothed`; the gain must exceed it.

  [[nodiscard]] bool operator==(const layer_popularity&) const = default;
};

/// \brief All that a planning decision reads. Whole numbers only, so that a record is exact.
struct plan_input {
  rebalance_settings settings;
  expert_map current;                ///< No layers if the group has no map yet.
  std::vector<std::int64_t> speeds;  ///< Of each rank, in `kSpeedUnit` parts; 0 takes no load.
  /// What `speeds` were estimated from; empty if they were not.
  std::vector<speed_history> speed_histories;
  std::vector<layer_popularity> popularity;
  std::int64_t steps_since_change = 0;

  [[nodiscard]] bool operator==(const plan_input&) const = default;
};

/// \brief Why a plan keeps or changes the map.
enum class plan_reason : std::uint8_t {
  kFirstMap,      ///< The group had no map.
  kRepair,        ///< A rank that takes no load had a share of the tokens.
  kPays,          ///< The time saved exceeds the cost.
  kBalanced,      ///< The gain is below the noise threshold.
  kTooSoon,       ///< The last change is too recent.
  kDoesNotPay,    ///< The cost exceeds the time saved.
  kNotConfirmed,  ///< The recent popularity doesn't show the gain.
};

/// \brief Returns the wire form, such as `does-not-pay`.
[[nodiscard]] std::string_view ToString(plan_reason reason) noexcept;

/// \brief Result of a planning decision.
struct plan_outcome {
  plan_reason reason = plan_reason::kBalanced;
  bool change = false;
  expert_map map;  ///< The map to switch to; empty without a change.
  std::int64_t loaded_weights = 0;
  std::int64_t loaded_bytes = 0;
  nanoseconds step_before{0};  ///< Expert time of one step, the sum of all layers.
  nanoseconds step_after{0};
  nanoseconds saved{0};  ///< Until the next expected change.
  nanoseconds cost{0};

  [[nodiscard]] bool operator==(const plan_outcome&) const = default;
};

/// \brief Decides whether a group changes its map, and to which.
///
/// Each layer is searched for the few replicas whose move saves more time than its load costs.
///
/// \param shape  of the group; equal to that of `input.current` unless that has no layers.
/// \returns The decision, or an error if the sizes don't fit or the ranks can't hold all experts.
[[nodiscard]] result<plan_outcome> PlanRebalance(const group_shape& shape, const plan_input& input);

}  // namespace quincebank
