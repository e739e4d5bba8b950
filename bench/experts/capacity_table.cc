#include "capacity_table.h"

#include <malloc.h>

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <cstdio>
#include <vector>

#include "quincebank/experts/plan_json.h"
#include "quincebank/experts/popularity.h"
#include "workload.h"

namespace quincebank::bench {
namespace {

constexpr std::uint64_t kSeed = 7;
constexpr int kRepeats = 9;

struct cost {
  double first_ms = 0;   // First map.
  double change_ms = 0;  // Next map after a menu change.
  double keep_ms = 0;    // Decision to keep the map.
  double estimate_kb = 0;
  double map_kb = 0;     // As JSON, the form of the key-value service.
  double record_kb = 0;  // Decision record as JSON.
  double heap_kb = 0;    // Input and map in memory.
};

/// Allocated bytes; large blocks count separately.
std::size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

double Kilobytes(std::size_t bytes) {
  return static_cast<double>(bytes) / 1e3;
}

double MedianMs(const group_shape& shape, const plan_input& input) {
  std::vector<double> times;
  for (int i = 0; i < kRepeats; ++i) {
    const auto start = std::chrono::steady_clock::now();
    const auto plan = PlanRebalance(shape, input);
    const auto end = std::chrono::steady_clock::now();
    if (plan.has_value())
      times.push_back(std::chrono::duration<double, std::milli>(end - start).count());
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

void Fill(popularity_estimate& popularity,
          const group_shape& shape,
          workload& load,
          int first,
          int last) {
  for (int index = first; index < last; ++index) {
    const window_counts window = load.Window(index);
    for (int layer = 0; layer < shape.layers; ++layer)
      popularity.Observe(layer, window.tokens[layer], workload::kStepsPerWindow);
  }
}

std::vector<layer_popularity> Read(const popularity_estimate& popularity, int layers) {
  std::vector<layer_popularity> all;
  all.reserve(static_cast<std::size_t>(layers));
  for (int layer = 0; layer < layers; ++layer)
    all.push_back(
        {popularity.Smoothed(layer), popularity.Recent(layer), popularity.StandardError(layer)});
  return all;
}

cost Measure(const group_shape& shape) {
  cost total;
  const std::size_t heap = HeapBytes();
  workload load(drift::kMenuChange, shape, kSeed);
  const std::size_t heap_before_estimate = HeapBytes();
  popularity_estimate popularity(shape.layers, shape.experts);
  total.estimate_kb = Kilobytes(HeapBytes() - heap_before_estimate);
  Fill(popularity, shape, load, 0, 20);
  plan_input input;
  input.speeds = MakeSpeeds(shape.ranks, kSeed);
  input.steps_since_change = 100 * workload::kStepsPerWindow;
  input.popularity = Read(popularity, shape.layers);
  total.first_ms = MedianMs(shape, input);
  input.current = PlanRebalance(shape, input).value().map;
  total.keep_ms = MedianMs(shape, input);
  Fill(popularity, shape, load, 60, 66);  // After the menu change.
  input.popularity = Read(popularity, shape.layers);
  total.change_ms = MedianMs(shape, input);
  const auto outcome = PlanRebalance(shape, input);
  total.heap_kb = Kilobytes(HeapBytes() - heap);
  total.map_kb = Kilobytes(boost::json::serialize(ToJson(input.current)).size());
  const decision_record record = RecordPlan("group", shape, input, outcome.value());
  total.record_kb = Kilobytes(boost::json::serialize(ToJson(record)).size());
  return total;
}

}  // namespace

void PrintCapacityTable() {
  std::printf("Planning cost of one decision, median of %d runs on one thread.\n", kRepeats);
  std::printf("%6s %6s %7s %10s %10s %10s %10s %9s %9s %11s\n", "layers", "ranks", "experts",
              "first ms", "change ms", "keep ms", "estim. KB", "map KB", "heap KB", "record KB");
  const group_shape shapes[] = {{1, 8, 64, 10},    {1, 16, 128, 10}, {1, 32, 256, 10},
                                {1, 64, 512, 10},  {4, 32, 256, 10}, {16, 32, 256, 10},
                                {32, 32, 256, 10}, {58, 32, 256, 10}};
  for (const group_shape& shape : shapes) {
    const cost total = Measure(shape);
    std::printf("%6d %6d %7d %10.2f %10.2f %10.2f %10.1f %9.1f %9.1f %11.1f\n", shape.layers,
                shape.ranks, shape.experts, total.first_ms, total.change_ms, total.keep_ms,
                total.estimate_kb, total.map_kb, total.heap_kb, total.record_kb);
  }
  const cost small = Measure({4, 32, 256, 10});
  const cost large = Measure({58, 32, 256, 10});
  const double layers = 58 - 4;
  std::printf(
      "Slope for each layer of 32 x 256: first map %.2f ms, change %.2f ms, map %.2f KB, "
      "record %.2f KB, heap %.2f KB.\n",
      (large.first_ms - small.first_ms) / layers, (large.change_ms - small.change_ms) / layers,
      (large.map_kb - small.map_kb) / layers, (large.record_kb - small.record_kb) / layers,
      (large.heap_kb - small.heap_kb) / layers);
}

}  // namespace quincebank::bench
