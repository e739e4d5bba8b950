#include <algorithm>
#include <array>
#include <cstdio>

#include "experiments.h"
#include "simulation.h"

namespace quincebank::bench {
namespace {

struct population {
  std::uint64_t workspaces = 0;
  std::uint64_t large = 0;
  double load = 0;        ///< Load of all workspaces together.
  double small_load = 0;  ///< Part of it that comes from the small ones.
};

constexpr std::array kPopulations{population{10, 3, 3.0, 0.3}, population{1'000, 10, 3.0, 0.3},
                                  population{50'000, 10, 3.0, 0.3}};
constexpr std::array kPolicies{policy_kind::kNoLimit, policy_kind::kFixedAtKnee,
                               policy_kind::kGate};

struct class_result {
  std::uint64_t requests = 0;
  std::uint64_t good = 0;

  [[nodiscard]] double Share() const {
    return requests == 0 ? 0 : static_cast<double>(good) / static_cast<double>(requests);
  }
};

}  // namespace

void RunFairness(std::uint64_t seed) {
  std::printf(
      "\nFairness: all workspaces have the same weight; the large ones ask for 2.7 times the "
      "capacity,"
      "\nthe small ones together for 0.3. Share of requests answered in time; spread is the largest"
      "\nshare of answers among the large workspaces divided by the smallest.\n"
      "%-16s %10s %6s %8s %8s %8s\n",
      "policy", "workspaces", "large", "small", "large", "spread");
  for (const population& people : kPopulations) {
    for (const policy_kind kind : kPolicies) {
      run_settings settings;
      settings.seed = seed;
      settings.load = [&people](double) { return people.load; };
      settings.workspace = [&people](random_source& random) -> std::uint64_t {
        if (random.Unit() * people.load >= people.small_load)
          return random.Below(people.large);
        return people.large + random.Below(people.workspaces - people.large);
      };
      const run_result result = simulation(settings, MakePolicy(kind)).Run();
      class_result small;
      class_result large;
      std::uint64_t most = 0;
      std::uint64_t least = ~std::uint64_t{0};
      for (const auto& [workspace, counts] : result.workspaces) {
        class_result& own = workspace < people.large ? large : small;
        own.requests += counts.requests;
        own.good += counts.good;
        if (workspace < people.large) {
          most = std::max(most, counts.good);
          least = std::min(least, counts.good);
        }
      }
      std::printf(
          "%-16s %10d %6d %7.1f%% %7.1f%% %8.2f\n", ToString(kind),
          static_cast<int>(people.workspaces), static_cast<int>(people.large), small.Share() * 100,
          large.Share() * 100,
          static_cast<double>(most) / static_cast<double>(std::max<std::uint64_t>(least, 1)));
    }
  }
}

}  // namespace quincebank::bench
