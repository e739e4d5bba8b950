#include "input_json.h"

#include <array>
#include <boost/json/array.hpp>
#include <limits>

#include "columns.h"
#include "quincebank/routing/replay.h"

namespace quincebank {
namespace {

namespace json = boost::json;

/// Members of the settings that are times, in microseconds.
struct time_setting {
  std::string_view key;
  route_settings::microseconds route_settings::*member;
};

struct count_setting {
  std::string_view key;
  std::uint32_t route_settings::*member;
};

constexpr std::array<time_setting, 7> kTimes{{
    {"service_time_us", &route_settings::service_time},
    {"full_slowdown_us", &route_settings::full_slowdown},
    {"block_prefill_us", &route_settings::block_prefill},
    {"domain_penalty_us", &route_settings::domain_penalty},
    {"region_penalty_us", &route_settings::region_penalty},
    {"retry_domain_penalty_us", &route_settings::retry_domain_penalty},
    {"lost_domain_penalty_us", &route_settings::lost_domain_penalty},
}};
constexpr std::array<count_setting, 4> kCounts{{
    {"template_blocks", &route_settings::template_blocks},
    {"conversation_blocks", &route_settings::conversation_blocks},
    {"queue_percent", &route_settings::queue_percent},
    {"unknown_limit", &route_settings::unknown_limit},
}};
constexpr int_range kTimeRange{0, 3'600'000'000};
constexpr int_range kCountRange{0, 1'000'000};

/// Numbers of the loads, one column each.
struct load_column {
  std::string_view key;
  std::uint32_t upstream_load::*member;
};

constexpr std::array<load_column, 4> kLoadColumns{{
    {"in_flight", &upstream_load::in_flight},
    {"queued", &upstream_load::queued},
    {"limit", &upstream_load::limit},
    {"sent_since", &upstream_load::sent_since},
}};

struct flag_column {
  std::string_view key;
  bool upstream_load::*member;
};

constexpr std::array<flag_column, 2> kFlagColumns{{
    {"cold", &upstream_load::cold},
    {"closed", &upstream_load::closed},
}};

/// Texts of a request.
struct text_member {
  std::string_view key;
  std::string_view route_request::*from;
  std::string stored_route_input::*to;
};

constexpr std::array<text_member, 5> kTexts{{
    {"workspace", &route_request::workspace, &stored_route_input::workspace},
    {"model_version", &route_request::model_version, &stored_route_input::model_version},
    {"adapter", &route_request::adapter, &stored_route_input::adapter},
    {"failure_domain", &route_request::failure_domain, &stored_route_input::failure_domain},
    {"region", &route_request::region, &stored_route_input::region},
}};

json::object LoadsToJson(load_view loads) {
  json::object object;
  std::vector<std::int64_t> values(loads.size());
  object["count"] = loads.size();
  for (const load_column& column : kLoadColumns) {
    for (std::size_t i = 0; i < loads.size(); ++i)
      values[i] = loads[i].*column.member;
    object[column.key] = PackColumn(values);
  }
  for (const flag_column& column : kFlagColumns) {
    for (std::size_t i = 0; i < loads.size(); ++i)
      values[i] = loads[i].*column.member ? 1 : 0;
    object[column.key] = PackColumn(values);
  }
  for (std::size_t i = 0; i < loads.size(); ++i)
    values[i] = loads[i].age.count();
  object["age_ms"] = PackColumn(values);
  return object;
}

std::vector<upstream_load> LoadsFromJson(json_reader& reader) {
  const std::int64_t max = routing_table::kMaxUpstreams;
  std::vector<upstream_load> loads(static_cast<std::size_t>(reader.Int("count", {0, max}, 0)));
  const auto read = [&](std::string_view key, const auto& set) {
    const auto values = UnpackColumn(reader.String(key, ""), loads.size());
    if (!values) {
      reader.Fail(key, "expected a column of " + std::to_string(loads.size()) + " numbers");
      return;
    }
    for (std::size_t i = 0; i < loads.size(); ++i)
      set(loads[i], (*values)[i]);
  };
  for (const load_column& column : kLoadColumns) {
    read(column.key, [&](upstream_load& load, std::int64_t value) {
      load.*column.member = static_cast<std::uint32_t>(value);
    });
  }
  for (const flag_column& column : kFlagColumns) {
    read(column.key,
         [&](upstream_load& load, std::int64_t value) { load.*column.member = value != 0; });
  }
  read("age_ms", [](upstream_load& load, std::int64_t value) { load.age = milliseconds(value); });
  reader.Finish();
  return loads;
}

std::vector<std::uint64_t> ReadHex(json_reader& reader, std::string_view key) {
  auto values = UnpackHex(reader.String(key, ""));
  if (values)
    return std::move(*values);
  reader.Fail(key, "expected hexadecimal numbers with commas");
  return {};
}

std::uint64_t ReadOneHex(json_reader& reader, std::string_view key) {
  const std::vector<std::uint64_t> values = ReadHex(reader, key);
  if (values.size() == 1)
    return values.front();
  reader.Fail(key, "expected one hexadecimal number");
  return 0;
}

}  // namespace

json::object SettingsToJson(const route_settings& settings) {
  json::object object;
  for (const time_setting& one : kTimes)
    object[one.key] = (settings.*one.member).count();
  for (const count_setting& one : kCounts)
    object[one.key] = settings.*one.member;
  object["hint_lifetime_ms"] = settings.hint_lifetime.count();
  return object;
}

route_settings SettingsFromJson(json_reader& reader) {
  route_settings settings;
  for (const time_setting& one : kTimes) {
    settings.*one.member = route_settings::microseconds(
        reader.Int(one.key, kTimeRange, (settings.*one.member).count()));
  }
  for (const count_setting& one : kCounts) {
    settings.*one.member =
        static_cast<std::uint32_t>(reader.Int(one.key, kCountRange, settings.*one.member));
  }
  settings.hint_lifetime = reader.Millis("hint_lifetime_ms", kTimeRange, settings.hint_lifetime);
  reader.Finish();
  return settings;
}

json::object ToJson(const route_input& input) {
  const route_request& request = input.request;
  json::object object;
  object["table"] = TableToJson(*input.table);
  object["loads"] = LoadsToJson(input.loads);
  for (const text_member& text : kTexts)
    object[text.key] = request.*text.from;
  object["prefix"] = PackHex(request.prefix);
  object["priority"] = request.priority;
  if (request.deadline != kNoDeadline)
    object["deadline_ms"] = request.deadline.count();
  std::vector<std::uint64_t> tried;
  for (const upstream_key key : request.tried)
    tried.push_back(key.value);
  object["tried"] = PackHex(tried);
  if (request.hedge)
    object["hedge"] = true;
  object["seed"] = PackHex({&request.seed, 1});
  object["turn"] = PackHex({&request.turn, 1});
  json::array hits;
  for (const prefix_hit& hit : input.hits.view()) {
    hits.push_back(
        json::object{{"upstream", PackHex({&hit.upstream.value, 1})}, {"blocks", hit.blocks}});
  }
  object["hits"] = std::move(hits);
  object["settings"] = SettingsToJson(input.settings);
  return object;
}

result<stored_route_input> RouteInputFromJson(const json::object& object) {
  std::vector<error> errors;
  stored_route_input input;
  const json::value root(object);
  json_reader reader(root, "", errors);
  if (!reader.Has("table"))
    reader.Fail("table", "missing");
  reader.Child("table", [&](json_reader& table) { input.table = TableFromJson(table, errors); });
  reader.Child("loads", [&](json_reader& loads) { input.loads = LoadsFromJson(loads); });
  for (const text_member& text : kTexts)
    input.*text.to = reader.String(text.key, "");
  input.prefix = ReadHex(reader, "prefix");
  input.priority = static_cast<int>(reader.Int("priority", {0, kMaxPriority}));
  input.deadline =
      reader.Millis("deadline_ms", {std::numeric_limits<std::int64_t>::min()}, kNoDeadline);
  for (const std::uint64_t key : ReadHex(reader, "tried"))
    input.tried.push_back({key});
  input.hedge = reader.Bool("hedge", false);
  input.seed = ReadOneHex(reader, "seed");
  input.turn = ReadOneHex(reader, "turn");
  reader.Each("hits", [&](json_reader& hit) {
    const prefix_hit one{{ReadOneHex(hit, "upstream")},
                         static_cast<std::uint32_t>(hit.Int("blocks", kCountRange))};
    hit.Finish();
    if (input.hits.count == kMaxPrefixHits) {
      reader.Fail("hits", "more than " + std::to_string(kMaxPrefixHits) + " entries");
      return;
    }
    input.hits.hit.at(input.hits.count++) = one;
  });
  reader.Child("settings",
               [&](json_reader& settings) { input.settings = SettingsFromJson(settings); });
  reader.Finish();
  if (!errors.empty())
    return JoinErrors(errors);
  return input;
}

route_input stored_route_input::View() const {
  route_input input;
  input.table = table;
  input.loads = loads;
  for (const text_member& text : kTexts)
    input.request.*text.from = this->*text.to;
  input.request.prefix = prefix;
  input.request.priority = priority;
  input.request.deadline = deadline;
  input.request.tried = tried;
  input.request.hedge = hedge;
  input.request.seed = seed;
  input.request.turn = turn;
  input.hits = hits;
  input.settings = settings;
  return input;
}

}  // namespace quincebank
