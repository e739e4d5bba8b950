#include "quincebank/experts/layer_search.h"

#include <algorithm>
#include <utility>

namespace quincebank {
namespace {

constexpr int kTargets = 4;         // Ranks with the lowest levels that a round considers.
constexpr std::size_t kTrials = 6;  // Candidates of a round whose split is computed.
constexpr int kTrialSweeps = 4;
constexpr int kFinalSweeps = 30;
constexpr double kTolerance = 1e-4;
constexpr double kProgress = 1e-6;  // A round that gains a smaller part ends the search.

}  // namespace

bool layer_search::Holds(const layer_load& layer, int rank, expert_index expert) const {
  const int slots = splitter_.shape().slots_per_rank;
  const int offset = rank * slots;
  const auto first = layer.experts.begin() + offset;
  return std::find(first, first + slots, expert) != first + slots;
}

void layer_search::ListMovesTo(const layer_load& layer, const layer_peak& peak, int target) {
  const int slots = splitter_.shape().slots_per_rank;
  const auto speeds = splitter_.speeds();
  const double hot_speed = speeds[peak.rank];
  const double cool_speed = speeds[target];
  const double hot_load = layer.ranks[peak.rank];
  const double cool_load = layer.ranks[target];
  // Load whose transfer would make the two ranks equal.
  const double ideal = (hot_load * cool_speed - cool_load * hot_speed) / (hot_speed + cool_speed);
  const auto level_after = [&](double transfer) {
    return std::max((hot_load - transfer) / hot_speed, (cool_load + transfer) / cool_speed);
  };
  // The replica whose loss hurts least: its load goes to its other replicas.
  int victim = -1;
  for (int slot = target * slots; slot < (target + 1) * slots; ++slot) {
    if (live_replicas_[layer.experts[slot]] < 2)
      continue;
    if (victim < 0 || layer.amounts[slot] < layer.amounts[victim])
      victim = slot;
  }
  for (int source = peak.rank * slots; source < (peak.rank + 1) * slots; ++source) {
    const expert_index expert = layer.experts[source];
    if (layer.amounts[source] <= 0 || Holds(layer, target, expert))
      continue;
    if (victim >= 0 && layer.experts[victim] != expert) {
      moves_.push_back(
          {victim, source, false, level_after(std::min(ideal, layer.amounts[source]))});
    }
    for (int slot = target * slots; slot < (target + 1) * slots; ++slot) {
      const double transfer = layer.amounts[source] - layer.amounts[slot];
      if (transfer <= 0 || Holds(layer, peak.rank, layer.experts[slot]))
        continue;
      moves_.push_back({slot, source, true, level_after(transfer)});
    }
  }
}

void layer_search::ListMoves(const layer_load& layer, const layer_peak& peak) {
  moves_.clear();
  const auto speeds = splitter_.speeds();
  live_replicas_.assign(static_cast<std::size_t>(splitter_.shape().experts), 0);
  for (std::size_t slot = 0; slot < layer.experts.size(); ++slot) {
    if (speeds[splitter_.shape().RankOf(static_cast<int>(slot))] > 0)
      ++live_replicas_[layer.experts[slot]];
  }
  std::vector<std::pair<double, int>> targets;
  for (int rank = 0; rank < splitter_.shape().ranks; ++rank) {
    if (speeds[rank] > 0 && rank != peak.rank)
      targets.emplace_back(layer.ranks[rank] / speeds[rank], rank);
  }
  std::sort(targets.begin(), targets.end());
  if (targets.size() > kTargets)
    targets.resize(kTargets);
  for (const auto& [level, rank] : targets) {
    if (level < peak.level)
      ListMovesTo(layer, peak, rank);
  }
  // Two weights must be worth their price; at equal estimates the copy comes first.
  std::stable_sort(moves_.begin(), moves_.end(), [](const move& a, const move& b) {
    return std::pair(a.estimate, a.swap) < std::pair(b.estimate, b.swap);
  });
  // Half of the trials go to copies, so that swaps with a good estimate don't crowd them out.
  const auto copies =
      std::stable_partition(moves_.begin(), moves_.end(), [](const move& m) { return !m.swap; });
  const auto copy_count = static_cast<std::size_t>(copies - moves_.begin());
  const std::size_t kept_copies = std::min(copy_count, kTrials / 2);
  moves_.erase(moves_.begin() + static_cast<std::ptrdiff_t>(kept_copies), copies);
  if (moves_.size() > kTrials)
    moves_.resize(kTrials);
}

void layer_search::Apply(layer_load& layer, const move& candidate) const {
  const group_shape& shape = splitter_.shape();
  const int hot = shape.RankOf(candidate.source);
  const int cool = shape.RankOf(candidate.slot);
  if (candidate.swap) {
    std::swap(layer.experts[candidate.source], layer.experts[candidate.slot]);
    const double transfer = layer.amounts[candidate.source] - layer.amounts[candidate.slot];
    std::swap(layer.amounts[candidate.source], layer.amounts[candidate.slot]);
    layer.ranks[hot] -= transfer;
    layer.ranks[cool] += transfer;
    return;
  }
  // The victim's load goes to another of its replicas; the next sweep spreads it.
  const expert_index evicted = layer.experts[candidate.slot];
  const double amount = std::exchange(layer.amounts[candidate.slot], 0);
  layer.ranks[cool] -= amount;
  layer.experts[candidate.slot] = layer.experts[candidate.source];
  for (std::size_t slot = 0; slot < layer.experts.size(); ++slot) {
    const int rank = shape.RankOf(static_cast<int>(slot));
    if (layer.experts[slot] != evicted || splitter_.speeds()[rank] <= 0)
      continue;
    layer.amounts[slot] += amount;
    layer.ranks[rank] += amount;
    return;
  }
}

double layer_search::Potential(const layer_load& layer) const {
  double sum = 0;
  for (std::size_t rank = 0; rank < layer.ranks.size(); ++rank) {
    const double speed = splitter_.speeds()[rank];
    if (speed > 0)
      sum += layer.ranks[rank] * layer.ranks[rank] / speed;
  }
  return sum;
}

layer_change layer_search::Run(layer_load start,
                               std::span<const double> loads,
                               const search_limits& limits) {
  layer_peak peak = splitter_.Peak(start);
  layer_change best{start, peak.level, 0};
  layer_load current = std::move(start);
  layer_load trial;  // Kept over all rounds, so that their memory is allocated once.
  layer_load next;
  int weights = 0;
  while (weights < limits.max_moves && peak.level > limits.good_enough) {
    ListMoves(current, peak);
    // A peak shared by ranks without common experts can't fall in one move; the potential shows
    // progress on one of them.
    double best_level = peak.level * (1 + kProgress);
    double best_potential = Potential(current) * (1 - kProgress);
    int next_weights = 0;
    for (const move& candidate : moves_) {
      trial = current;
      Apply(trial, candidate);
      const double level = splitter_.Improve(trial, loads, kTrialSweeps, kTolerance).level;
      const double potential = Potential(trial);
      const bool lower = level < best_level * (1 - kProgress);
      if (!lower && (level > best_level || potential >= best_potential))
        continue;
      best_level = level;
      best_potential = potential;
      std::swap(next, trial);
      next_weights = candidate.swap ? 2 : 1;
    }
    if (next_weights == 0)
      break;
    std::swap(current, next);
    weights += next_weights;
    peak = splitter_.Improve(current, loads, kFinalSweeps, kTolerance);
    const double price = limits.cost_per_weight * (weights - best.weights);
    if (peak.level + price < best.level)
      best = {current, peak.level, weights};
  }
  return best;
}

}  // namespace quincebank
