#include "counts_table.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <numeric>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "quincebank/base/random.h"
#include "quincebank/experts/count_budget.h"
#include "quincebank/experts/count_report.h"
#include "quincebank/experts/load_split.h"
#include "quincebank/experts/popularity.h"
#include "quincebank/experts/rebalance.h"
#include "workload.h"

namespace quincebank::bench {
namespace {

constexpr std::array<std::uint64_t, 3> kSeeds{20261204, 1, 2};
constexpr int kRanks = 32;
constexpr int kExperts = 256;
constexpr int kSlots = 10;
constexpr int kStepsPerSecond = 20;
constexpr double kWorkloadWindowSeconds =
    static_cast<double>(workload::kStepsPerWindow) / kStepsPerSecond;
/// Reports of the ways that count the batch, which has many more counters.
constexpr std::int64_t kBatchReportBytes = 384;
constexpr double kTextBytes = 4.0 / 3;
constexpr double kOldBytesPerCount = 8;
constexpr int kHotWorkloadWindow = 60;  // As in the workload.
constexpr int kRateSteps = 1'000;
constexpr int kMaxDeferrals = 2;
constexpr double kEven = 1.1;
constexpr double kHotPart = 0.06;   // As in the workload.
constexpr double kShortest = 1e-6;  // Seconds; below the rounding errors of the clock.

enum class way : std::uint8_t { kAllCounts, kBatch, kRotation, kChanges, kBoth };

struct way_case {
  way kind;
  std::string_view name;
  double changed_part;
};
constexpr std::array<way_case, 5> kWays{{{way::kAllCounts, "all, batch", 0},
                                         {way::kBatch, "both, batch", 0.5},
                                         {way::kRotation, "rotation", 0},
                                         {way::kChanges, "changes first", 1},
                                         {way::kBoth, "both", 0.5}}};

double Normal(random_source& random) {
  double sum = -6;
  for (int i = 0; i < 12; ++i)
    sum += random.Unit();
  return sum;
}

struct summary {
  double bytes = 0;
  double seconds = 0;
  std::vector<double> errors;  // Of the smoothed estimate, weighted by the rates.
  std::vector<double> seen;    // Seconds until a hot expert shows, for each layer.
  std::vector<double> one;     // The same with a hot expert in one layer only.
  std::vector<double> mapped;  // Seconds until a changed map.
  std::vector<double> even;    // Seconds until max/mean of the step is at most `kEven`.
  int changes = 0;             // Before the hot experts.
};

enum class happening : std::uint8_t { kHotInAllLayers, kHotInOneLayer, kSwing };

/// All ranks and their coordinator in one scenario.
class run {
 public:
  run(const way_case& how, happening what, int layers, std::uint64_t seed)
      : how_(how),
        event_(what),
        kind_(DriftOf(what)),
        shape_{layers, kRanks, kExperts, kSlots},
        load_(kind_, shape_, seed),
        random_(seed + 5),
        popularity_(layers, kExperts),
        counters_(static_cast<std::size_t>(layers) * kExperts),
        readings_(kRanks) {
    input_.settings.horizon_steps = 32 * workload::kStepsPerWindow;
    input_.speeds.assign(kRanks, kSpeedUnit);
    for (int rank = 0; rank < kRanks; ++rank) {
      readings_[rank].tokens.assign(counters_, 0);
      encoders_.emplace_back(static_cast<std::uint64_t>(rank) + 1, how.changed_part);
      readers_.emplace_back(99, counters_);
    }
    sum_.assign(counters_, 0);
  }

  /// \param skip  seconds before the statistics begin.
  void Run(double begin, double end, double skip, summary& total) {
    const double window = WindowSeconds();
    const double hot = kHotWorkloadWindow * kWorkloadWindowSeconds;
    std::vector<bool> shown(static_cast<std::size_t>(shape_.layers),
                            event_ != happening::kHotInAllLayers);
    if (event_ == happening::kHotInOneLayer)
      shown[HotLayer()] = false;
    bool mapped = event_ != happening::kHotInAllLayers;
    bool even = mapped;
    FirstMap(begin);
    // The hot experts begin within a window, at another moment for each seed.
    double now = begin - (window * random_.Unit());
    while (now < end) {
      CountUntil(now, now + window);
      now += window;
      Collect(total, window);
      if (now < begin + skip)
        continue;
      if (now < hot || event_ == happening::kSwing)
        total.errors.push_back(Error());
      for (int layer = 0; layer < shape_.layers; ++layer) {
        if (shown[layer] || now < hot || Estimate(layer, layer) < rates_[layer][layer] / 2)
          continue;
        shown[layer] = true;
        (event_ == happening::kHotInOneLayer ? total.one : total.seen).push_back(now - hot);
      }
      if (!even && now >= hot && Skew() <= kEven) {
        even = true;
        total.even.push_back(now - hot);
      }
      if (!Plan())
        continue;
      if (now < hot || event_ == happening::kSwing)
        ++total.changes;
      if (now >= hot && !mapped) {
        mapped = true;
        total.mapped.push_back(now - hot);
      }
    }
  }

  [[nodiscard]] double WindowSeconds() const {
    const double counts = static_cast<double>(kRanks) * static_cast<double>(counters_);
    if (how_.kind == way::kAllCounts)
      return std::max(1.0, counts * kOldBytesPerCount / kCountBytesPerSecond);
    if (how_.kind == way::kBatch)
      return kRanks * (kCountCallBytes + (kBatchReportBytes * kTextBytes)) / kCountBytesPerSecond;
    return std::chrono::duration<double>(BudgetFor(shape_).window).count();
  }

 private:
  [[nodiscard]] static drift DriftOf(happening what) {
    if (what == happening::kSwing)
      return drift::kSeasonal;
    return what == happening::kHotInAllLayers ? drift::kHotExpert : drift::kSteady;
  }

  [[nodiscard]] std::size_t HotLayer() const { return static_cast<std::size_t>(shape_.layers) / 2; }

  [[nodiscard]] std::int64_t ReportBytes() const {
    return how_.kind == way::kBatch ? kBatchReportBytes : BudgetFor(shape_).report_bytes;
  }

  void SetRates(double now) {
    const int index = std::max(0, static_cast<int>(now / kWorkloadWindowSeconds));
    if (index == window_)
      return;
    window_ = index;
    const window_counts counts = load_.Window(index);
    rates_.clear();
    for (const std::vector<std::int64_t>& layer : counts.tokens) {
      std::vector<double>& rates = rates_.emplace_back();
      for (const std::int64_t count : layer)
        rates.push_back(static_cast<double>(count) / workload::kStepsPerWindow);
    }
    if (event_ != happening::kHotInOneLayer || index < kHotWorkloadWindow)
      return;
    std::vector<double>& layer = rates_[HotLayer()];
    layer[HotLayer()] = kHotPart * std::accumulate(layer.begin(), layer.end(), 0.0);
  }

  /// Made of the mean of several windows, since a single one is noisy.
  void FirstMap(double begin) {
    constexpr int kWindows = 16;
    std::vector<std::vector<double>> sums(static_cast<std::size_t>(shape_.layers),
                                          std::vector<double>(kExperts, 0));
    for (int i = 0; i < kWindows; ++i) {
      SetRates(kind_ != drift::kSeasonal ? i * kWorkloadWindowSeconds : begin);
      for (int layer = 0; layer < shape_.layers; ++layer) {
        for (int expert = 0; expert < kExperts; ++expert)
          sums[layer][expert] += rates_[layer][expert] / kWindows;
      }
    }
    input_.popularity.clear();
    for (const std::vector<double>& layer : sums) {
      layer_popularity popularity;
      for (const double rate : layer)
        popularity.smoothed.push_back(std::llround(rate * kPopularityUnit));
      popularity.recent = popularity.smoothed;
      popularity.error.assign(popularity.smoothed.size(), 0);
      input_.popularity.push_back(std::move(popularity));
    }
    input_.current = PlanRebalance(shape_, input_).value().map;
  }

  /// Adds the tokens of one window; the rates may change within it.
  void CountUntil(double from, double to) {
    while (from < to - kShortest) {
      const double next =
          (std::floor((from + kShortest) / kWorkloadWindowSeconds) + 1) * kWorkloadWindowSeconds;
      const double part = std::min(to, next);
      SetRates(from + kShortest);
      Count(part - from);
      from = part;
    }
  }

  /// Adds tokens with the noise of counting.
  void Count(double seconds) {
    const double exact = (seconds * kStepsPerSecond) + step_rest_;
    const double steps = std::floor(exact);
    step_rest_ = exact - steps;
    const auto draw = [&](double mean) {
      return std::max<std::int64_t>(0, std::llround(mean + (std::sqrt(mean) * Normal(random_))));
    };
    steps_ += static_cast<std::uint64_t>(steps);
    for (count_reading& reading : readings_)
      reading.steps = steps_;
    for (int layer = 0; layer < shape_.layers; ++layer) {
      const auto first = static_cast<std::size_t>(layer) * kExperts;
      for (int expert = 0; expert < kExperts && how_.kind == way::kAllCounts; ++expert)
        sum_[first + expert] += draw(rates_[layer][expert] * steps);
      for (int expert = 0; expert < kExperts && how_.kind == way::kBatch; ++expert) {
        for (count_reading& reading : readings_)
          reading.tokens[first + expert] += draw(rates_[layer][expert] * steps / kRanks);
      }
      if (how_.kind == way::kAllCounts || how_.kind == way::kBatch)
        continue;
      const layer_map& map = input_.current.layers[layer];
      for (int slot = 0; slot < shape_.slots(); ++slot) {
        const expert_index expert = map.experts[slot];
        readings_[shape_.RankOf(slot)].tokens[first + expert] +=
            draw(rates_[layer][expert] * steps * map.shares[slot] / kShareUnit);
      }
    }
  }

  /// One poll of all ranks, and what the coordinator makes of it.
  void Collect(summary& total, double seconds) {
    total.seconds += seconds;
    std::vector<std::vector<std::int64_t>> tokens(static_cast<std::size_t>(shape_.layers),
                                                  std::vector<std::int64_t>(kExperts, -1));
    auto steps = static_cast<std::int64_t>(std::max<std::uint64_t>(1, steps_ - read_at_));
    read_at_ = steps_;
    if (how_.kind == way::kAllCounts) {
      total.bytes += static_cast<double>(kRanks * counters_) * kOldBytesPerCount;
      for (std::size_t i = 0; i < counters_; ++i)
        tokens[i / kExperts][i % kExperts] = std::exchange(sum_[i], 0);
      complete_ = true;
    } else {
      steps = kRateSteps;
      Poll(total);
      complete_ = std::all_of(readers_.begin(), readers_.end(),
                              [](const count_reader& reader) { return reader.complete(); });
      for (std::size_t i = 0; i < counters_; ++i) {
        double rate = 0;
        bool told = false;
        for (const count_reader& reader : readers_) {
          rate += reader.rates()[i];
          told = told || (reader.fresh()[i] && reader.rates()[i] > 0);
        }
        if (told || rate <= 0)
          tokens[i / kExperts][i % kExperts] = std::llround(rate * kRateSteps);
      }
    }
    latest_ = tokens;
    latest_steps_ = steps;
    if (!complete_)
      return;
    ++windows_;
    for (int layer = 0; layer < shape_.layers; ++layer)
      popularity_.Observe(layer, tokens[layer], steps);
  }

  void Poll(summary& total) {
    for (int rank = 0; rank < kRanks; ++rank) {
      readings_[rank].epoch = epoch_;
      const count_report report = encoders_[rank].Next(readings_[rank], readers_[rank].receipt(),
                                                       static_cast<std::size_t>(ReportBytes()));
      const std::string bytes = EncodeReport(report);
      total.bytes += kCountCallBytes + (static_cast<double>(bytes.size()) * kTextBytes);
      (void)readers_[rank].Take(DecodeReport(bytes, counters_).value());
    }
  }

  [[nodiscard]] double Estimate(int layer, int expert) const {
    const std::int64_t told = latest_[layer][expert];
    return told < 0 ? 0 : static_cast<double>(told) / static_cast<double>(latest_steps_);
  }

  /// Of the smoothed popularity against the true rates of the moment.
  [[nodiscard]] double Error() const {
    double error = 0;
    double all = 0;
    for (int layer = 0; layer < shape_.layers; ++layer) {
      const auto smoothed = popularity_.Smoothed(layer);
      for (int expert = 0; expert < kExperts; ++expert) {
        const double rate = rates_[layer][expert];
        error += std::abs((static_cast<double>(smoothed[expert]) / kPopularityUnit) - rate);
        all += rate;
      }
    }
    return error / all;
  }

  /// Largest load of a rank divided by the mean, under the map in use, summed over the layers.
  [[nodiscard]] double Skew() const {
    const std::vector<double> speeds(kRanks, 1);
    const load_splitter splitter(shape_, speeds);
    double peak = 0;
    double mean = 0;
    for (int layer = 0; layer < shape_.layers; ++layer) {
      layer_load load;
      splitter.StartFrom(load, input_.current.layers[layer], rates_[layer]);
      peak += splitter.Peak(load).level;
      mean += std::accumulate(rates_[layer].begin(), rates_[layer].end(), 0.0) / kRanks;
    }
    return peak / mean;
  }

  bool Plan() {
    input_.steps_since_change =
        static_cast<std::int64_t>(steps_) - static_cast<std::int64_t>(changed_at_);
    if (!complete_ || windows_ < 3)
      return false;
    // As the coordinator does.
    if (popularity_.expects_jump() && deferrals_ < kMaxDeferrals) {
      ++deferrals_;
      return false;
    }
    deferrals_ = 0;
    input_.popularity.clear();
    for (int layer = 0; layer < shape_.layers; ++layer) {
      input_.popularity.push_back({popularity_.Smoothed(layer), popularity_.Recent(layer),
                                   popularity_.StandardError(layer)});
    }
    auto plan = PlanRebalance(shape_, input_);
    if (!plan.has_value()) {
      std::fprintf(stderr, "%s\n", plan.error().message.c_str());
      std::exit(1);
    }
    if (!plan.value().change)
      return false;
    input_.current = std::move(plan.value().map);
    changed_at_ = steps_;
    ++epoch_;
    return true;
  }

  const way_case how_;
  const happening event_;
  const drift kind_;
  const group_shape shape_;
  workload load_;
  random_source random_;
  popularity_estimate popularity_;
  const std::size_t counters_;
  std::vector<count_reading> readings_;
  std::vector<count_encoder> encoders_;
  std::vector<count_reader> readers_;
  std::vector<std::int64_t> sum_;
  std::vector<std::vector<double>> rates_;
  std::vector<std::vector<std::int64_t>> latest_;
  std::int64_t latest_steps_ = 1;
  plan_input input_;
  int window_ = -1;
  std::uint64_t steps_ = 0;
  std::uint64_t read_at_ = 0;
  double step_rest_ = 0;
  std::uint64_t changed_at_ = 0;
  std::uint64_t epoch_ = 1;
  int windows_ = 0;
  int deferrals_ = 0;
  bool complete_ = false;
};

double Mean(const std::vector<double>& values) {
  return values.empty() ? 0
                        : std::accumulate(values.begin(), values.end(), 0.0) /
                              static_cast<double>(values.size());
}

double Largest(const std::vector<double>& values) {
  return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

}  // namespace

void PrintCountsTable() {
  constexpr double kHot = kHotWorkloadWindow * kWorkloadWindowSeconds;
  std::printf(
      "Compares ways to send token counts. %d ranks x %d experts, %d slots a rank and layer, %d "
      "steps/s, %zu seeds.\n\"Batch\": each rank counts the tokens of its batch for all experts; "
      "else those that its own experts handle.\n\"All\": all counts at once, in longer windows. "
      "\"Rotation\", \"changes first\", \"both\": quantised reports of at most %lld bytes.\n"
      "\"Seen\": seconds until the rate of a suddenly hot expert (6%% of a layer, one in each "
      "layer; \"one\": in one layer only) is known by half. \"Even\": seconds until max/mean is at "
      "most 1.1. \"Changes\": maps before that, a run. "
      "Errors: of the smoothed popularity, weighted.\n",
      kRanks, kExperts, kSlots, kStepsPerSecond, kSeeds.size(),
      static_cast<long long>(kBatchReportBytes));
  std::printf("%6s  %-14s %8s %9s %9s %9s %9s %9s %9s %9s %9s %9s %9s %8s\n", "layers", "way",
              "window s", "B/s agent", "B/s coord", "one mean", "one max", "seen mean", "seen max",
              "new map", "even", "error %", "swing %", "changes");
  for (const int layers : {1, 4, 16, 58}) {
    for (const way_case& how : kWays) {
      // Counting each batch takes long to simulate.
      if (how.kind == way::kBatch && layers > 16)
        continue;
      summary hot;
      summary swing;
      double window = 0;
      for (const std::uint64_t seed : kSeeds) {
        run all(how, happening::kHotInAllLayers, layers, seed);
        window = all.WindowSeconds();
        // Enough windows before the event to settle the estimate, and enough after it.
        const double settle = std::min(kHot, std::max(240.0, 10 * window));
        const double after = std::max(240.0, 5 * window);
        all.Run(kHot - settle, kHot + after, settle / 2, hot);
        run one(how, happening::kHotInOneLayer, layers, seed);
        one.Run(kHot - settle, kHot + after, settle / 2, hot);
        run other(how, happening::kSwing, layers, seed);
        other.Run(0, std::max(600.0, 10 * window), std::max(240.0, 4 * window), swing);
      }
      std::printf(
          "%6d  %-14s %8.1f %9.0f %9.0f %9.1f %9.1f %9.1f %9.1f %9.1f %9.1f %9.2f %9.2f %8.1f\n",
          layers, how.name.data(), window, hot.bytes / hot.seconds / kRanks,
          hot.bytes / hot.seconds, Mean(hot.one), Largest(hot.one), Mean(hot.seen),
          Largest(hot.seen), Mean(hot.mapped), Mean(hot.even), 100 * Mean(hot.errors),
          100 * Mean(swing.errors), static_cast<double>(hot.changes) / kSeeds.size() / 2);
      std::fflush(stdout);
    }
  }
}

}  // namespace quincebank::bench
