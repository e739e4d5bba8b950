#include "quincebank/experts/even_share_plan.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <optional>

#include "even_share_search.h"

namespace quincebank {
namespace {

// Experts that one rank may load, stage by stage.
constexpr std::array<int, 9> kStages{1, 2, 3, 4, 6, 8, 12, 16, 24};
// Passes take this much longer while ranks load experts.
constexpr double kLoadingSlowdown = 1.15;

/// Harm of a peak to the streams of a group. Passes that are a little longer go unnoticed; from
/// some length on all streams pause for too long between events.
double Harm(double peak, double mean, const even_share_limits& limits) {
  const double ratio = mean > 0 ? peak / mean : 1;
  const double excess = std::max(0.0, ratio - limits.slow_peak);
  return ratio + limits.slow_weight * excess * excess;
}

/// Expected harm over the horizon if the plan is carried out.
double Cost(const even_share_plan& plan, const even_share_limits& limits) {
  if (limits.horizon.count() <= 0)
    return Harm(plan.peak_after, plan.mean, limits);
  const auto part = [&](milliseconds time) {
    return std::min(
        1.0, static_cast<double>(time.count()) / static_cast<double>(limits.horizon.count()));
  };
  const double loading = part(plan.most_loads * limits.load_time);
  const double before = std::min(1.0, loading + part(limits.switch_time));
  const double harm_before = Harm(plan.peak_before, plan.mean, limits);
  const double harm_loading = Harm(plan.peak_before * kLoadingSlowdown, plan.mean, limits);
  return loading * harm_loading + (before - std::min(before, loading)) * harm_before +
         (1 - before) * Harm(plan.peak_after, plan.mean, limits);
}

/// Relieves the set with the highest peak until nothing helps any more.
void Relieve(std::vector<even_share_search>& searches,
             std::span<int> left,
             const even_share_limits& limits) {
  std::vector<bool> done(searches.size(), false);
  for (;;) {
    std::optional<std::size_t> worst;
    for (std::size_t set = 0; set < searches.size(); ++set) {
      if (done[set] || (worst && searches[set].Peak() <= searches[*worst].Peak()))
        continue;
      worst = set;
    }
    if (!worst)
      return;
    even_share_search& search = searches[*worst];
    const bool good = search.Peak() <= search.Mean() * (1 + limits.good_enough);
    done[*worst] = good || !search.Step(left);
  }
}

/// Fills free places while ranks may load; the sets take turns.
void FillPlaces(std::vector<even_share_search>& searches, std::vector<int> left) {
  bool filled = true;
  while (filled) {
    filled = false;
    for (even_share_search& search : searches)
      filled = search.Fill(left) || filled;
  }
}

void Describe(const std::vector<even_share_search>& searches, int ranks, even_share_plan& plan) {
  plan.peak_after = 0;
  plan.loaded = 0;
  plan.most_loads = 0;
  for (const even_share_search& search : searches)
    plan.peak_after += search.Peak();
  for (int rank = 0; rank < ranks; ++rank) {
    const int loads = std::accumulate(
        searches.begin(), searches.end(), 0,
        [&](int sum, const even_share_search& search) { return sum + search.NewOn(rank); });
    plan.loaded += loads;
    plan.most_loads = std::max(plan.most_loads, loads);
  }
}

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
  std::vector<even_share_search> searches;
  searches.reserve(current.size());
  for (std::size_t set = 0; set < current.size(); ++set) {
    searches.emplace_back(shape, current[set], loads[set]);
    plan.peak_before += searches.back().Peak();
    plan.mean += searches.back().Mean();
  }
  plan.peak_after = plan.peak_before;
  plan.sets = current;
  double least = Cost(plan, limits);
  std::vector<int> left(static_cast<std::size_t>(shape.ranks), 0);
  int allowed = 0;
  for (const int stage : kStages) {
    const int next = std::min(stage, shape.new_per_rank);
    if (next <= allowed)
      break;
    for (int& loads_left : left)
      loads_left += next - allowed;
    allowed = next;
    Relieve(searches, left, limits);
    // Later stages need the loads that filling takes.
    std::vector<even_share_search> filled = searches;
    FillPlaces(filled, left);
    even_share_plan staged = plan;
    Describe(filled, shape.ranks, staged);
    const double cost = Cost(staged, limits);
    if (cost >= least)
      continue;
    least = cost;
    for (std::size_t set = 0; set < filled.size(); ++set)
      staged.sets[set] = filled[set].holders();
    plan = std::move(staged);
  }
  return plan;
}

}  // namespace quincebank
