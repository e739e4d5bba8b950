#include <array>
#include <cstdio>

#include "experiments.h"
#include "simulation.h"

namespace quincebank::bench {
namespace {

constexpr std::array kLoads{0.5, 0.8, 1.0, 1.25, 1.5, 2.0, 2.5, 3.0};
constexpr std::array kPolicies{policy_kind::kNoLimit, policy_kind::kFixedTooHigh,
                               policy_kind::kFixedAtKnee, policy_kind::kGate};
constexpr std::uint64_t kSeeds = 3;

}  // namespace

void RunGoodput(std::uint64_t seed) {
  std::printf(
      "\nGoodput: work answered within its deadline, in multiples of the capacity (mean of %d "
      "seeds,"
      "\n300 s each); waste is work done for answers that came too late; p95 of answered "
      "requests.\n"
      "%-16s %6s %8s %8s %9s %8s\n",
      static_cast<int>(kSeeds), "policy", "load", "goodput", "waste", "rejected", "p95 s");
  for (const policy_kind kind : kPolicies) {
    for (const double load : kLoads) {
      double goodput = 0;
      double waste = 0;
      double rejected = 0;
      double p95 = 0;
      for (std::uint64_t i = 0; i < kSeeds; ++i) {
        run_settings settings;
        settings.seed = seed + i;
        settings.load = [load](double) { return load; };
        const run_result result = simulation(settings, MakePolicy(kind)).Run();
        goodput += result.Goodput(settings) / kSeeds;
        waste +=
            result.wasted_work / (settings.duration - settings.measure_from) / kCapacity / kSeeds;
        rejected +=
            static_cast<double>(result.rejected) / static_cast<double>(result.requests) / kSeeds;
        p95 += result.P95() / kSeeds;
      }
      std::printf("%-16s %6.2f %8.3f %8.3f %8.1f%% %8.2f\n", ToString(kind), load, goodput, waste,
                  rejected * 100, p95);
    }
  }
}

}  // namespace quincebank::bench
