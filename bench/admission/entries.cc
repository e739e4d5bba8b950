#include <array>
#include <cstdio>
#include <string>

#include "experiments.h"
#include "simulation.h"

namespace quincebank::bench {
namespace {

constexpr std::array kLoads{0.8, 1.5, 3.0, 10.0};
constexpr std::array<std::size_t, 3> kEntries{0, 8, 400};

}  // namespace

void RunEntries(std::uint64_t seed) {
  std::printf(
      "\nEntries that follow rejections (gate, one service): attempts that reach the agent and "
      "goodput,"
      "\nboth in multiples of the capacity; held is the share of requests rejected by an entry "
      "itself.\n"
      "%8s %6s %9s %8s %8s\n",
      "entries", "load", "to agent", "held", "goodput");
  for (const std::size_t entries : kEntries) {
    for (const double load : kLoads) {
      run_settings settings;
      settings.seed = seed;
      settings.load = [load](double) { return load; };
      settings.following_entries = entries;
      const run_result result = simulation(settings, MakePolicy(policy_kind::kGate)).Run();
      const double span = (settings.duration - settings.measure_from) * kCapacity;
      std::printf("%8s %6.1f %9.2f %7.1f%% %8.3f\n",
                  entries == 0 ? "no rule" : std::to_string(entries).c_str(), load,
                  static_cast<double>(result.attempts - result.held) / span,
                  static_cast<double>(result.held) / static_cast<double>(result.requests) * 100,
                  result.Goodput(settings));
    }
  }
}

}  // namespace quincebank::bench
