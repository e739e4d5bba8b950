#include "quincebank/entry/entry_metrics.h"

namespace quincebank {
namespace {

constexpr double kPercent = 100.0;

}  // namespace

void entry_metrics::Record(const request_outcome& request,
                           const objective_table* objectives,
                           time_point now) {
  const std::string service(request.service);
  registry_
      .AddCounter({"quincebank_requests_total",
                   "Forwarded requests by verdict.",
                   {{"service", service},
                    {"verdict", std::string(ToString(request.outcome))},
                    {"answered", request.answered ? "yes" : "no"}}})
      .Add();
  if (request.answered) {
    registry_
        .AddHistogram({"quincebank_first_byte_seconds",
                       "Time to the first byte of an answer's body.",
                       {{"service", service}}})
        .Record(request.first_byte);
    registry_
        .AddHistogram(
            {"quincebank_request_seconds", "Time to a whole answer.", {{"service", service}}})
        .Record(request.total);
  }
  if (objectives == nullptr || request.caller_fault)
    return;
  if (request.answered) {
    objectives->RecordServed(request.service, request.workspace, request.first_byte, now);
  } else {
    objectives->RecordFailed(request.service, request.workspace, now);
  }
}

std::string entry_metrics::Text(std::uint64_t config_version, const control_bytes& bytes) {
  SetControlGauges(registry_, bytes);
  config_version_.Set(static_cast<std::int64_t>(config_version));
  return ToPrometheusText(registry_.Snapshot());
}

std::vector<objective> ObjectivesOf(const effective_config& config) {
  std::vector<objective> objectives;
  for (const objective_config& from : config.objectives()) {
    objectives.push_back({from.service, from.workspace, from.availability, from.latency_threshold,
                          from.latency_percent / kPercent});
  }
  return objectives;
}

}  // namespace quincebank
