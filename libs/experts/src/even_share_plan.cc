#include "quincebank/experts/even_share_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace quincebank {
namespace {

constexpr int kNone = -1;

// Sum of eighth powers: unlike the plain peak it also falls when one of two equally loaded ranks is
// relieved.
double Eighth(double load) noexcept {
  const double square = load * load;
  const double fourth = square * square;
  return fourth * fourth;
}

double SmoothPeak(double sum) noexcept {
  return std::sqrt(std::sqrt(std::sqrt(sum)));
}

struct step {
  int expert = kNone;
  int target = kNone;
  int evicted = kNone;   ///< Spare copy on the target that makes room.
  bool move = false;     ///< The peak rank gives the expert up.
  int returned = kNone;  ///< Expert of the target that moves to the peak rank in exchange.
  double level = 0;      ///< Smooth peak of the rank loads afterwards.
};

/// One set of layers during the search.
class set_search {
 public:
  set_search(const even_share_shape& shape,
             const rank_experts& current,
             std::span<const double> loads)
      : shape_(shape),
        loads_(loads),
        current_(current),
        holders_(current),
        copies_(static_cast<std::size_t>(shape.experts), 0),
        rank_loads_(RankLoads(current, loads)) {
    for (const auto& held : holders_) {
      for (const int expert : held)
        ++Copies(expert);
    }
  }

  [[nodiscard]] double Peak() const {
    return *std::max_element(rank_loads_.begin(), rank_loads_.end());
  }
  [[nodiscard]] double Mean() const {
    return std::accumulate(loads_.begin(), loads_.end(), 0.0) / shape_.ranks;
  }
  [[nodiscard]] const rank_experts& holders() const noexcept { return holders_; }

  /// Best step, or nothing if none lowers the peak by `least_gain` of it, smoothly taken.
  /// \param left  experts that each rank may still load for the plan.
  [[nodiscard]] std::optional<step> Best(std::span<const int> left, double least_gain) const {
    const auto peak = std::max_element(rank_loads_.begin(), rank_loads_.end());
    const int from = static_cast<int>(peak - rank_loads_.begin());
    std::optional<step> best;
    for (const int expert : Held(from)) {
      for (int target = 0; target < shape_.ranks; ++target) {
        if (target == from || Holds(target, expert) || !MayLoad(target, expert, left))
          continue;
        Consider({expert, target, kNone, false}, from, best);
        Consider({expert, target, kNone, true}, from, best);
        ConsiderExchanges(expert, target, from, left, best);
        if (static_cast<int>(Held(target).size()) < shape_.places)
          continue;
        for (const int spare : Held(target)) {
          if (Copies(spare) < 2)
            continue;
          Consider({expert, target, spare, false}, from, best);
          Consider({expert, target, spare, true}, from, best);
        }
      }
    }
    double sum = 0;
    for (const double load : rank_loads_)
      sum += Eighth(load);
    if (best && best->level > SmoothPeak(sum) * (1 - least_gain))
      return std::nullopt;
    return best;
  }

  /// Takes what ranks have to load off `left`.
  void Apply(const step& taken, std::span<int> left) {
    const auto peak = std::max_element(rank_loads_.begin(), rank_loads_.end());
    const int from = static_cast<int>(peak - rank_loads_.begin());
    if (taken.evicted != kNone)
      Drop(taken.target, taken.evicted);
    Held(taken.target).push_back(taken.expert);
    ++Copies(taken.expert);
    if (taken.move)
      Drop(from, taken.expert);
    bool loads = !HeldBefore(taken.target, taken.expert);
    left[static_cast<std::size_t>(taken.target)] -= loads ? 1 : 0;
    if (taken.returned != kNone) {
      Drop(taken.target, taken.returned);
      Held(from).push_back(taken.returned);
      ++Copies(taken.returned);
      loads = !HeldBefore(from, taken.returned);
      left[static_cast<std::size_t>(from)] -= loads ? 1 : 0;
    }
    rank_loads_ = RankLoads(holders_, loads_);
  }

  [[nodiscard]] int CountLoaded() const {
    int loaded = 0;
    for (int rank = 0; rank < shape_.ranks; ++rank)
      loaded += NewOn(rank);
    return loaded;
  }

 private:
  [[nodiscard]] const std::vector<int>& Held(int rank) const {
    return holders_[static_cast<std::size_t>(rank)];
  }
  [[nodiscard]] std::vector<int>& Held(int rank) {
    return holders_[static_cast<std::size_t>(rank)];
  }
  [[nodiscard]] int Copies(int expert) const { return copies_[static_cast<std::size_t>(expert)]; }
  [[nodiscard]] int& Copies(int expert) { return copies_[static_cast<std::size_t>(expert)]; }
  [[nodiscard]] double Load(int expert) const { return loads_[static_cast<std::size_t>(expert)]; }
  [[nodiscard]] double Share(int expert) const { return Load(expert) / Copies(expert); }
  [[nodiscard]] bool Holds(int rank, int expert) const {
    return std::find(Held(rank).begin(), Held(rank).end(), expert) != Held(rank).end();
  }
  [[nodiscard]] bool HeldBefore(int rank, int expert) const {
    const auto& before = current_[static_cast<std::size_t>(rank)];
    return std::find(before.begin(), before.end(), expert) != before.end();
  }
  [[nodiscard]] int NewOn(int rank) const {
    return static_cast<int>(std::count_if(Held(rank).begin(), Held(rank).end(),
                                          [&](int e) { return !HeldBefore(rank, e); }));
  }
  [[nodiscard]] bool MayLoad(int rank, int expert, std::span<const int> left) const {
    if (HeldBefore(rank, expert))
      return true;
    return left[static_cast<std::size_t>(rank)] > 0 && NewOn(rank) < shape_.new_per_set;
  }
  void Drop(int rank, int expert) {
    std::erase(Held(rank), expert);
    --Copies(expert);
  }

  void ConsiderExchanges(int expert,
                         int target,
                         int from,
                         std::span<const int> left,
                         std::optional<step>& best) const {
    for (const int returned : Held(target)) {
      if (Holds(from, returned) || Share(returned) >= Share(expert) ||
          !MayLoad(from, returned, left))
        continue;
      Consider({expert, target, kNone, true, returned}, from, best);
    }
  }

  void Consider(step candidate, int from, std::optional<step>& best) const {
    const bool full = static_cast<int>(Held(candidate.target).size()) >= shape_.places;
    if (full && candidate.evicted == kNone && candidate.returned == kNone)
      return;
    if (candidate.evicted == candidate.expert)
      return;
    Estimate(candidate, from);
    if (!best || candidate.level < best->level)
      best = candidate;
  }

  /// Loads after the step. Only ranks that hold the expert or the evicted one change.
  void Estimate(step& candidate, int from) const {
    const int copies = Copies(candidate.expert);
    const int copies_after = candidate.move ? copies : copies + 1;
    const double share = Load(candidate.expert) / copies;
    const double share_after = Load(candidate.expert) / copies_after;
    const double returned_share = candidate.returned == kNone ? 0 : Share(candidate.returned);
    double evicted_share = 0;
    double evicted_after = 0;
    if (candidate.evicted != kNone) {
      evicted_share = Load(candidate.evicted) / Copies(candidate.evicted);
      evicted_after = Load(candidate.evicted) / (Copies(candidate.evicted) - 1);
    }
    double sum = 0;
    for (int rank = 0; rank < shape_.ranks; ++rank) {
      double load = rank_loads_[static_cast<std::size_t>(rank)];
      if (rank == candidate.target)
        load += share_after - evicted_share - returned_share;
      else if (rank == from)
        load += (candidate.move ? -share : share_after - share) + returned_share;
      else if (Holds(rank, candidate.expert))
        load += share_after - share;
      if (candidate.evicted != kNone && rank != candidate.target && Holds(rank, candidate.evicted))
        load += evicted_after - evicted_share;
      sum += Eighth(load);
    }
    candidate.level = SmoothPeak(sum);
  }

  const even_share_shape& shape_;
  const std::span<const double> loads_;
  const rank_experts& current_;
  rank_experts holders_;
  std::vector<int> copies_;
  std::vector<double> rank_loads_;
};

}  // namespace

std::vector<double> RankLoads(const rank_experts& holders, std::span<const double> loads) {
  std::vector<int> copies(loads.size(), 0);
  for (const auto& held : holders) {
    for (const int expert : held)
      ++copies[static_cast<std::size_t>(expert)];
  }
  std::vector<double> ranks(holders.size(), 0);
  for (std::size_t rank = 0; rank < holders.size(); ++rank) {
    for (const int expert : holders[rank]) {
      const auto e = static_cast<std::size_t>(expert);
      ranks[rank] += loads[e] / copies[e];
    }
  }
  return ranks;
}

rank_experts InitialExperts(const even_share_shape& shape) {
  rank_experts holders(static_cast<std::size_t>(shape.ranks));
  for (int expert = 0; expert < shape.experts; ++expert)
    holders[static_cast<std::size_t>(expert % shape.ranks)].push_back(expert);
  return holders;
}

even_share_plan PlanEvenShares(const even_share_shape& shape,
                               const std::vector<rank_experts>& current,
                               const std::vector<std::vector<double>>& loads,
                               const even_share_limits& limits) {
  even_share_plan plan;
  std::vector<set_search> searches;
  searches.reserve(current.size());
  for (std::size_t set = 0; set < current.size(); ++set) {
    searches.emplace_back(shape, current[set], loads[set]);
    plan.peak_before += searches.back().Peak();
    plan.mean += searches.back().Mean();
  }
  std::vector<int> left(static_cast<std::size_t>(shape.ranks), shape.new_per_rank);
  std::vector<bool> done(current.size(), false);
  for (;;) {
    std::size_t worst = searches.size();
    for (std::size_t set = 0; set < searches.size(); ++set) {
      if (done[set])
        continue;
      if (worst == searches.size() || searches[set].Peak() > searches[worst].Peak())
        worst = set;
    }
    if (worst == searches.size())
      break;
    set_search& search = searches[worst];
    const bool good = search.Peak() <= search.Mean() * (1 + limits.good_enough);
    const auto best = good ? std::nullopt : search.Best(left, limits.least_gain);
    if (!best) {
      done[worst] = true;
      continue;
    }
    search.Apply(*best, left);
  }
  for (const set_search& search : searches) {
    plan.sets.push_back(search.holders());
    plan.peak_after += search.Peak();
    plan.loaded += search.CountLoaded();
  }
  return plan;
}

}  // namespace quincebank
