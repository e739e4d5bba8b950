#include "quincebank/telemetry/metrics.h"

#include <algorithm>

namespace quincebank {
namespace {

bool SameMetric(const metric_id& a, const metric_id& b) noexcept {
  return a.name == b.name && a.labels == b.labels;
}

template <typename Value, typename Add>
void MergeValues(std::vector<Value>& into, const std::vector<Value>& from, const Add& add) {
  for (const Value& value : from) {
    const auto found = std::find_if(into.begin(), into.end(), [&](const Value& known) {
      return SameMetric(known.id, value.id);
    });
    if (found == into.end()) {
      into.push_back(value);
    } else {
      add(*found, value);
    }
  }
}

}  // namespace

void metrics_snapshot::Merge(const metrics_snapshot& other) {
  MergeValues(counters, other.counters,
              [](counter_value& a, const counter_value& b) { a.value += b.value; });
  MergeValues(gauges, other.gauges,
              [](gauge_value& a, const gauge_value& b) { a.value += b.value; });
  MergeValues(histograms, other.histograms,
              [](histogram_value& a, const histogram_value& b) { a.counts.Merge(b.counts); });
}

template <typename Metric>
Metric& metrics_registry::FindOrAdd(std::deque<named<Metric>>& metrics, const metric_id& id) {
  for (named<Metric>& known : metrics) {
    if (SameMetric(known.id, id))
      return known.metric;
  }
  return metrics.emplace_back(id).metric;
}

counter& metrics_registry::AddCounter(const metric_id& id) {
  const std::lock_guard lock(mutex_);
  return FindOrAdd(counters_, id);
}

gauge& metrics_registry::AddGauge(const metric_id& id) {
  const std::lock_guard lock(mutex_);
  return FindOrAdd(gauges_, id);
}

latency_histogram& metrics_registry::AddHistogram(const metric_id& id) {
  const std::lock_guard lock(mutex_);
  return FindOrAdd(histograms_, id);
}

metrics_snapshot metrics_registry::Snapshot() const {
  const std::lock_guard lock(mutex_);
  metrics_snapshot snapshot;
  for (const named<counter>& known : counters_)
    snapshot.counters.push_back({known.id, known.metric.Value()});
  for (const named<gauge>& known : gauges_)
    snapshot.gauges.push_back({known.id, known.metric.Value()});
  for (const named<latency_histogram>& known : histograms_)
    snapshot.histograms.push_back({known.id, known.metric.Counts()});
  return snapshot;
}

}  // namespace quincebank
