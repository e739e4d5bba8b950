#include "quincebank/experts/expert_map.h"

#include <algorithm>

namespace quincebank {

std::int64_t CountLoadedWeights(const group_shape& shape,
                                std::span<const expert_index> from,
                                std::span<const expert_index> to) {
  const auto slots = static_cast<std::size_t>(shape.slots_per_rank);
  std::int64_t loaded = 0;
  for (std::size_t first = 0; first < to.size(); first += slots) {
    const auto held = from.subspan(first, slots);
    for (const expert_index expert : to.subspan(first, slots))
      loaded += std::find(held.begin(), held.end(), expert) == held.end() ? 1 : 0;
  }
  return loaded;
}

bool IsComplete(const expert_map& map) {
  const group_shape& shape = map.shape;
  if (map.layers.size() != static_cast<std::size_t>(shape.layers))
    return false;
  const auto slots = static_cast<std::size_t>(shape.slots());
  for (const layer_map& layer : map.layers) {
    if (layer.experts.size() != slots || layer.shares.size() != slots)
      return false;
    std::vector<int> shares(static_cast<std::size_t>(shape.experts), 0);
    std::vector<int> last_rank(static_cast<std::size_t>(shape.experts), -1);
    for (std::size_t slot = 0; slot < slots; ++slot) {
      const expert_index expert = layer.experts[slot];
      const int rank = shape.RankOf(static_cast<int>(slot));
      if (expert >= shape.experts || last_rank[expert] == rank)
        return false;
      last_rank[expert] = rank;
      shares[expert] += layer.shares[slot];
    }
    if (!std::all_of(shares.begin(), shares.end(), [](int sum) { return sum == kShareUnit; }))
      return false;
  }
  return true;
}

}  // namespace quincebank
