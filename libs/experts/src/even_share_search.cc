#include "even_share_search.h"

#include <algorithm>
#include <numeric>

namespace quincebank {
namespace {

// Least loaded ranks that are tried first as targets of a step; all others are tried if none of
// these helps.
constexpr std::size_t kFirstTargets = 16;
// Part of the most loaded rank's harm that a step must take off the sum.
constexpr double kLeastGain = 0.02;

// Eighth power of the load over the mean: passes wait for the most loaded rank, but relieving one
// of several equally loaded ranks must count as well.
double Harm(double load, double mean) noexcept {
  const double ratio = load / mean;
  const double square = ratio * ratio;
  const double fourth = square * square;
  return fourth * fourth;
}

double MeanLoad(std::span<const double> loads, int ranks) {
  const double mean = std::accumulate(loads.begin(), loads.end(), 0.0) / std::max(ranks, 1);
  return mean > 0 ? mean : 1;
}

}  // namespace

even_share_search::even_share_search(const even_share_shape& shape,
                                     const rank_experts& current,
                                     std::span<const double> loads)
    : shape_(shape),
      loads_(loads),
      current_(&current),
      mean_(MeanLoad(loads, shape.ranks)),
      holders_(current),
      where_(Index(shape.experts)),
      harms_(Index(shape.ranks)),
      new_on_(Index(shape.ranks), 0),
      order_(Index(shape.ranks)),
      changes_(Index(shape.ranks), 0) {
  std::iota(order_.begin(), order_.end(), 0);
  for (int rank = 0; rank < shape.ranks; ++rank) {
    for (const int expert : holders_[Index(rank)])
      where_[Index(expert)].push_back(rank);
  }
  Refresh();
}

void even_share_search::Refresh() {
  rank_loads_ = RankLoads(holders_, loads_);
  for (std::size_t rank = 0; rank < rank_loads_.size(); ++rank)
    harms_[rank] = Harm(rank_loads_[rank], mean_);
}

double even_share_search::Peak() const {
  return *std::max_element(rank_loads_.begin(), rank_loads_.end());
}

bool even_share_search::Holds(int rank, int expert) const {
  const auto& held = holders_[Index(rank)];
  return std::find(held.begin(), held.end(), expert) != held.end();
}

bool even_share_search::HeldBefore(int rank, int expert) const {
  const auto& held = (*current_)[Index(rank)];
  return std::find(held.begin(), held.end(), expert) != held.end();
}

bool even_share_search::MayLoad(int rank, int expert, std::span<const int> left) const {
  if (HeldBefore(rank, expert))
    return true;
  return left[Index(rank)] > 0 && new_on_[Index(rank)] < shape_.new_per_set;
}

void even_share_search::OrderTargets(std::size_t count) {
  const auto middle = order_.begin() + static_cast<std::ptrdiff_t>(std::min(count, order_.size()));
  std::partial_sort(order_.begin(), middle, order_.end(),
                    [&](int a, int b) { return rank_loads_[Index(a)] < rank_loads_[Index(b)]; });
}

bool even_share_search::Step(std::span<int> left) {
  const int from = static_cast<int>(std::max_element(rank_loads_.begin(), rank_loads_.end()) -
                                    rank_loads_.begin());
  const auto best = Best(from, left);
  if (!best || best->change > -kLeastGain * harms_[Index(from)])
    return false;
  if (best->move || best->target == kNone)
    Drop(from, best->expert, left);
  if (best->evicted != kNone)
    Drop(best->target, best->evicted, left);
  if (best->returned != kNone) {
    Drop(best->target, best->returned, left);
    Add(from, best->returned, left);
  }
  if (best->target != kNone)
    Add(best->target, best->expert, left);
  Refresh();
  return true;
}

std::optional<even_share_search::step> even_share_search::Best(int from,
                                                               std::span<const int> left) {
  std::optional<step> best;
  const std::vector<int> held = holders_[Index(from)];
  for (const int expert : held) {
    if (Copies(expert) > 1)
      Consider({expert}, from, best);
  }
  std::size_t tried = 0;
  for (const std::size_t count : {kFirstTargets, order_.size()}) {
    OrderTargets(count);
    for (; tried < std::min(count, order_.size()); ++tried) {
      for (const int expert : held)
        TryTarget(from, expert, order_[tried], left, best);
    }
    if (best && best->change <= -kLeastGain * harms_[Index(from)])
      break;
  }
  return best;
}

void even_share_search::TryTarget(int from,
                                  int expert,
                                  int target,
                                  std::span<const int> left,
                                  std::optional<step>& best) {
  if (target == from || Holds(target, expert) || !MayLoad(target, expert, left))
    return;
  if (HasPlace(target)) {
    Consider({expert, target}, from, best);
    Consider({expert, target, kNone, true}, from, best);
  }
  const std::vector<int>& held = holders_[Index(target)];
  for (const int other : held) {
    if (!Holds(from, other) && Share(other) < Share(expert) && MayLoad(from, other, left)) {
      Consider({expert, target, kNone, true, other}, from, best);
      if (HasPlace(from))
        Consider({expert, target, kNone, false, other}, from, best);
    }
    if (HasPlace(target) || Copies(other) < 2)
      continue;
    Consider({expert, target, other, false}, from, best);
    Consider({expert, target, other, true}, from, best);
  }
}

void even_share_search::Consider(step candidate, int from, std::optional<step>& best) {
  candidate.change = Change(candidate, from);
  if (!best || candidate.change < best->change)
    best = candidate;
}

void even_share_search::Note(int rank, double change) {
  double& noted = changes_[Index(rank)];
  if (noted == 0)
    touched_.push_back(rank);
  noted += change;
}

double even_share_search::Change(const step& candidate, int from) {
  const int copies = Copies(candidate.expert);
  const int after = copies + (candidate.target == kNone ? 0 : 1) -
                    (candidate.move || candidate.target == kNone ? 1 : 0);
  const double share = Share(candidate.expert);
  const double share_after = loads_[Index(candidate.expert)] / after;
  for (const int rank : where_[Index(candidate.expert)])
    Note(rank, share_after - share);
  if (candidate.move || candidate.target == kNone)
    Note(from, -share_after);
  if (candidate.target != kNone)
    Note(candidate.target, share_after);
  if (candidate.evicted != kNone) {
    const double lost = Share(candidate.evicted);
    const double rest = loads_[Index(candidate.evicted)] / (Copies(candidate.evicted) - 1);
    for (const int rank : where_[Index(candidate.evicted)])
      Note(rank, rest - lost);
    Note(candidate.target, -rest);
  }
  if (candidate.returned != kNone) {
    Note(candidate.target, -Share(candidate.returned));
    Note(from, Share(candidate.returned));
  }
  double change = 0;
  for (const int rank : touched_) {
    double& noted = changes_[Index(rank)];
    if (noted == 0)
      continue;  // Noted twice, after its changes had cancelled out.
    change += Harm(rank_loads_[Index(rank)] + noted, mean_) - harms_[Index(rank)];
    noted = 0;
  }
  touched_.clear();
  return change;
}

void even_share_search::Add(int rank, int expert, std::span<int> left) {
  holders_[Index(rank)].push_back(expert);
  where_[Index(expert)].push_back(rank);
  if (HeldBefore(rank, expert))
    return;
  --left[Index(rank)];
  ++new_on_[Index(rank)];
}

void even_share_search::Drop(int rank, int expert, std::span<int> left) {
  std::erase(holders_[Index(rank)], expert);
  std::erase(where_[Index(expert)], rank);
  if (HeldBefore(rank, expert))
    return;
  ++left[Index(rank)];
  --new_on_[Index(rank)];
}

bool even_share_search::Fill(std::span<int> left) {
  std::optional<int> target;
  for (int rank = 0; rank < shape_.ranks; ++rank) {
    const bool may_load = left[Index(rank)] > 0 && new_on_[Index(rank)] < shape_.new_per_set;
    if (!HasPlace(rank) || !may_load)
      continue;
    if (!target || rank_loads_[Index(rank)] < rank_loads_[Index(*target)])
      target = rank;
  }
  if (!target)
    return false;
  const double room = std::max(Peak(), mean_) - rank_loads_[Index(*target)];
  std::optional<int> chosen;
  for (int expert = 0; expert < shape_.experts; ++expert) {
    const double share_after = loads_[Index(expert)] / (Copies(expert) + 1);
    if (Holds(*target, expert) || share_after > room || (chosen && Share(expert) <= Share(*chosen)))
      continue;
    chosen = expert;
  }
  if (!chosen)
    return false;
  Add(*target, *chosen, left);
  Refresh();
  return true;
}

}  // namespace quincebank
