#include "straggler_table.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <numeric>
#include <string_view>
#include <vector>

#include "quincebank/base/random.h"
#include "quincebank/experts/load_split.h"
#include "quincebank/experts/popularity.h"
#include "quincebank/experts/rank_speed.h"
#include "quincebank/experts/rebalance.h"
#include "workload.h"

namespace quincebank::bench {
namespace {

constexpr std::array<std::uint64_t, 3> kSeeds{20261204, 1, 2};
constexpr double kMissingPart = 0.05;  // Reports that are lost.
constexpr int kStallEvery = 7;         // Windows between two stalled steps of some rank.
constexpr double kStallTime = 3;       // Added to that rank's window, in windows.

enum class knowledge : std::uint8_t { kEqual, kEstimated, kKnown };
constexpr std::array<std::string_view, 3> kNames{"equal", "estimated", "known"};

struct straggler_case {
  std::string_view name;
  double speed = 1;          // Of the straggler while it is slow; 1 for none.
  double time_noise = 0.03;  // Standard deviation of a rank's time in a window.
  double fixed_part = 0;     // Of the mean step time, that doesn't depend on the load.
  bool equal_speeds = false;
};

constexpr std::array<straggler_case, 6> kCases{{{"straggler 0.5", 0.5},
                                                {"straggler 0.8", 0.8},
                                                {"0.8, 30% fixed", 0.8, 0.03, 0.3},
                                                {"no straggler", 1},
                                                {"equal, noise 3%", 1, 0.03, 0, true},
                                                {"equal, noise 10%", 1, 0.10, 0, true}}};

struct summary {
  std::vector<double> slow;    // Peak divided by the mean, in windows with the straggler.
  std::vector<double> normal;  // In the other windows.
  int changes = 0;
  std::int64_t loaded = 0;
  int waits = 0;  // Windows from a change of speed until max/mean is within 5% of the usual.
  int turns = 0;
};

/// The straggler is slow in two spells of different length.
bool IsSlow(int window) {
  return (window >= 40 && window < 80) || (window >= 100 && window < 115);
}

double Normal(random_source& random) {
  double sum = -6;
  for (int i = 0; i < 12; ++i)
    sum += random.Unit();
  return sum;
}

double Mean(const std::vector<double>& values) {
  return values.empty() ? 0
                        : std::accumulate(values.begin(), values.end(), 0.0) /
                              static_cast<double>(values.size());
}

double Largest(const std::vector<double>& values) {
  return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

class run {
 public:
  run(const straggler_case& scenario, knowledge known, const group_shape& shape, std::uint64_t seed)
      : scenario_(scenario),
        known_(known),
        shape_(shape),
        load_(drift::kSteady, shape, seed),
        random_(seed + 99),
        popularity_(shape.layers, shape.experts),
        histories_(static_cast<std::size_t>(shape.ranks)) {
    speeds_.assign(static_cast<std::size_t>(shape.ranks), kSpeedUnit);
    if (!scenario.equal_speeds)
      speeds_ = MakeSpeeds(shape.ranks, seed);
    speeds_[Straggler()] = kSpeedUnit;
    input_.settings.horizon_steps = 32 * workload::kStepsPerWindow;
  }

  void Window(int index, summary& total) {
    const window_counts window = load_.Window(index);
    const std::vector<std::int64_t> speeds = Speeds(index);
    if (index >= workload::kWarmUp) {
      const double skew = Measure(window, speeds);
      (IsSlow(index) ? total.slow : total.normal).push_back(skew);
      const bool turned = IsSlow(index) != IsSlow(index - 1);
      total.turns += turned ? 1 : 0;
      waiting_ = waiting_ || turned;
      waiting_ = waiting_ && skew > 1.07;
      total.waits += waiting_ ? 1 : 0;
    }
    input_.popularity.clear();
    for (int layer = 0; layer < shape_.layers; ++layer) {
      popularity_.Observe(layer, window.tokens[layer], workload::kStepsPerWindow);
      input_.popularity.push_back({popularity_.Smoothed(layer), popularity_.Recent(layer),
                                   popularity_.StandardError(layer)});
    }
    if (index >= workload::kWarmUp - 1)
      Plan(speeds, total);
  }

 private:
  [[nodiscard]] std::size_t Straggler() const { return static_cast<std::size_t>(shape_.ranks) / 3; }

  [[nodiscard]] std::vector<std::int64_t> Speeds(int window) const {
    std::vector<std::int64_t> speeds = speeds_;
    if (IsSlow(window))
      speeds[Straggler()] = static_cast<std::int64_t>(kSpeedUnit * scenario_.speed);
    return speeds;
  }

  /// Returns the largest time of a rank divided by the mean, and adds the reported times.
  double Measure(const window_counts& window, const std::vector<std::int64_t>& speeds) {
    const std::vector<double> unused(speeds.size(), 1);
    const load_splitter splitter(shape_, unused);
    std::vector<double> levels(speeds.size(), 0);
    std::vector<double> loads(speeds.size(), 0);
    double peak = 0;
    double all = 0;
    for (std::size_t layer = 0; layer < map_.layers.size(); ++layer) {
      std::vector<double> rates;
      for (const std::int64_t count : window.tokens[layer])
        rates.push_back(static_cast<double>(count) / workload::kStepsPerWindow);
      layer_load split;
      splitter.StartFrom(split, map_.layers[layer], rates);
      double highest = 0;
      for (std::size_t rank = 0; rank < speeds.size(); ++rank) {
        const double level = split.ranks[rank] * kSpeedUnit / static_cast<double>(speeds[rank]);
        loads[rank] += split.ranks[rank];
        levels[rank] += level;
        highest = std::max(highest, level);
        all += split.ranks[rank];
      }
      peak += highest;
    }
    const double speed_sum =
        static_cast<double>(std::accumulate(speeds.begin(), speeds.end(), std::int64_t{0})) /
        kSpeedUnit;
    const double mean = all / speed_sum;
    AddTimes(loads, levels, mean);
    return peak / mean;
  }

  void AddTimes(const std::vector<double>& loads, const std::vector<double>& levels, double mean) {
    const std::size_t stalled = ++windows_ % kStallEvery == 0
                                    ? random_.Below(static_cast<std::uint64_t>(shape_.ranks))
                                    : loads.size();
    std::vector<rank_time> times(loads.size());
    for (std::size_t rank = 0; rank < loads.size(); ++rank) {
      const double noise = 1 + (scenario_.time_noise * Normal(random_));
      const double stall = rank == stalled ? kStallTime * mean : 0;
      const double busy = ((levels[rank] + (scenario_.fixed_part * mean)) * noise) + stall;
      if (random_.Unit() < kMissingPart)
        continue;
      times[rank] = {static_cast<std::int64_t>(busy * 1e5),
                     static_cast<std::int64_t>(loads[rank] * 1e3)};
    }
    AddSamples(histories_, MeasureSpeeds(times));
  }

  void Plan(const std::vector<std::int64_t>& speeds, summary& total) {
    switch (known_) {
      case knowledge::kEqual:
        input_.speeds.assign(speeds.size(), kSpeedUnit);
        break;
      case knowledge::kEstimated:
        input_.speeds = EstimateSpeeds(histories_);
        break;
      case knowledge::kKnown:
        input_.speeds = speeds;
        break;
    }
    input_.current = map_;
    input_.steps_since_change += workload::kStepsPerWindow;
    const auto plan = PlanRebalance(shape_, input_);
    if (!plan.has_value()) {
      std::fprintf(stderr, "%s\n", plan.error().message.c_str());
      std::exit(1);
    }
    if (!plan.value().change)
      return;
    if (!map_.layers.empty()) {
      ++total.changes;
      total.loaded += plan.value().loaded_weights;
    }
    map_ = plan.value().map;
    input_.steps_since_change = 0;
  }

  const straggler_case scenario_;
  const knowledge known_;
  const group_shape shape_;
  workload load_;
  random_source random_;
  popularity_estimate popularity_;
  std::vector<speed_history> histories_;
  std::vector<std::int64_t> speeds_;
  plan_input input_;
  expert_map map_;
  bool waiting_ = false;
  int windows_ = 0;
};

}  // namespace

void PrintStragglerTable(int layers) {
  const double gigabytes = static_cast<double>(rebalance_settings{}.expert_bytes) / 1e9;
  std::printf(
      "Compares estimated speeds with equal and known ones. Steady popularity, %d layers, 256 "
      "experts a layer, 25%% spare slots, %d windows of %lld steps, %zu seeds.\nOther ranks run at "
      "0.92 to 1.08, or at 1 in \"equal\". One rank is slow in windows 40 to 79 and 100 to 114.\n"
      "Every %dth window one rank stalls for %.0f windows; %.0f%% of the reports are lost. "
      "\"Known\" has the speeds of the last window.\n\"Wait\": windows after a change of speed "
      "until "
      "max/mean is at most 1.07, mean of all turns.\n",
      layers, workload::kWindows, static_cast<long long>(workload::kStepsPerWindow), kSeeds.size(),
      kStallEvery, kStallTime, kMissingPart * 100);
  std::printf("%-17s %5s  %-10s %9s %9s %11s %8s %8s %9s\n", "case", "ranks", "speeds", "slow mean",
              "slow max", "normal mean", "wait", "changes", "GB moved");
  for (const int ranks : {8, 16, 32}) {
    const group_shape shape{layers, ranks, 256, 320 / ranks};
    for (const straggler_case& scenario : kCases) {
      for (const knowledge known : {knowledge::kEqual, knowledge::kEstimated, knowledge::kKnown}) {
        summary total;
        for (const std::uint64_t seed : kSeeds) {
          run one(scenario, known, shape, seed);
          for (int index = 0; index < workload::kWindows; ++index)
            one.Window(index, total);
        }
        const double runs = kSeeds.size();
        std::printf("%-17s %5d  %-10s %9.3f %9.3f %11.3f %8.1f %8.1f %9.2f\n", scenario.name.data(),
                    ranks, kNames.at(static_cast<std::size_t>(known)).data(), Mean(total.slow),
                    Largest(total.slow), Mean(total.normal),
                    static_cast<double>(total.waits) / std::max(1, total.turns),
                    total.changes / runs, static_cast<double>(total.loaded) * gigabytes / runs);
      }
    }
  }
}

}  // namespace quincebank::bench
