#pragma once

#include <array>
#include <cstddef>
#include <string>

#include "quincebank/placement/observation_exchange.h"
#include "quincebank/telemetry/metrics.h"

namespace quincebank {

/// \brief Metrics of one gateway process.
struct gateway_metrics {
  metrics_registry registry;
  counter& requests =
      registry.AddCounter({"quincebank_requests_total", "Requests of clients.", {}});
  counter& answered = registry.AddCounter(
      {"quincebank_answered_total", "Requests answered with an upstream's answer.", {}});
  counter& refused = registry.AddCounter(
      {"quincebank_refused_total", "Requests refused that no upstream has run.", {}});
  counter& failed = registry.AddCounter(
      {"quincebank_failed_total", "Requests that failed and may have run.", {}});
  counter& rejected = registry.AddCounter(
      {"quincebank_rejected_total", "Requests with an unknown route or API key.", {}});
  counter& blocked =
      registry.AddCounter({"quincebank_blocked_total",
                           "Requests refused since one of their prompt segments crashes upstreams.",
                           {}});
  counter& abandoned =
      registry.AddCounter({"quincebank_abandoned_total", "Requests whose client left first.", {}});
  counter& retries = registry.AddCounter(
      {"quincebank_repeats_total", "Attempts after the first one of a request.", {}});
  counter& resumed_streams = registry.AddCounter(
      {"quincebank_streams_resumed_total", "Streams that went on at another upstream.", {}});
  counter& skipped_events =
      registry.AddCounter({"quincebank_stream_events_skipped_total",
                           "Events of resumed streams that the client had already.",
                           {}});
  counter& dropped_events =
      registry.AddCounter({"quincebank_stream_events_dropped_total",
                           "Events held for their ids when the connection broke off.",
                           {}});
  counter& disordered_events =
      registry.AddCounter({"quincebank_stream_events_disordered_total",
                           "Events whose id is unreadable or not higher than the one before.",
                           {}});
  counter& unplaced_runs =
      registry.AddCounter({"quincebank_stream_runs_rejected_total",
                           "Answers to resumed streams that did not continue after the last event.",
                           {}});
  counter& load_queries =
      registry.AddCounter({"quincebank_engines_asked_total",
                           "Choices for which engines told their present loads.",
                           {}});
  counter& lookups =
      registry.AddCounter({"quincebank_lookups_total", "Look-ups of entry addresses.", {}});
  /// Observations sent to agents, by `observation_kind`.
  std::array<counter*, kObservationKinds> observations_sent =
      AddCounters<observation_kind, kObservationKinds>(
          "quincebank_observations_sent_total",
          "Observations of upstreams sent to their agents.",
          "kind");
  /// Reports of other entries, by `report_decision`.
  std::array<counter*, kReportDecisions> reports = AddCounters<report_decision, kReportDecisions>(
      "quincebank_upstream_reports_total",
      "Loads with observations of other entries, by whether they are accepted or why not.",
      "decision");
  gauge& config_version = registry.AddGauge(
      {"quincebank_config_version", "Version of the configuration in force.", {}});
  counter& store_restores = registry.AddCounter(
      {"quincebank_store_restores_total",
       "Restores of the store from an older copy that this process has followed.",
       {}});
  gauge& store_era =
      registry.AddGauge({"quincebank_store_era", "Era of the store's content in use.", {}});
  gauge& in_flight =
      registry.AddGauge({"quincebank_in_flight", "Requests that are being handled.", {}});
  gauge& buffered_bytes = registry.AddGauge(
      {"quincebank_buffered_bytes", "Bytes that are reserved in the memory budget.", {}});
  gauge& buffered_bytes_limit = registry.AddGauge(
      {"quincebank_buffered_bytes_limit", "Memory budget of the process in bytes.", {}});
  gauge& memory_rejections =
      registry.AddGauge({"quincebank_memory_rejections",
                         "Requests rejected since the memory budget was used up.",
                         {}});
  gauge& evicted_bodies = registry.AddGauge(
      {"quincebank_evicted_bodies", "Incomplete bodies evicted while memory was short.", {}});
  gauge& closed_connections = registry.AddGauge(
      {"quincebank_closed_connections", "Client connections closed to keep within the limit.", {}});
  latency_histogram& first_byte_time = registry.AddHistogram(
      {"quincebank_first_byte_seconds", "Time to the first byte of an answer's body.", {}});
  latency_histogram& total_time =
      registry.AddHistogram({"quincebank_request_seconds", "Time to the end of an answer.", {}});

 private:
  /// \brief Adds a counter for each value of an enum.
  template <typename Enum, std::size_t Values>
  std::array<counter*, Values> AddCounters(const std::string& name,
                                           const std::string& help,
                                           const std::string& label) {
    std::array<counter*, Values> counters{};
    for (std::size_t i = 0; i < Values; ++i) {
      counters[i] = &registry.AddCounter(
          {name, help, {{label, std::string(ToString(static_cast<Enum>(i)))}}});
    }
    return counters;
  }
};

}  // namespace quincebank
