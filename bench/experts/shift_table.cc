#include "shift_table.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <numeric>
#include <utility>
#include <vector>

#include "quincebank/base/clock.h"
#include "quincebank/base/random.h"
#include "quincebank/experts/even_share_plan.h"

namespace quincebank::bench {
namespace {

using set_loads = std::vector<std::vector<double>>;

struct group_size {
  even_share_shape shape;
  int sets = 1;
};

/// Groups of the deployments served so far, from the smallest to the largest.
constexpr group_size kGroups[] = {{{8, 64, 11, 4, 24}, 6},
                                  {{16, 64, 5, 3, 24}, 4},
                                  {{32, 128, 5, 2, 24}, 12},
                                  {{72, 144, 3, 2, 24}, 12},
                                  {{96, 192, 3, 2, 24}, 16}};

struct popularity {
  const char* name;
  double exponent;  ///< Of the power law.
  double hottest;   ///< Share of one expert beyond it.
};

constexpr popularity kPopularities[] = {{"zipf 0.3", 0.3, 0},
                                        {"zipf 0.5", 0.5, 0},
                                        {"zipf 0.8", 0.8, 0},
                                        {"zipf 1.2", 1.2, 0},
                                        {"hot expert", 0.5, 0.1}};

/// Part of the experts that change places in popularity with a shift.
constexpr double kShiftShare = 0.7;
constexpr int kShifts = 6;
constexpr int kPlansPerShift = 3;

class shifting_loads {
 public:
  shifting_loads(const group_size& group, const popularity& kind, random_source& random)
      : kind_(kind), random_(random), ranks_(static_cast<std::size_t>(group.sets)) {
    for (auto& ranking : ranks_) {
      ranking.resize(static_cast<std::size_t>(group.shape.experts));
      std::iota(ranking.begin(), ranking.end(), 0);
      Shuffle(ranking, 1);
    }
  }

  void Shift() {
    for (auto& ranking : ranks_)
      Shuffle(ranking, kShiftShare);
  }

  [[nodiscard]] set_loads Loads() const {
    set_loads loads;
    for (const auto& ranking : ranks_) {
      std::vector<double> of_set;
      of_set.reserve(ranking.size());
      for (const int place : ranking)
        of_set.push_back(std::pow(place + 1.0, -kind_.exponent));
      const double sum = std::accumulate(of_set.begin(), of_set.end(), 0.0);
      const auto first = std::find(ranking.begin(), ranking.end(), 0);
      of_set[static_cast<std::size_t>(first - ranking.begin())] +=
          sum * kind_.hottest / (1 - kind_.hottest);
      loads.push_back(std::move(of_set));
    }
    return loads;
  }

 private:
  void Shuffle(std::vector<int>& ranking, double share) {
    std::vector<std::size_t> moved;
    for (std::size_t i = 0; i < ranking.size(); ++i) {
      if (random_.Unit() < share)
        moved.push_back(i);
    }
    for (std::size_t i = moved.size(); i > 1; --i)
      std::swap(ranking[moved[i - 1]], ranking[moved[random_.Below(i)]]);
  }

  const popularity& kind_;
  random_source& random_;
  std::vector<std::vector<int>> ranks_;
};

/// Least possible sum of peaks: no rank gets less than the mean, none less than its part of an
/// expert that has as many holders as there are spare places.
double Bound(const group_size& group, const set_loads& loads) {
  double bound = 0;
  for (const auto& of_set : loads) {
    const double mean = std::accumulate(of_set.begin(), of_set.end(), 0.0) / group.shape.ranks;
    const int most = std::min(group.shape.ranks,
                              group.shape.ranks * group.shape.places - group.shape.experts + 1);
    bound += std::max(mean, *std::max_element(of_set.begin(), of_set.end()) / most);
  }
  return bound;
}

struct figures {
  double shifted = 0;
  double planned[kPlansPerShift] = {};
  double bound = 0;
  double worst = 0;
  double loads = 0;
  double milliseconds_used = 0;
  double longest = 0;
};

figures Measure(const group_size& group, const popularity& kind, std::uint64_t seed) {
  random_source random(seed);
  shifting_loads shifting(group, kind, random);
  std::vector<rank_experts> map(static_cast<std::size_t>(group.sets), InitialExperts(group.shape));
  figures sum;
  for (int shift = 0; shift < kShifts; ++shift) {
    if (shift > 0)
      shifting.Shift();
    const set_loads loads = shifting.Loads();
    for (int round = 0; round < kPlansPerShift; ++round) {
      const time_point begun = Now();
      const even_share_plan plan = PlanEvenShares(group.shape, map, loads);
      const double took = std::chrono::duration<double, std::milli>(Now() - begun).count();
      sum.longest = std::max(sum.longest, took);
      if (shift == 0) {
        map = plan.sets;
        continue;
      }
      sum.milliseconds_used += took / (kShifts - 1) / kPlansPerShift;
      if (round == 0)
        sum.shifted += plan.peak_before / plan.mean / (kShifts - 1);
      sum.planned[round] += plan.peak_after / plan.mean / (kShifts - 1);
      if (round + 1 == kPlansPerShift) {
        const double bound = Bound(group, loads);
        sum.bound += bound / plan.mean / (kShifts - 1);
        sum.worst = std::max(sum.worst, plan.peak_after / bound);
      }
      sum.loads += static_cast<double>(plan.loaded) / (kShifts - 1);
      map = plan.sets;
    }
  }
  return sum;
}

}  // namespace

void PrintShiftTable() {
  std::printf(
      "Peak of the sets over the mean: right after a shift of %.0f%% of the experts, after each "
      "of\n"
      "%d plans; the bound; the worst ratio to the bound after the last plan; experts loaded a\n"
      "shift; planning time, mean and longest.\n\n",
      kShiftShare * 100, kPlansPerShift);
  std::printf("%-6s %-11s %8s %8s %8s %8s %8s %8s %8s %8s %8s\n", "ranks", "popularity", "shifted",
              "plan 1", "plan 2", "plan 3", "bound", "worst", "loads", "ms", "max ms");
  for (const group_size& group : kGroups) {
    for (const popularity& kind : kPopularities) {
      const figures f = Measure(group, kind, 1);
      std::printf("%-6d %-11s %8.2f %8.2f %8.2f %8.2f %8.2f %8.2f %8.0f %8.2f %8.2f\n",
                  group.shape.ranks, kind.name, f.shifted, f.planned[0], f.planned[1], f.planned[2],
                  f.bound, f.worst, f.loads, f.milliseconds_used, f.longest);
    }
  }
}

}  // namespace quincebank::bench
