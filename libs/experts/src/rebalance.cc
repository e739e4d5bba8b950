#include "quincebank/experts/rebalance.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "quincebank/experts/layer_search.h"
#include "quincebank/experts/placement.h"

namespace quincebank {
namespace {

constexpr int kSplitSweeps = 60;
constexpr double kSplitTolerance = 1e-4;
// Levels within this part of the lower bound aren't improved further.
constexpr double kGoodEnough = 1.005;
// The recent popularity must show this part of the predicted gain.
constexpr double kConfirmedPart = 0.5;
// Noise of a rank's level that a gain must exceed, in standard errors. The peak is the largest of
// up to 32 ranks, and the largest of 32 normal variables lies about two deviations above the mean.
constexpr double kNoiseErrors = 3;

std::vector<double> ToDouble(const std::vector<std::int64_t>& units, int unit) {
  std::vector<double> values(units.size());
  std::transform(units.begin(), units.end(), values.begin(),
                 [unit](std::int64_t value) { return static_cast<double>(value) / unit; });
  return values;
}

/// Searches the layers of one decision and adds up what the change brings.
class planner {
 public:
  planner(const group_shape& shape, const plan_input& input)
      : shape_(shape),
        input_(input),
        splitter_(shape, ToDouble(input.speeds, kSpeedUnit)),
        search_(splitter_) {}

  plan_outcome FirstMap() {
    plan_outcome outcome;
    outcome.map.shape = shape_;
    for (const layer_popularity& popularity : input_.popularity) {
      const auto loads = ToDouble(popularity.smoothed, kPopularityUnit);
      layer_load layer = PlaceLayer(splitter_, loads);
      splitter_.Improve(layer, loads, kSplitSweeps, kSplitTolerance);
      // All weights are loaded anyway, so moves are free.
      const layer_change change = search_.Run(std::move(layer), loads, Limits(loads, 0));
      outcome.map.layers.push_back(splitter_.ToMap(change.layer, loads));
      after_ += change.level;
    }
    outcome.loaded_weights = static_cast<std::int64_t>(shape_.layers) * shape_.slots();
    outcome.reason = plan_reason::kFirstMap;
    outcome.change = true;
    Finish(outcome);
    return outcome;
  }

  plan_outcome Next() {
    plan_outcome outcome;
    outcome.map.shape = shape_;
    for (std::size_t layer = 0; layer < input_.popularity.size(); ++layer)
      PlanLayer(layer, outcome);
    Finish(outcome);
    outcome.reason = Judge(outcome);
    outcome.change = outcome.reason == plan_reason::kPays || outcome.reason == plan_reason::kRepair;
    if (!outcome.change)
      outcome.map = {};
    return outcome;
  }

 private:
  [[nodiscard]] nanoseconds Time(double level) const {
    return nanoseconds(
        std::llround(level * static_cast<double>(input_.settings.time_per_token.count())));
  }

  [[nodiscard]] nanoseconds WeightCost() const {
    return nanoseconds(input_.settings.expert_bytes / 1'000 *
                       input_.settings.cost_per_megabyte.count() / 1'000);
  }

  [[nodiscard]] search_limits Limits(const std::vector<double>& loads, double cost) const {
    return {static_cast<int>(input_.settings.max_moves_per_layer), cost,
            kGoodEnough * LowerBound(shape_, loads, splitter_.speeds())};
  }

  /// Gives each expert without a replica on a rank that takes load a slot of a spare replica.
  void Repair(layer_load& layer) const {
    std::vector<int> live(static_cast<std::size_t>(shape_.experts), 0);
    for (int slot = 0; slot < shape_.slots(); ++slot)
      live[layer.experts[slot]] += splitter_.speeds()[shape_.RankOf(slot)] > 0 ? 1 : 0;
    for (int expert = 0; expert < shape_.experts; ++expert) {
      if (live[expert] > 0)
        continue;
      int victim = -1;
      for (int slot = 0; slot < shape_.slots(); ++slot) {
        if (splitter_.speeds()[shape_.RankOf(slot)] <= 0 || live[layer.experts[slot]] < 2)
          continue;
        if (victim < 0 || layer.amounts[slot] < layer.amounts[victim])
          victim = slot;
      }
      --live[layer.experts[victim]];
      layer.experts[victim] = static_cast<expert_index>(expert);
      live[expert] = 1;
    }
  }

  /// Returns whether a rank that takes no load has a share of the tokens.
  [[nodiscard]] bool SendsToIdleRank(const layer_map& map) const {
    for (int slot = 0; slot < shape_.slots(); ++slot) {
      if (map.shares[slot] > 0 && splitter_.speeds()[shape_.RankOf(slot)] <= 0)
        return true;
    }
    return false;
  }

  void PlanLayer(std::size_t index, plan_outcome& outcome) {
    const layer_map& held = input_.current.layers[index];
    const auto loads = ToDouble(input_.popularity[index].smoothed, kPopularityUnit);
    const auto recent = ToDouble(input_.popularity[index].recent, kPopularityUnit);
    const double cost = static_cast<double>(WeightCost().count()) /
                        (static_cast<double>(input_.settings.horizon_steps) *
                         static_cast<double>(input_.settings.time_per_token.count()));
    layer_load layer;
    splitter_.StartFrom(layer, held, loads);
    const double before = splitter_.Peak(layer).level;
    if (SendsToIdleRank(held)) {
      must_change_ = true;
      Repair(layer);
      splitter_.Start(layer, loads);
    }
    splitter_.Improve(layer, loads, kSplitSweeps, kSplitTolerance);
    const layer_change change = search_.Run(std::move(layer), loads, Limits(loads, cost));
    layer_map next = splitter_.ToMap(change.layer, loads);
    outcome.loaded_weights += CountLoadedWeights(shape_, held.experts, next.experts);
    layer_load check;
    splitter_.StartFrom(check, held, recent);
    recent_before_ += splitter_.Peak(check).level;
    splitter_.StartFrom(check, next, recent);
    recent_after_ += splitter_.Peak(check).level;
    before_ += before;
    noise_ += LevelError(held, ToDouble(input_.popularity[index].error, kPopularityUnit));
    after_ += change.level;
    outcome.map.layers.push_back(std::move(next));
  }

  /// Largest standard error of a rank's level under a map.
  [[nodiscard]] double LevelError(const layer_map& map, const std::vector<double>& errors) const {
    std::vector<double> variances(static_cast<std::size_t>(shape_.ranks), 0);
    for (int slot = 0; slot < shape_.slots(); ++slot) {
      const double part = errors[map.experts[slot]] * map.shares[slot] / kShareUnit;
      variances[shape_.RankOf(slot)] += part * part;
    }
    double largest = 0;
    for (int rank = 0; rank < shape_.ranks; ++rank) {
      const double speed = splitter_.speeds()[rank];
      if (speed > 0)
        largest = std::max(largest, std::sqrt(variances[rank]) / speed);
    }
    return largest;
  }

  void Finish(plan_outcome& outcome) const {
    outcome.loaded_bytes = outcome.loaded_weights * input_.settings.expert_bytes;
    outcome.step_before = Time(before_);
    outcome.step_after = Time(after_);
    outcome.saved = (outcome.step_before - outcome.step_after) * input_.settings.horizon_steps;
    outcome.cost = WeightCost() * outcome.loaded_weights + input_.settings.switch_cost;
  }

  [[nodiscard]] plan_reason Judge(const plan_outcome& outcome) const {
    if (must_change_)
      return plan_reason::kRepair;
    const double gain = before_ - after_;
    const double least = before_ * static_cast<double>(input_.settings.min_gain_permille) / 1000;
    if (gain < least + (kNoiseErrors * noise_))
      return plan_reason::kBalanced;
    if (input_.steps_since_change < input_.settings.min_steps_between_changes)
      return plan_reason::kTooSoon;
    if (outcome.saved <= outcome.cost)
      return plan_reason::kDoesNotPay;
    if (recent_before_ - recent_after_ < kConfirmedPart * gain)
      return plan_reason::kNotConfirmed;
    return plan_reason::kPays;
  }

  const group_shape& shape_;
  const plan_input& input_;
  load_splitter splitter_;
  layer_search search_;
  bool must_change_ = false;
  double before_ = 0;  // Sums of the levels of all layers.
  double after_ = 0;
  double noise_ = 0;
  double recent_before_ = 0;
  double recent_after_ = 0;
};

error Invalid(std::string path, std::string message) {
  return {error_code::kInvalidArgument, std::move(message), verdict::kNotRun, std::move(path)};
}

result<void> CheckInput(const group_shape& shape, const plan_input& input) {
  if (shape.layers <= 0 || shape.ranks <= 0 || shape.experts <= 0 || shape.slots_per_rank <= 0)
    return Invalid("/shape", "all dimensions must be positive");
  if (shape.slots_per_rank > shape.experts)
    return Invalid("/shape/slots_per_rank", "a rank can't hold more slots than there are experts");
  if (input.speeds.size() != static_cast<std::size_t>(shape.ranks))
    return Invalid("/speeds", "expected one speed for each rank");
  if (std::any_of(input.speeds.begin(), input.speeds.end(), [](auto speed) { return speed < 0; }))
    return Invalid("/speeds", "a speed can't be negative");
  const auto usable = std::count_if(input.speeds.begin(), input.speeds.end(),
                                    [](std::int64_t speed) { return speed > 0; });
  if (usable * shape.slots_per_rank < shape.experts)
    return Invalid("/speeds", "the ranks that take load can't hold all experts");
  if (input.popularity.size() != static_cast<std::size_t>(shape.layers))
    return Invalid("/popularity", "expected one entry for each layer");
  const auto experts = static_cast<std::size_t>(shape.experts);
  for (std::size_t i = 0; i < input.popularity.size(); ++i) {
    const layer_popularity& layer = input.popularity[i];
    const std::string path = "/popularity/" + std::to_string(i);
    if (layer.smoothed.size() != experts || layer.recent.size() != experts ||
        layer.error.size() != experts)
      return Invalid(path, "expected one value for each expert");
    const auto negative = [](std::int64_t value) { return value < 0; };
    if (std::any_of(layer.smoothed.begin(), layer.smoothed.end(), negative) ||
        std::any_of(layer.recent.begin(), layer.recent.end(), negative) ||
        std::any_of(layer.error.begin(), layer.error.end(), negative))
      return Invalid(path, "a popularity can't be negative");
  }
  if (input.settings.horizon_steps <= 0 || input.settings.time_per_token.count() <= 0)
    return Invalid("/settings", "horizon_steps and time_per_token must be positive");
  if (input.current.layers.empty())
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  if (!(input.current.shape == shape) || !IsComplete(input.current))
    return Invalid("/current", "the map doesn't fit the group");
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace

std::string_view ToString(plan_reason reason) noexcept {
  switch (reason) {
    case plan_reason::kFirstMap:
      return "first-map";
    case plan_reason::kRepair:
      return "repair";
    case plan_reason::kPays:
      return "pays";
    case plan_reason::kBalanced:
      return "balanced";
    case plan_reason::kTooSoon:
      return "too-soon";
    case plan_reason::kDoesNotPay:
      return "does-not-pay";
    case plan_reason::kNotConfirmed:
      return "not-confirmed";
  }
  return "unknown";
}

result<plan_outcome> PlanRebalance(const group_shape& shape, const plan_input& input) {
  BOOST_OUTCOME_TRYV(CheckInput(shape, input));
  planner decision(shape, input);
  return input.current.layers.empty() ? decision.FirstMap() : decision.Next();
}

}  // namespace quincebank
