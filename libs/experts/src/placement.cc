#include "quincebank/experts/placement.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <numeric>
#include <queue>
#include <utility>

namespace quincebank {

std::vector<int> CountReplicas(std::span<const double> loads, int slots, int ranks) {
  std::vector<int> counts(loads.size(), 1);
  using entry = std::pair<double, std::size_t>;  // Load per replica, expert.
  std::priority_queue<entry> hottest;
  for (std::size_t e = 0; e < loads.size(); ++e)
    hottest.emplace(loads[e], e);
  int spare = slots - static_cast<int>(loads.size());
  while (spare > 0 && !hottest.empty()) {
    const std::size_t e = hottest.top().second;
    hottest.pop();
    if (counts[e] >= ranks)
      continue;
    ++counts[e];
    --spare;
    hottest.emplace(loads[e] / counts[e], e);
  }
  return counts;
}

layer_load PlaceLayer(load_splitter& splitter, std::span<const double> loads) {
  const group_shape& shape = splitter.shape();
  const std::span<const double> speeds = splitter.speeds();
  int usable = 0;
  for (const double speed : speeds)
    usable += speed > 0 ? 1 : 0;
  const std::vector<int> counts = CountReplicas(loads, usable * shape.slots_per_rank, usable);

  std::vector<std::size_t> order(loads.size());
  std::iota(order.begin(), order.end(), 0U);
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return loads[a] / counts[a] > loads[b] / counts[b];
  });

  layer_load layer;
  const expert_index none = std::numeric_limits<expert_index>::max();
  layer.experts.assign(static_cast<std::size_t>(shape.slots()), none);
  std::vector<double> rank_load(speeds.size(), 0);
  std::vector<int> filled(speeds.size(), 0);
  const auto holds = [&](int rank, std::size_t expert) {
    const int offset = rank * shape.slots_per_rank;
    const auto first = layer.experts.begin() + offset;
    return std::find(first, first + filled[rank], static_cast<expert_index>(expert)) !=
           first + filled[rank];
  };
  const auto place = [&](int rank, std::size_t expert, double load) {
    layer.experts[rank * shape.slots_per_rank + filled[rank]++] = static_cast<expert_index>(expert);
    rank_load[rank] += load;
  };
  for (const std::size_t expert : order) {
    const double load = loads[expert] / counts[expert];
    for (int i = 0; i < counts[expert]; ++i) {
      int best = -1;
      double best_level = std::numeric_limits<double>::infinity();
      for (int rank = 0; rank < shape.ranks; ++rank) {
        if (speeds[rank] <= 0 || filled[rank] == shape.slots_per_rank || holds(rank, expert))
          continue;
        const double level = (rank_load[rank] + load) / speeds[rank];
        if (level < best_level) {
          best = rank;
          best_level = level;
        }
      }
      // The only ranks with free slots may hold this expert already; then the slot stays for the
      // fill below.
      if (best >= 0)
        place(best, expert, load);
    }
  }
  // Free slots take the hottest experts that the rank doesn't hold, so that every slot is of use.
  for (int rank = 0; rank < shape.ranks; ++rank) {
    for (const std::size_t expert : order) {
      if (filled[rank] == shape.slots_per_rank)
        break;
      if (!holds(rank, expert))
        place(rank, expert, 0);
    }
  }
  splitter.Start(layer, loads);
  return layer;
}

double LowerBound(const group_shape& shape,
                  std::span<const double> loads,
                  std::span<const double> speeds) {
  const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
  const double speed = std::accumulate(speeds.begin(), speeds.end(), 0.0);
  std::vector<double> fastest(speeds.begin(), speeds.end());
  std::sort(fastest.begin(), fastest.end(), std::greater<>());
  const int replicas = std::min(shape.ranks, shape.slots() - shape.experts + 1);
  const double hottest_speed = std::accumulate(fastest.begin(), fastest.begin() + replicas, 0.0);
  const double hottest = *std::max_element(loads.begin(), loads.end());
  return std::max(total / speed, hottest / hottest_speed);
}

}  // namespace quincebank
