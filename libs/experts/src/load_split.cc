#include "quincebank/experts/load_split.h"

#include <algorithm>
#include <cmath>

namespace quincebank {

load_splitter::load_splitter(const group_shape& shape, std::span<const double> speeds)
    : shape_(shape), speeds_(speeds.begin(), speeds.end()) {}

void load_splitter::IndexReplicas(const layer_load& layer) {
  first_.assign(static_cast<std::size_t>(shape_.experts) + 1, 0);
  slots_.resize(layer.experts.size());
  for (const expert_index expert : layer.experts)
    ++first_[expert + 1U];
  for (std::size_t e = 1; e < first_.size(); ++e)
    first_[e] += first_[e - 1];
  for (int slot = static_cast<int>(layer.experts.size()) - 1; slot >= 0; --slot)
    slots_[static_cast<std::size_t>(--first_[layer.experts[slot] + 1U])] = slot;
  // The loop above moved each start to its place, one position late.
  for (std::size_t e = 0; e + 1 < first_.size(); ++e)
    first_[e] = first_[e + 1];
  first_.back() = static_cast<int>(layer.experts.size());
  replicated_.clear();
  for (std::size_t e = 0; e + 1 < first_.size(); ++e) {
    if (first_[e + 1] - first_[e] > 1)
      replicated_.push_back(e);
  }
}

void load_splitter::Start(layer_load& layer, std::span<const double> loads) {
  IndexReplicas(layer);
  layer.amounts.assign(layer.experts.size(), 0);
  layer.ranks.assign(speeds_.size(), 0);
  for (std::size_t e = 0; e < loads.size(); ++e) {
    int usable = 0;
    for (int i = first_[e]; i < first_[e + 1]; ++i)
      usable += speeds_[shape_.RankOf(slots_[i])] > 0 ? 1 : 0;
    for (int i = first_[e]; i < first_[e + 1]; ++i) {
      const int rank = shape_.RankOf(slots_[i]);
      if (speeds_[rank] <= 0)
        continue;
      layer.amounts[slots_[i]] = loads[e] / usable;
      layer.ranks[rank] += loads[e] / usable;
    }
  }
}

void load_splitter::StartFrom(layer_load& layer,
                              const layer_map& map,
                              std::span<const double> loads) const {
  layer.experts = map.experts;
  layer.amounts.assign(map.experts.size(), 0);
  layer.ranks.assign(speeds_.size(), 0);
  for (std::size_t slot = 0; slot < map.experts.size(); ++slot) {
    const double amount = loads[map.experts[slot]] * map.shares[slot] / kShareUnit;
    layer.amounts[slot] = amount;
    layer.ranks[shape_.RankOf(static_cast<int>(slot))] += amount;
  }
}

void load_splitter::Fill(layer_load& layer, std::span<const int> slots, double load) {
  scratch_.clear();
  for (const int slot : slots) {
    const int rank = shape_.RankOf(slot);
    const double base = layer.ranks[rank] - layer.amounts[slot];
    if (speeds_[rank] <= 0) {
      layer.ranks[rank] = base;
      layer.amounts[slot] = 0;
      continue;
    }
    const replica entry{slot, rank, base, base / speeds_[rank]};
    auto at = scratch_.end();
    while (at != scratch_.begin() && std::prev(at)->level > entry.level)
      --at;
    scratch_.insert(at, entry);
  }
  double speed = 0;
  double sum = load;
  double level = 0;
  std::size_t used = 0;
  while (used < scratch_.size()) {
    speed += speeds_[scratch_[used].rank];
    sum += scratch_[used].base;
    level = sum / speed;
    ++used;
    if (used < scratch_.size() && level <= scratch_[used].level)
      break;
  }
  for (std::size_t i = 0; i < scratch_.size(); ++i) {
    const replica& entry = scratch_[i];
    const double amount =
        i < used ? std::max(0.0, (level * speeds_[entry.rank]) - entry.base) : 0.0;
    layer.amounts[entry.slot] = amount;
    layer.ranks[entry.rank] = entry.base + amount;
  }
}

layer_peak load_splitter::Improve(layer_load& layer,
                                  std::span<const double> loads,
                                  int max_sweeps,
                                  double tolerance) {
  IndexReplicas(layer);
  layer_peak peak = Peak(layer);
  for (int sweep = 0; sweep < max_sweeps; ++sweep) {
    for (const std::size_t e : replicated_) {
      const auto count = static_cast<std::size_t>(first_[e + 1] - first_[e]);
      Fill(layer, std::span(slots_).subspan(static_cast<std::size_t>(first_[e]), count), loads[e]);
    }
    const layer_peak next = Peak(layer);
    const double gain = peak.level - next.level;
    peak = next;
    if (gain < tolerance * peak.level && sweep > 0)
      break;
  }
  return peak;
}

layer_peak load_splitter::Peak(const layer_load& layer) const {
  layer_peak peak;
  for (std::size_t rank = 0; rank < speeds_.size(); ++rank) {
    if (speeds_[rank] <= 0)
      continue;
    const double level = layer.ranks[rank] / speeds_[rank];
    if (level > peak.level)
      peak = {level, static_cast<int>(rank)};
  }
  return peak;
}

layer_map load_splitter::ToMap(const layer_load& layer, std::span<const double> loads) const {
  layer_map map;
  map.experts = layer.experts;
  map.shares.assign(layer.experts.size(), 0);
  std::vector<int> rest(loads.size(), kShareUnit);
  std::vector<int> largest(loads.size(), -1);
  for (std::size_t slot = 0; slot < layer.experts.size(); ++slot) {
    const expert_index expert = layer.experts[slot];
    if (speeds_[shape_.RankOf(static_cast<int>(slot))] <= 0)
      continue;
    const double part = loads[expert] > 0 ? layer.amounts[slot] / loads[expert] : 0;
    const int share = std::clamp(static_cast<int>(std::floor(part * kShareUnit)), 0, rest[expert]);
    map.shares[slot] = static_cast<std::uint16_t>(share);
    rest[expert] -= share;
    int& best = largest[expert];
    if (best < 0 || share > map.shares[best])
      best = static_cast<int>(slot);
  }
  // The largest replica takes what rounding left over.
  for (std::size_t e = 0; e < loads.size(); ++e) {
    if (largest[e] >= 0)
      map.shares[largest[e]] = static_cast<std::uint16_t>(map.shares[largest[e]] + rest[e]);
  }
  return map;
}

}  // namespace quincebank
