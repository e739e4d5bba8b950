#include <array>
#include <cstdio>
#include <numeric>

#include "experiments.h"
#include "simulation.h"

namespace quincebank::bench {
namespace {

constexpr double kPulseFrom = 60;
constexpr double kPulseTo = 90;
constexpr double kPulseLoad = 2.0;
constexpr double kBaseLoad = 0.8;
constexpr double kLastFrom = 230;
constexpr double kDuration = 330;
constexpr std::array kPolicies{policy_kind::kNoLimit, policy_kind::kFixedAtKnee,
                               policy_kind::kGate};

struct repeat_case {
  const char* name;
  int attempts;
  bool budget;
};

constexpr std::array kRepeats{repeat_case{"none", 1, false}, repeat_case{"up to 3", 4, false},
                              repeat_case{"budget 10%", 4, true}};

}  // namespace

void RunRetries(std::uint64_t seed) {
  std::printf(
      "\nRetries: load 0.8, with a pulse of 2.0 from 60 s to 90 s. Attempts per request; requests"
      "\nanswered in time, overall and among those that arrived after 230 s.\n"
      "%-16s %-12s %9s %9s %11s\n",
      "policy", "repeats", "attempts", "answered", "after 230 s");
  for (const policy_kind kind : kPolicies) {
    for (const repeat_case& repeat : kRepeats) {
      run_settings settings;
      settings.seed = seed;
      settings.duration = kDuration;
      settings.load = [](double now) {
        return now >= kPulseFrom && now < kPulseTo ? kPulseLoad : kBaseLoad;
      };
      settings.max_attempts = repeat.attempts;
      settings.budget = repeat.budget;
      const run_result whole = simulation(settings, MakePolicy(kind)).Run();
      settings.measure_from = kLastFrom;
      const run_result last = simulation(settings, MakePolicy(kind)).Run();
      const auto requests = static_cast<double>(whole.requests);
      std::printf("%-16s %-12s %9.2f %8.1f%% %10.1f%%\n", ToString(kind), repeat.name,
                  static_cast<double>(whole.attempts) / requests,
                  static_cast<double>(whole.good) / requests * 100,
                  static_cast<double>(last.good) / static_cast<double>(last.requests) * 100);
    }
  }
}

}  // namespace quincebank::bench
