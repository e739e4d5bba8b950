#include "quincebank/experts/plan_json.h"

#include <boost/json/array.hpp>
#include <limits>
#include <string>
#include <utility>

#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

namespace json = boost::json;

constexpr std::int64_t kMaxInt = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t kMaxDimension = 65'535;
constexpr std::int64_t kMaxSpeedSample = 1'000'000;

template <typename T>
json::array ToArray(const std::vector<T>& values) {
  json::array array;
  array.reserve(values.size());
  for (const T value : values)
    array.emplace_back(static_cast<std::int64_t>(value));
  return array;
}

/// Reads whole numbers; `reader` reports a wrong element under `key`.
template <typename T>
std::vector<T> ReadArray(const json::object& object,
                         std::string_view key,
                         json_reader& reader,
                         std::int64_t max) {
  std::vector<T> values;
  const json::value* const value = object.if_contains(key);
  if (value == nullptr || !value->is_array()) {
    reader.Fail(key, "expected an array of whole numbers");
    return values;
  }
  values.reserve(value->get_array().size());
  for (const json::value& element : value->get_array()) {
    boost::system::error_code ec;
    const auto number = element.to_number<std::int64_t>(ec);
    if (ec || number < 0 || number > max) {
      reader.Fail(key, "expected whole numbers from 0 to " + std::to_string(max));
      return values;
    }
    values.push_back(static_cast<T>(number));
  }
  return values;
}

template <typename Visit>
void EachObject(const json::object& object, std::string_view key, const Visit& visit) {
  const json::value* const value = object.if_contains(key);
  if (value == nullptr || !value->is_array())
    return;
  for (const json::value& element : value->get_array()) {
    if (element.is_object())
      visit(element.get_object());
  }
}

group_shape ReadShape(json_reader& parent) {
  group_shape shape;
  parent.Child("shape", [&](json_reader& reader) {
    shape.layers = static_cast<int>(reader.Int("layers", {1, kMaxDimension}));
    shape.ranks = static_cast<int>(reader.Int("ranks", {1, kMaxDimension}));
    shape.experts = static_cast<int>(reader.Int("experts", {1, kMaxDimension}));
    shape.slots_per_rank = static_cast<int>(reader.Int("slots_per_rank", {1, kMaxDimension}));
    reader.Finish();
  });
  return shape;
}

json::object ShapeToJson(const group_shape& shape) {
  return {{"layers", shape.layers},
          {"ranks", shape.ranks},
          {"experts", shape.experts},
          {"slots_per_rank", shape.slots_per_rank}};
}

expert_map ReadMap(const json::object& object, json_reader& reader) {
  expert_map map;
  map.shape = ReadShape(reader);
  EachObject(object, "layers", [&](const json::object& layer) {
    map.layers.push_back({ReadArray<expert_index>(layer, "experts", reader, kMaxDimension),
                          ReadArray<std::uint16_t>(layer, "shares", reader, kShareUnit)});
  });
  return map;
}

json::array HistoriesToJson(const std::vector<speed_history>& histories) {
  json::array array;
  for (const speed_history& history : histories) {
    array.push_back(json::object{{"samples", ToArray(history.samples)},
                                 {"before", history.before},
                                 {"missed", history.missed},
                                 {"noise", history.noise},
                                 {"group_noise", history.group_noise},
                                 {"after_jump", history.after_jump}});
  }
  return array;
}

std::vector<speed_history> ReadHistories(const json::object& object, json_reader& parent) {
  std::vector<speed_history> histories;
  parent.Each("speed_histories", [&](json_reader& reader) {
    const json::value& entry = object.at("speed_histories").get_array()[histories.size()];
    speed_history& history = histories.emplace_back();
    if (!entry.is_object())
      return;
    history.samples =
        ReadArray<std::int64_t>(entry.get_object(), "samples", reader, kMaxSpeedSample);
    history.before = reader.Int("before", {0, kMaxSpeedSample});
    history.missed = reader.Int("missed", {0, kMaxInt});
    history.noise = reader.Int("noise", {1, kMaxSpeedSample});
    history.group_noise = reader.Int("group_noise", {0, kMaxSpeedSample});
    history.after_jump = reader.Bool("after_jump", false);
  });
  return histories;
}

/// The estimate is a part of the decision, so it is replayed and compared as well.
void AddEstimatedSpeeds(json::object& outcome, const plan_input& input) {
  if (!input.speed_histories.empty())
    outcome["speeds"] = ToArray(input.speeds);
}

/// One number of the settings, found by a pointer to its member.
struct count_field {
  const char* key;
  std::int64_t rebalance_settings::*member;
};
struct time_field {
  const char* key;
  nanoseconds rebalance_settings::*member;
};
constexpr count_field kCounts[] = {
    {"expert_bytes", &rebalance_settings::expert_bytes},
    {"horizon_steps", &rebalance_settings::horizon_steps},
    {"min_gain_permille", &rebalance_settings::min_gain_permille},
    {"min_steps_between_changes", &rebalance_settings::min_steps_between_changes},
    {"max_moves_per_layer", &rebalance_settings::max_moves_per_layer},
};
constexpr time_field kTimes[] = {
    {"cost_per_megabyte_ns", &rebalance_settings::cost_per_megabyte},
    {"switch_cost_ns", &rebalance_settings::switch_cost},
    {"time_per_token_ns", &rebalance_settings::time_per_token},
};

}  // namespace

json::object ToJson(const expert_map& map) {
  json::array layers;
  for (const layer_map& layer : map.layers) {
    layers.push_back(
        json::object{{"experts", ToArray(layer.experts)}, {"shares", ToArray(layer.shares)}});
  }
  return {{"shape", ShapeToJson(map.shape)}, {"layers", std::move(layers)}};
}

result<expert_map> ExpertMapFromJson(const json::value& value) {
  std::vector<error> errors;
  json_reader reader(value, "", errors);
  expert_map map;
  if (value.is_object())
    map = ReadMap(value.get_object(), reader);
  if (errors.empty() && !IsComplete(map))
    reader.Fail("layers", "the map doesn't serve every expert once");
  if (!errors.empty())
    return JoinErrors(errors);
  return map;
}

json::object ToJson(const group_shape& shape, const plan_input& input) {
  json::object settings;
  for (const count_field& field : kCounts)
    settings[field.key] = input.settings.*field.member;
  for (const time_field& field : kTimes)
    settings[field.key] = (input.settings.*field.member).count();
  json::array popularity;
  for (const layer_popularity& layer : input.popularity) {
    popularity.push_back(json::object{{"smoothed", ToArray(layer.smoothed)},
                                      {"recent", ToArray(layer.recent)},
                                      {"error", ToArray(layer.error)}});
  }
  json::object object{{"shape", ShapeToJson(shape)},
                      {"settings", std::move(settings)},
                      {"speeds", ToArray(input.speeds)},
                      {"popularity", std::move(popularity)},
                      {"steps_since_change", input.steps_since_change}};
  if (!input.speed_histories.empty())
    object["speed_histories"] = HistoriesToJson(input.speed_histories);
  if (!input.current.layers.empty())
    object["current"] = ToJson(input.current);
  return object;
}

json::object ToJson(const plan_outcome& outcome) {
  json::object object{{"reason", ToString(outcome.reason)},
                      {"change", outcome.change},
                      {"loaded_weights", outcome.loaded_weights},
                      {"loaded_bytes", outcome.loaded_bytes},
                      {"step_before_ns", outcome.step_before.count()},
                      {"step_after_ns", outcome.step_after.count()},
                      {"saved_ns", outcome.saved.count()},
                      {"cost_ns", outcome.cost.count()}};
  if (outcome.change)
    object["map"] = ToJson(outcome.map);
  return object;
}

result<recorded_plan> PlanInputFromJson(const json::object& object) {
  std::vector<error> errors;
  const json::value value = object;
  json_reader reader(value, "", errors);
  recorded_plan plan;
  plan.shape = ReadShape(reader);
  reader.Child("settings", [&](json_reader& settings) {
    for (const count_field& field : kCounts)
      plan.input.settings.*field.member = settings.Int(field.key, {0, kMaxInt});
    for (const time_field& field : kTimes)
      plan.input.settings.*field.member = nanoseconds(settings.Int(field.key, {0, kMaxInt}));
    settings.Finish();
  });
  plan.input.speeds = ReadArray<std::int64_t>(object, "speeds", reader, kMaxInt);
  plan.input.speed_histories = ReadHistories(object, reader);
  EachObject(object, "popularity", [&](const json::object& layer) {
    plan.input.popularity.push_back({ReadArray<std::int64_t>(layer, "smoothed", reader, kMaxInt),
                                     ReadArray<std::int64_t>(layer, "recent", reader, kMaxInt),
                                     ReadArray<std::int64_t>(layer, "error", reader, kMaxInt)});
  });
  plan.input.steps_since_change = reader.Int("steps_since_change", {0, kMaxInt});
  reader.Child("current", [&](json_reader& current) {
    plan.input.current = ReadMap(object.at("current").get_object(), current);
  });
  if (!errors.empty())
    return JoinErrors(errors);
  return plan;
}

decision_record RecordPlan(std::string group,
                           const group_shape& shape,
                           const plan_input& input,
                           const plan_outcome& outcome) {
  decision_record record;
  record.request = std::move(group);
  record.kind = kPlanRecordKind;
  record.input = ToJson(shape, input);
  record.outcome = ToJson(outcome);
  AddEstimatedSpeeds(record.outcome, input);
  return record;
}

result<json::object> ReplayPlan(const decision_record& record) {
  if (record.kind != kPlanRecordKind)
    return MakeError(error_code::kInvalidArgument, "not a record of an expert map decision");
  BOOST_OUTCOME_TRY(recorded_plan plan, PlanInputFromJson(record.input));
  if (!plan.input.speed_histories.empty())
    plan.input.speeds = EstimateSpeeds(plan.input.speed_histories);
  BOOST_OUTCOME_TRY(const plan_outcome outcome, PlanRebalance(plan.shape, plan.input));
  json::object replayed = ToJson(outcome);
  AddEstimatedSpeeds(replayed, plan.input);
  return replayed;
}

}  // namespace quincebank
