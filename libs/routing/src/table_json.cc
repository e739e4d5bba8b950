#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <functional>

#include "columns.h"
#include "input_json.h"

namespace quincebank {
namespace {

namespace json = boost::json;

/// One text member of an upstream, stored as a list of distinct values and a column of positions.
struct text_column {
  std::string_view values_key;
  std::string_view key;
  std::string upstream::*member;
};

constexpr std::array<text_column, 3> kTextColumns{{
    {"failure_domains", "failure_domain", &upstream::failure_domain},
    {"regions", "region", &upstream::region},
    {"model_versions", "model_version", &upstream::model_version},
}};

/// Adapters of one upstream as one text; `TableFromJson` splits it again.
constexpr char kAdapterSeparator = '\n';

std::string JoinAdapters(const upstream& one) {
  std::string text;
  for (const std::string& adapter : one.adapters)
    text += adapter + kAdapterSeparator;
  return text;
}

std::vector<std::string> SplitLines(std::string_view text) {
  std::vector<std::string> lines;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(kAdapterSeparator), text.size());
    lines.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return lines;
}

void WriteTexts(json::object& object,
                const routing_table& table,
                std::string_view values_key,
                std::string_view key,
                const std::function<std::string(const upstream&)>& text_of) {
  std::vector<std::string> values;
  std::vector<std::int64_t> positions;
  for (const upstream& one : table.upstreams()) {
    const std::string text = text_of(one);
    const auto found = std::find(values.begin(), values.end(), text);
    positions.push_back(found - values.begin());
    if (found == values.end())
      values.push_back(text);
  }
  object[values_key] = json::array(values.begin(), values.end());
  object[key] = PackColumn(positions);
}

std::vector<std::int64_t> ReadColumn(json_reader& reader, std::string_view key, std::size_t count) {
  const auto values = UnpackColumn(reader.String(key, ""), count);
  if (values)
    return *values;
  reader.Fail(key, "expected a column of " + std::to_string(count) + " numbers");
  return std::vector<std::int64_t>(count, 0);
}

void ReadTexts(json_reader& reader,
               std::string_view values_key,
               std::string_view key,
               std::vector<upstream>& upstreams,
               const std::function<void(upstream&, const std::string&)>& set) {
  const std::vector<std::string> values = reader.Strings(values_key);
  const std::vector<std::int64_t> positions = ReadColumn(reader, key, upstreams.size());
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    if (positions[i] < 0 || static_cast<std::size_t>(positions[i]) >= values.size()) {
      reader.Fail(key, "position outside '" + std::string(values_key) + "'");
      return;
    }
    set(upstreams[i], values[static_cast<std::size_t>(positions[i])]);
  }
}

}  // namespace

json::object TableToJson(const routing_table& table) {
  json::object object;
  object["service"] = table.service();
  std::string ids;
  std::vector<std::int64_t> weights;
  std::vector<std::int64_t> states;
  for (const upstream& one : table.upstreams()) {
    ids += one.id + '\n';
    weights.push_back(one.weight);
    states.push_back(static_cast<std::int64_t>(one.state));
  }
  object["ids"] = ids;
  object["weight"] = PackColumn(weights);
  object["state"] = PackColumn(states);
  for (const text_column& column : kTextColumns) {
    WriteTexts(object, table, column.values_key, column.key,
               [&](const upstream& one) { return one.*column.member; });
  }
  WriteTexts(object, table, "adapter_sets", "adapters", JoinAdapters);
  return object;
}

ref_ptr<const routing_table> TableFromJson(json_reader& reader, std::vector<error>& errors) {
  std::string service = reader.String("service", "");
  std::vector<upstream> upstreams;
  for (std::string& id : SplitLines(reader.String("ids", "")))
    upstreams.push_back({.id = std::move(id)});
  const auto weights = ReadColumn(reader, "weight", upstreams.size());
  const auto states = ReadColumn(reader, "state", upstreams.size());
  constexpr auto kLastState = static_cast<std::int64_t>(upstream_state::kSuspected);
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    upstreams[i].weight = static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(weights[i], 0, routing_table::kMaxWeight + 1));
    if (states[i] < 0 || states[i] > kLastState) {
      reader.Fail("state", "unknown state");
      break;
    }
    upstreams[i].state = static_cast<upstream_state>(states[i]);
  }
  for (const text_column& column : kTextColumns) {
    ReadTexts(reader, column.values_key, column.key, upstreams,
              [&](upstream& one, const std::string& text) { one.*column.member = text; });
  }
  ReadTexts(reader, "adapter_sets", "adapters", upstreams,
            [](upstream& one, const std::string& text) { one.adapters = SplitLines(text); });
  reader.Finish();
  auto table = routing_table::Build(std::move(service), std::move(upstreams));
  if (!table.has_value()) {
    errors.push_back(table.error());
    errors.back().path = reader.path() + errors.back().path;
    return nullptr;
  }
  return table.value();
}

}  // namespace quincebank
