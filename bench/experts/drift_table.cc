#include "drift_table.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <numeric>
#include <string>
#include <vector>

#include "policies.h"
#include "quincebank/experts/placement.h"
#include "quincebank/experts/popularity.h"
#include "workload.h"

namespace quincebank::bench {
namespace {

constexpr std::uint64_t kSeed = 20261204;

struct summary {
  std::vector<double> to_mean;   // Peak of a layer divided by its mean, for each window.
  std::vector<double> to_bound;  // Peak divided by the lower bound of that window.
  int changes = 0;
  std::int64_t loaded = 0;
};

double Mean(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

double Quantile(std::vector<double> values, double q) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

std::vector<double> Rates(const std::vector<std::int64_t>& tokens) {
  std::vector<double> rates;
  rates.reserve(tokens.size());
  for (const std::int64_t count : tokens)
    rates.push_back(static_cast<double>(count) / workload::kStepsPerWindow);
  return rates;
}

/// Sums over layers, since a step passes through all layers one after the other.
void Measure(const expert_map& map,
             const window_counts& window,
             const std::vector<double>& speeds,
             summary& total) {
  const load_splitter splitter(map.shape, speeds);
  const double speed = std::accumulate(speeds.begin(), speeds.end(), 0.0);
  double peak = 0;
  double mean = 0;
  double bound = 0;
  for (std::size_t layer = 0; layer < map.layers.size(); ++layer) {
    const auto rates = Rates(window.tokens[layer]);
    layer_load load;
    splitter.StartFrom(load, map.layers[layer], rates);
    peak += splitter.Peak(load).level;
    mean += std::accumulate(rates.begin(), rates.end(), 0.0) / speed;
    bound += LowerBound(map.shape, rates, speeds);
  }
  total.to_mean.push_back(peak / mean);
  total.to_bound.push_back(peak / bound);
}

summary Run(drift kind, const group_shape& shape, policy& choice) {
  const auto speeds = MakeSpeeds(shape.ranks, kSeed);
  std::vector<double> speed_factors;
  speed_factors.reserve(speeds.size());
  for (const std::int64_t speed : speeds)
    speed_factors.push_back(static_cast<double>(speed) / kSpeedUnit);
  workload load(kind, shape, kSeed);
  popularity_estimate popularity(shape.layers, shape.experts);
  summary total;
  plan_input input;
  input.speeds = speeds;
  // The next change is expected after a third of the season.
  input.settings.horizon_steps = 32 * workload::kStepsPerWindow;
  for (int index = 0; index < workload::kWindows; ++index) {
    const window_counts window = load.Window(index);
    const bool counted = index >= workload::kWarmUp;
    if (counted)
      Measure(choice.map(), window, speed_factors, total);
    input.popularity.clear();
    for (int layer = 0; layer < shape.layers; ++layer) {
      popularity.Observe(layer, window.tokens[layer], workload::kStepsPerWindow);
      input.popularity.push_back(
          {popularity.Smoothed(layer), popularity.Recent(layer), popularity.StandardError(layer)});
    }
    if (index < workload::kWarmUp - 1)
      continue;
    input.current = choice.map();
    input.steps_since_change += workload::kStepsPerWindow;
    if (input.current.layers.empty()) {
      // All policies start from the same map.
      choice.Adopt(PlanRebalance(shape, input).value().map);
      continue;
    }
    const policy_step step = choice.Update(input);
    if (!step.changed)
      continue;
    input.steps_since_change = 0;
    ++total.changes;
    total.loaded += step.loaded_weights;
  }
  return total;
}

}  // namespace

void PrintDriftTable(int layers) {
  const double gigabytes = static_cast<double>(rebalance_settings{}.expert_bytes) / 1e9;
  std::printf(
      "Compares the policies with the lower bound max(mean, hottest expert on its largest "
      "number of replicas).\n%d layers, 256 experts a layer, 25%% spare slots, one straggler "
      "at 0.7, %d windows of %lld steps, seed %llu.\n"
      "\"%% of f.o.t.\": bytes moved as a part of those of \"full on trigger\".\n",
      layers, workload::kWindows, static_cast<long long>(workload::kStepsPerWindow),
      static_cast<unsigned long long>(kSeed));
  std::printf("%-15s %5s  %-18s %9s %11s %11s %8s %9s %11s\n", "scenario", "ranks", "policy",
              "max/mean", "bound mean", "bound p95", "changes", "GB moved", "% of f.o.t.");
  for (const int ranks : {8, 16, 32}) {
    const group_shape shape{layers, ranks, 256, 320 / ranks};
    for (const drift kind :
         {drift::kSteady, drift::kNoisy, drift::kSeasonal, drift::kMenuChange, drift::kHotExpert}) {
      std::int64_t full = 0;
      for (const auto& choice : MakePolicies()) {
        const summary total = Run(kind, shape, *choice);
        if (choice->name() == "full on trigger")
          full = total.loaded;
        const double part =
            full > 0 ? 100 * static_cast<double>(total.loaded) / static_cast<double>(full) : 0;
        std::printf("%-15s %5d  %-18s %9.3f %11.3f %11.3f %8d %9.1f %11.2f\n",
                    std::string(ToString(kind)).c_str(), ranks, std::string(choice->name()).c_str(),
                    Mean(total.to_mean), Mean(total.to_bound), Quantile(total.to_bound, 0.95),
                    total.changes, static_cast<double>(total.loaded) * gigabytes, part);
      }
    }
  }
}

}  // namespace quincebank::bench
