#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/telemetry/counter.h"
#include "quincebank/telemetry/histogram_counts.h"
#include "quincebank/telemetry/latency_histogram.h"

namespace quincebank {

/// \brief One label of a metric.
struct metric_label {
  std::string name;
  std::string value;

  [[nodiscard]] bool operator==(const metric_label&) const noexcept = default;
};

/// \brief Name, help text and labels of one metric.
struct metric_id {
  std::string name;
  std::string help;
  std::vector<metric_label> labels;
};

struct counter_value {
  metric_id id;
  std::uint64_t value = 0;
};

struct gauge_value {
  metric_id id;
  std::int64_t value = 0;
};

struct histogram_value {
  metric_id id;
  histogram_counts counts;
};

/// \brief All metrics of a node, or of several after merging, at one moment.
struct metrics_snapshot {
  std::vector<counter_value> counters;
  std::vector<gauge_value> gauges;
  std::vector<histogram_value> histograms;

  /// \brief Adds the values of metrics with the same name and labels.
  void Merge(const metrics_snapshot& other);
};

/// \brief Writes the Prometheus text exposition format, version 0.0.4. Latencies are in seconds.
[[nodiscard]] std::string ToPrometheusText(const metrics_snapshot& snapshot);

[[nodiscard]] boost::json::object ToJson(const metrics_snapshot& snapshot);
/// \returns The snapshot, or an error with the path of the first wrong value.
[[nodiscard]] result<metrics_snapshot> MetricsFromJson(const boost::json::value& value);

/// \brief Owns the metrics of a process.
///
/// Metrics are registered at startup and keep their address. Labels must have few values: services
/// and outcomes, not workspaces or requests.
///
/// \example
///   counter& rejected = registry.AddCounter({"quincebank_rejected_total", "Rejected requests.",
///                                            {{"reason", "deadline"}}});
///   rejected.Add();
class metrics_registry {
 public:
  /// \brief Returns the metric of this name and labels, and creates it if it is new.
  [[nodiscard]] counter& AddCounter(const metric_id& id);
  [[nodiscard]] gauge& AddGauge(const metric_id& id);
  [[nodiscard]] latency_histogram& AddHistogram(const metric_id& id);

  [[nodiscard]] metrics_snapshot Snapshot() const;

 private:
  template <typename Metric>
  struct named {
    explicit named(const metric_id& wanted) : id(wanted) {}

    metric_id id;
    Metric metric;
  };

  template <typename Metric>
  [[nodiscard]] static Metric& FindOrAdd(std::deque<named<Metric>>& metrics, const metric_id& id);

  mutable std::mutex mutex_;
  std::deque<named<counter>> counters_;
  std::deque<named<gauge>> gauges_;
  std::deque<named<latency_histogram>> histograms_;
};

}  // namespace quincebank
