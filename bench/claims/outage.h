#pragma once

#include <cstddef>
#include <cstdint>

#include "quincebank/base/time.h"

namespace quincebank::bench {

/// \brief Orders of one outage of the key-value service, under two rules.
struct outage_case {
  std::chrono::minutes outage{10};
  std::uint64_t orders_per_second = 10;
  double lost_answers = 0.01;  ///< Share of orders whose answer does not reach the caller.
  std::chrono::minutes mean_retry_delay{10};
  double agent_restarts_per_day = 93.0 / 1020.0;  ///< Failures and restarts over all hosts.
};

struct outage_result {
  double rejected = 0;      ///< Rule "reject": calls rejected as not run.
  double mean_delay_s = 0;  ///< Rule "reject": wait of an order that is retried until it runs.
  double run_twice = 0;     ///< Rule "agent memory": orders run twice.
};

/// \brief Simulates many outages; results are means over one outage.
[[nodiscard]] outage_result RunOutage(const outage_case& settings, std::uint64_t seed);

}  // namespace quincebank::bench
