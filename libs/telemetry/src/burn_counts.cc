#include "quincebank/telemetry/burn_counts.h"

#include <boost/json/array.hpp>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

namespace json = boost::json;

constexpr std::int64_t kLongestThresholdMs = 86'400'000;

json::object ToJson(const window_counts& window) {
  return {{"total", window.total}, {"failed", window.failed}, {"slow", window.slow}};
}

window_counts ReadWindow(json_reader& reader, std::string_view key) {
  window_counts window;
  reader.Child(key, [&](json_reader& child) {
    window.total = static_cast<std::uint64_t>(child.Int("total", {}));
    window.failed = static_cast<std::uint64_t>(child.Int("failed", {}));
    window.slow = static_cast<std::uint64_t>(child.Int("slow", {}));
    child.Finish();
  });
  return window;
}

/// Names a series; both parts together are unique.
struct series_name {
  std::string_view service;
  std::string_view workspace;

  [[nodiscard]] bool operator<(const series_name& other) const noexcept {
    return service != other.service ? service < other.service : workspace < other.workspace;
  }
};

series_name NameOf(const series_counts& series) noexcept {
  return {series.service, series.workspace};
}

}  // namespace

void window_counts::Merge(const window_counts& other) noexcept {
  total += other.total;
  failed += other.failed;
  slow += other.slow;
}

result<void> burn_counts::Merge(const burn_counts& other) {
  std::set<std::string_view> known_nodes;
  for (const counted_node& node : nodes)
    known_nodes.insert(node.name);
  for (const counted_node& node : other.nodes) {
    if (known_nodes.contains(node.name))
      return MakeError(error_code::kConflict, "node " + node.name + " is already included");
  }
  std::map<series_name, std::size_t> positions;
  for (std::size_t i = 0; i < series.size(); ++i)
    positions.emplace(NameOf(series[i]), i);
  for (const series_counts& added : other.series) {
    const auto found = positions.find(NameOf(added));
    if (found == positions.end() ||
        series[found->second].latency_threshold == added.latency_threshold)
      continue;
    return MakeError(error_code::kConflict,
                     "latency threshold of " + added.service + " differs between nodes");
  }
  // Names refer to the elements, so new ones are added only after the last look-up.
  std::vector<const series_counts*> fresh;
  for (const series_counts& added : other.series) {
    const auto found = positions.find(NameOf(added));
    if (found == positions.end()) {
      fresh.push_back(&added);
      continue;
    }
    series_counts& known = series[found->second];
    known.short_window.Merge(added.short_window);
    known.long_window.Merge(added.long_window);
    if (known.latency && added.latency) {
      known.latency->Merge(*added.latency);
    } else if (added.latency) {
      known.latency = added.latency;
    }
  }
  for (const series_counts* added : fresh)
    series.push_back(*added);
  nodes.insert(nodes.end(), other.nodes.begin(), other.nodes.end());
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

json::object ToJson(const burn_counts& counts) {
  json::array nodes;
  for (const counted_node& node : counts.nodes)
    nodes.push_back(json::object{{"name", node.name}, {"covered_s", node.covered.count()}});
  json::array series;
  for (const series_counts& one : counts.series) {
    json::object object{{"service", one.service},
                        {"workspace", one.workspace},
                        {"latency_threshold_ms", one.latency_threshold.count()},
                        {"short", ToJson(one.short_window)},
                        {"long", ToJson(one.long_window)}};
    if (one.latency)
      object.emplace("latency", one.latency->ToJson());
    series.push_back(std::move(object));
  }
  return {{"nodes", std::move(nodes)}, {"series", std::move(series)}};
}

result<burn_counts> BurnCountsFromJson(const json::value& value) {
  std::vector<error> errors;
  burn_counts counts;
  json_reader reader(value, "", errors);
  reader.Each("nodes", [&](json_reader& node) {
    counts.nodes.push_back({node.String("name"), seconds(node.Int("covered_s", {}))});
    node.Finish();
  });
  reader.Each("series", [&](json_reader& one) {
    series_counts series;
    series.service = one.String("service");
    series.workspace = one.String("workspace", "");
    series.latency_threshold =
        milliseconds(one.Int("latency_threshold_ms", {0, kLongestThresholdMs}));
    series.short_window = ReadWindow(one, "short");
    series.long_window = ReadWindow(one, "long");
    one.Child("latency", [&](json_reader& child) {
      series.latency = histogram_counts::FromJson(child);
      child.Finish();
    });
    one.Finish();
    counts.series.push_back(std::move(series));
  });
  reader.Finish();
  if (!errors.empty())
    return JoinErrors(errors);
  return counts;
}

}  // namespace quincebank
