#include <algorithm>
#include <array>
#include <cstdio>
#include <numeric>

#include "experiments.h"
#include "simulation.h"

namespace quincebank::bench {
namespace {

constexpr double kDuration = 180;
constexpr double kEventAt = 60;
constexpr std::size_t kWindow = 10;  // seconds
constexpr double kRecovered = 0.9;
constexpr std::uint64_t kSeeds = 20;
constexpr std::array kPolicies{policy_kind::kNoLimit, policy_kind::kFixedAtKnee,
                               policy_kind::kGate};

struct cold_case {
  const char* name;
  double load;
  double from;  ///< Time of the event; requests count from here on.
  void (*prepare)(run_settings&);
};

constexpr std::array kCases{
    cold_case{"cold at the start", 0.8, 0, [](run_settings& run) { run.cold = true; }},
    cold_case{"crash at 60 s", 0.8, kEventAt, [](run_settings& run) { run.crash_at = kEventAt; }},
    cold_case{"unannounced", 0.5, kEventAt, [](run_settings& run) { run.turn_cold_at = kEventAt; }},
};

/// Returns the seconds from `from` until a window of 10 s has 90% of the offered load answered.
double SecondsToRecover(const run_result& result, const cold_case& given) {
  const double wanted = kRecovered * given.load * kCapacity * kWindow;
  const auto& good = result.good_per_second;
  const auto from = static_cast<std::size_t>(given.from);
  for (std::size_t second = from; second + kWindow <= good.size(); ++second) {
    const auto begin = good.begin() + static_cast<std::ptrdiff_t>(second);
    if (std::accumulate(begin, begin + kWindow, 0.0) >= wanted)
      return static_cast<double>(second - from);
  }
  return kDuration - given.from;
}

}  // namespace

void RunColdStart(std::uint64_t seed) {
  std::printf(
      "\nCold start: an upstream that is cold at 0 s, one that crashes at 60 s (down for 5 s, then"
      "\ncold), and one that turns cold at 60 s without a new boot number; 180 s, %d seeds. Crashes"
      "\nper run include the one at 60 s; recovered is the time until 90%% of the load is answered "
      "over"
      "\n10 s, mean and worst, at most the rest of the run.\n"
      "%-16s %-18s %5s %8s %9s %10s %7s\n",
      static_cast<int>(kSeeds), "policy", "upstream", "load", "crashes", "answered", "recovered",
      "worst");
  for (const policy_kind kind : kPolicies) {
    for (const cold_case& given : kCases) {
      double crashes = 0;
      double answered = 0;
      double recovered = 0;
      double worst = 0;
      for (std::uint64_t i = 0; i < kSeeds; ++i) {
        run_settings settings;
        settings.seed = seed + i;
        settings.duration = kDuration;
        settings.measure_from = given.from;
        settings.load = [&given](double) { return given.load; };
        given.prepare(settings);
        const run_result result = simulation(settings, MakePolicy(kind)).Run();
        crashes += static_cast<double>(result.crashes) / kSeeds;
        answered +=
            static_cast<double>(result.good) / static_cast<double>(result.requests) / kSeeds;
        const double taken = SecondsToRecover(result, given);
        recovered += taken / kSeeds;
        worst = std::max(worst, taken);
      }
      std::printf("%-16s %-18s %5.1f %8.2f %8.1f%% %9.1fs %6.0fs\n", ToString(kind), given.name,
                  given.load, crashes, answered * 100, recovered, worst);
    }
  }
}

}  // namespace quincebank::bench
