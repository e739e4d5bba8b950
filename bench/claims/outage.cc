#include "outage.h"

#include <cmath>

#include "quincebank/base/random.h"

namespace quincebank::bench {
namespace {

constexpr std::size_t kOutages = 200;
constexpr double kRetryAfter = 30.0;  // Seconds between two calls for a rejected order.
constexpr double kDay = 86'400.0;

double Exponential(random_source& random, double mean) {
  return -std::log(1.0 - random.Unit()) * mean;
}

}  // namespace

outage_result RunOutage(const outage_case& settings, std::uint64_t seed) {
  random_source random(seed);
  outage_result total;
  const double length = std::chrono::duration<double>(settings.outage).count();
  const double mean_retry = std::chrono::duration<double>(settings.mean_retry_delay).count();
  const double restart_mean = kDay / settings.agent_restarts_per_day;
  double orders = 0;
  for (std::size_t i = 0; i < kOutages; ++i) {
    double at = 0;
    while ((at += Exponential(random, 1.0 / static_cast<double>(settings.orders_per_second))) <
           length) {
      ++orders;
      const double calls = std::ceil((length - at) / kRetryAfter);
      total.rejected += calls;
      total.mean_delay_s += calls * kRetryAfter;
      // Served from memory alone: a retry finds its answer unless the agent has restarted.
      const bool retried = random.Unit() < settings.lost_answers;
      if (!retried)
        continue;
      const bool restarted = Exponential(random, restart_mean) < Exponential(random, mean_retry);
      if (!restarted)
        continue;
      ++total.run_twice;
    }
  }
  total.mean_delay_s /= orders;
  total.rejected /= kOutages;
  total.run_twice /= kOutages;
  return total;
}

}  // namespace quincebank::bench
