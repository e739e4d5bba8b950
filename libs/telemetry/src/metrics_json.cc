#include <boost/json/array.hpp>
#include <utility>

#include "quincebank/base/json_reader.h"
#include "quincebank/telemetry/metrics.h"

namespace quincebank {
namespace {

namespace json = boost::json;

json::object Member(const metric_id& id, json::value value) {
  json::object labels;
  for (const metric_label& label : id.labels)
    labels.emplace(label.name, label.value);
  return {{"name", id.name},
          {"help", id.help},
          {"labels", std::move(labels)},
          {"value", std::move(value)}};
}

metric_id ReadId(json_reader& reader, const json::value& object) {
  metric_id id;
  id.name = reader.String("name");
  id.help = reader.String("help", "");
  reader.Child("labels", [&](json_reader& labels) {
    for (const json::key_value_pair& member : object.at("labels").get_object()) {
      id.labels.push_back(
          {std::string(member.key()), labels.String(std::string_view(member.key()), "")});
    }
  });
  return id;
}

}  // namespace

json::object ToJson(const metrics_snapshot& snapshot) {
  json::array counters;
  for (const counter_value& value : snapshot.counters)
    counters.push_back(Member(value.id, value.value));
  json::array gauges;
  for (const gauge_value& value : snapshot.gauges)
    gauges.push_back(Member(value.id, value.value));
  json::array histograms;
  for (const histogram_value& value : snapshot.histograms)
    histograms.push_back(Member(value.id, value.counts.ToJson()));
  return {{"counters", std::move(counters)},
          {"gauges", std::move(gauges)},
          {"histograms", std::move(histograms)}};
}

result<metrics_snapshot> MetricsFromJson(const json::value& value) {
  std::vector<error> errors;
  metrics_snapshot snapshot;
  json_reader reader(value, "", errors);
  // `Each` skips elements that are no objects, so positions are counted on the array itself.
  const auto each = [&](std::string_view key, const auto& read) {
    std::size_t index = 0;
    reader.Each(key, [&](json_reader& element) {
      const json::array& elements = value.at(key).get_array();
      while (!elements.at(index).is_object())
        ++index;
      read(element, ReadId(element, elements.at(index++)));
      element.Finish();
    });
  };
  each("counters", [&](json_reader& element, metric_id id) {
    snapshot.counters.push_back(
        {std::move(id), static_cast<std::uint64_t>(element.Int("value", {}))});
  });
  each("gauges", [&](json_reader& element, metric_id id) {
    snapshot.gauges.push_back(
        {std::move(id), element.Int("value", {.min = std::numeric_limits<std::int64_t>::min()})});
  });
  each("histograms", [&](json_reader& element, metric_id id) {
    histogram_value histogram{std::move(id), {}};
    element.Child("value", [&](json_reader& child) {
      histogram.counts = histogram_counts::FromJson(child);
      child.Finish();
    });
    snapshot.histograms.push_back(std::move(histogram));
  });
  reader.Finish();
  if (!errors.empty())
    return JoinErrors(errors);
  return snapshot;
}

}  // namespace quincebank
