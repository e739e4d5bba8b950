#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <vector>

#include "experiments.h"
#include "quincebank/admission/hedge_policy.h"
#include "quincebank/base/random.h"

namespace quincebank::bench {
namespace {

constexpr int kRequests = 200'000;
constexpr std::size_t kUpstreams = 16;
constexpr double kTypicalMs = 100;

struct fleet_case {
  const char* name;
  std::size_t slow_upstreams;
  double slow_factor;
};

// One straggler, and all upstreams slow, which hedging cannot help and must not make worse.
constexpr std::array kFleets{fleet_case{"one straggler", 1, 20}, fleet_case{"all slow", 16, 20}};

struct hedge_case {
  const char* name;
  bool hedge;
  double ratio;
};

constexpr std::array kCases{hedge_case{"none", false, 0}, hedge_case{"budget 10%", true, 0.1},
                            hedge_case{"budget 1%", true, 0.01}};

double Latency(const fleet_case& fleet,
               std::size_t upstream,
               bool degraded,
               random_source& random) {
  const double factor = degraded && upstream < fleet.slow_upstreams ? fleet.slow_factor : 1;
  return kTypicalMs * factor * (0.5 + -std::log(1 - random.Unit()) / 2);
}

double Quantile(std::vector<double>& values, double quantile) {
  const auto position =
      static_cast<std::ptrdiff_t>(quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + position, values.end());
  return values[static_cast<std::size_t>(position)];
}

}  // namespace

void RunHedging(std::uint64_t seed) {
  std::printf(
      "\nHedging: 16 upstreams chosen at random, latencies without queueing; in the second half of "
      "the"
      "\nrun some are 20 times slower. Latencies of that half; copies are hedges per request.\n"
      "%-14s %-11s %8s %8s %8s %8s\n",
      "slow", "hedging", "p50 ms", "p95 ms", "p99 ms", "copies");
  for (const fleet_case& fleet : kFleets) {
    for (const hedge_case& given : kCases) {
      random_source random(seed);
      hedge_policy policy;
      retry_budget budget({.ratio = given.ratio});
      std::vector<double> latencies;
      latencies.reserve(kRequests / 2);
      int copies = 0;
      for (int i = 0; i < kRequests; ++i) {
        const bool degraded = i >= kRequests / 2;
        budget.OnRequest();
        const std::size_t first = random.Below(kUpstreams);
        const double latency = Latency(fleet, first, degraded, random);
        const std::size_t other = (first + 1 + random.Below(kUpstreams - 1)) % kUpstreams;
        const double repeated = Latency(fleet, other, degraded, random);
        double answered = latency;
        const auto delay = policy.Delay(true);
        const bool due = given.hedge && delay && latency > static_cast<double>(delay->count());
        if (due && policy.TryHedge(true, *delay, budget)) {
          ++copies;
          answered = std::min(latency, static_cast<double>(delay->count()) + repeated);
        }
        policy.Observe(milliseconds(static_cast<milliseconds::rep>(latency)));
        if (degraded)
          latencies.push_back(answered);
      }
      std::printf("%-14s %-11s %8.0f %8.0f %8.0f %7.2f%%\n", fleet.name, given.name,
                  Quantile(latencies, 0.5), Quantile(latencies, 0.95), Quantile(latencies, 0.99),
                  100.0 * copies / kRequests);
    }
  }
}

}  // namespace quincebank::bench
