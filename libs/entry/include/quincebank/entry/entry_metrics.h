#pragma once

#include <string>
#include <string_view>

#include "quincebank/base/ref_counted.h"
#include "quincebank/base/time.h"
#include "quincebank/base/verdict.h"
#include "quincebank/config/effective_config.h"
#include "quincebank/node/node_control.h"
#include "quincebank/telemetry/metrics.h"
#include "quincebank/telemetry/objective_table.h"

namespace quincebank {

/// \brief How one forwarded request ended, as metrics and objectives count it.
struct request_outcome {
  std::string_view service;
  std::string_view workspace;
  verdict outcome = verdict::kNotRun;
  bool answered = false;
  bool caller_fault = false;  ///< Such as an unknown route; no objective counts it.
  nanoseconds first_byte{0};
  nanoseconds total{0};
};

/// \brief Metrics of an entry.
class entry_metrics {
 public:
  /// \brief Counts the request for the metrics and for the objectives in force.
  void Record(const request_outcome& request, const objective_table* objectives, time_point now);
  void CountRetry() { retries_.Add(); }
  void CountHedgeSent() { hedges_sent_.Add(); }
  void CountHedgeWon() { hedges_won_.Add(); }
  void CountHedgeRefused() { hedges_refused_.Add(); }
  void CountDecision() { decisions_.Add(); }

  /// \brief Returns the text exposition with the present values of the node's gauges.
  [[nodiscard]] std::string Text(std::uint64_t config_version, const control_bytes& bytes);

 private:
  metrics_registry registry_;
  counter& retries_ = registry_.AddCounter(
      {"quincebank_retries_total", "Attempts after the first one of a request.", {}});
  counter& hedges_sent_ =
      registry_.AddCounter({"quincebank_hedges_sent_total", "Second copies of slow requests.", {}});
  counter& hedges_won_ = registry_.AddCounter(
      {"quincebank_hedges_won_total", "Second copies that answered the caller.", {}});
  counter& hedges_refused_ = registry_.AddCounter(
      {"quincebank_hedges_refused_total",
       "Slow requests without a second copy, for lack of budget or of an upstream.",
       {}});
  counter& decisions_ =
      registry_.AddCounter({"quincebank_routing_decisions_total", "Routing decisions.", {}});
  gauge& config_version_ = registry_.AddGauge(
      {"quincebank_config_version", "Version of the configuration in force.", {}});
};

/// \brief Returns the objectives of a configuration in the form that burn rates use.
[[nodiscard]] std::vector<objective> ObjectivesOf(const effective_config& config);

}  // namespace quincebank
