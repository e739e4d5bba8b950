#include "policies.h"

#include <cstdlib>
#include <iostream>
#include <utility>

#include "quincebank/experts/placement.h"

namespace quincebank::bench {
namespace {

constexpr int kSweeps = 60;
constexpr double kTolerance = 1e-4;

std::vector<double> ToDouble(const std::vector<std::int64_t>& units, int unit) {
  std::vector<double> values;
  values.reserve(units.size());
  for (const std::int64_t value : units)
    values.push_back(static_cast<double>(value) / unit);
  return values;
}

class static_policy : public policy {
 public:
  [[nodiscard]] std::string_view name() const override { return "static"; }
  policy_step Update(const plan_input& /*input*/) override { return {}; }
};

/// Keeps the weights where they are and adapts only the shares.
class split_policy : public policy {
 public:
  [[nodiscard]] std::string_view name() const override { return "static, new split"; }
  policy_step Update(const plan_input& input) override {
    load_splitter splitter(map_.shape, ToDouble(input.speeds, kSpeedUnit));
    for (std::size_t i = 0; i < map_.layers.size(); ++i) {
      const auto loads = ToDouble(input.popularity[i].smoothed, kPopularityUnit);
      layer_load layer;
      splitter.StartFrom(layer, map_.layers[i], loads);
      splitter.Improve(layer, loads, kSweeps, kTolerance);
      map_.layers[i] = splitter.ToMap(layer, loads);
    }
    return {true, 0};
  }
};

plan_outcome Plan(const expert_map& map, const plan_input& input) {
  auto plan = PlanRebalance(map.shape, input);
  if (!plan.has_value()) {
    std::cerr << Describe(plan.error()) << '\n';
    std::exit(1);
  }
  return std::move(plan).value();
}

/// Places everything anew after each window.
class full_policy : public policy {
 public:
  [[nodiscard]] std::string_view name() const override { return "full each window"; }
  policy_step Update(const plan_input& input) override {
    load_splitter splitter(map_.shape, ToDouble(input.speeds, kSpeedUnit));
    policy_step step{true, 0};
    for (std::size_t i = 0; i < map_.layers.size(); ++i) {
      const auto loads = ToDouble(input.popularity[i].smoothed, kPopularityUnit);
      layer_load layer = PlaceLayer(splitter, loads);
      splitter.Improve(layer, loads, kSweeps, kTolerance);
      layer_map next = splitter.ToMap(layer, loads);
      step.loaded_weights += CountLoadedWeights(map_.shape, map_.layers[i].experts, next.experts);
      map_.layers[i] = std::move(next);
    }
    return step;
  }
};

/// Places everything anew, but only when the incremental planner would change the map.
class triggered_full_policy : public full_policy {
 public:
  [[nodiscard]] std::string_view name() const override { return "full on trigger"; }
  policy_step Update(const plan_input& input) override {
    return Plan(map_, input).change ? full_policy::Update(input) : policy_step{};
  }
};

class incremental_policy : public policy {
 public:
  [[nodiscard]] std::string_view name() const override { return "incremental"; }
  policy_step Update(const plan_input& input) override {
    plan_outcome plan = Plan(map_, input);
    if (!plan.change)
      return {};
    map_ = std::move(plan.map);
    return {true, plan.loaded_weights};
  }
};

/// The incremental planner with a tenth of the cost per byte.
class cheap_incremental_policy : public incremental_policy {
 public:
  [[nodiscard]] std::string_view name() const override { return "incr., cost/10"; }
  policy_step Update(const plan_input& input) override {
    plan_input cheap = input;
    cheap.settings.cost_per_megabyte /= 10;
    return incremental_policy::Update(cheap);
  }
};

}  // namespace

std::vector<std::unique_ptr<policy>> MakePolicies() {
  std::vector<std::unique_ptr<policy>> policies;
  policies.push_back(std::make_unique<static_policy>());
  policies.push_back(std::make_unique<split_policy>());
  policies.push_back(std::make_unique<full_policy>());
  policies.push_back(std::make_unique<triggered_full_policy>());
  policies.push_back(std::make_unique<cheap_incremental_policy>());
  policies.push_back(std::make_unique<incremental_policy>());
  return policies;
}

}  // namespace quincebank::bench
