#include <array>
#include <cstdio>
#include <numeric>

#include "experiments.h"
#include "simulation.h"

namespace quincebank::bench {
namespace {

constexpr double kLoad = 0.8;
constexpr double kDuration = 180;
constexpr double kCrashAt = 60;
constexpr std::size_t kWindow = 10;  // seconds
constexpr double kRecovered = 0.9;
constexpr std::array kPolicies{policy_kind::kNoLimit, policy_kind::kFixedAtKnee,
                               policy_kind::kGate};

/// Returns the seconds from `from` until a window of 10 s has 90% of the offered load answered.
int SecondsToRecover(const run_result& result, std::size_t from) {
  const double wanted = kRecovered * kLoad * kCapacity * kWindow;
  const auto& good = result.good_per_second;
  for (std::size_t second = from; second + kWindow <= good.size(); ++second) {
    const auto begin = good.begin() + static_cast<std::ptrdiff_t>(second);
    if (std::accumulate(begin, begin + kWindow, 0.0) >= wanted)
      return static_cast<int>(second - from);
  }
  return -1;
}

}  // namespace

void RunColdStart(std::uint64_t seed) {
  std::printf(
      "\nCold start: load 0.8 on an upstream that is cold at 0 s, and on a warm one that crashes at"
      "\n60 s (down for 5 s, then cold). Crashes include that one; recovered is the time until "
      "90%% of"
      "\nthe load is answered over 10 s, -1 for never; 180 s.\n"
      "%-16s %-18s %8s %9s %10s\n",
      "policy", "upstream", "crashes", "answered", "recovered");
  for (const policy_kind kind : kPolicies) {
    for (const bool cold : {true, false}) {
      run_settings settings;
      settings.seed = seed;
      settings.duration = kDuration;
      settings.measure_from = cold ? 0 : kCrashAt;
      settings.load = [](double) { return kLoad; };
      settings.cold = cold;
      if (!cold)
        settings.crash_at = kCrashAt;
      const run_result result = simulation(settings, MakePolicy(kind)).Run();
      std::printf("%-16s %-18s %8d %8.1f%% %9ds\n", ToString(kind),
                  cold ? "cold at the start" : "crash at 60 s", static_cast<int>(result.crashes),
                  static_cast<double>(result.good) / static_cast<double>(result.requests) * 100,
                  SecondsToRecover(result, cold ? 0 : static_cast<std::size_t>(kCrashAt)));
    }
  }
}

}  // namespace quincebank::bench
