#include "quincebank/gateway/gateway_settings.h"

#include <array>
#include <string>
#include <vector>

#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

constexpr double kMaxNumber = 1e9;

/// Rule that is a plain number.
struct number_rule {
  std::string_view key;
  double gateway_rules::*member;
  double max;
};

constexpr std::array kNumberRules{
    number_rule{"cold_factor", &gateway_rules::cold_factor, kMaxNumber},
    number_rule{"cold_allowance", &gateway_rules::cold_allowance, kMaxNumber},
    number_rule{"repeat_ratio", &gateway_rules::retry_ratio, 1},
    number_rule{"repeat_allowance", &gateway_rules::retry_allowance, kMaxNumber}};

/// Rule that is a duration. The key ends in its unit; if both are there, the seconds are used.
struct duration_rule {
  std::string_view name;
  milliseconds gateway_rules::*member;
};

constexpr std::array kDurationRules{
    duration_rule{"stop_grace", &gateway_rules::stop_grace},
    duration_rule{"most_lookup_ttl", &gateway_rules::max_lookup_ttl},
    duration_rule{"engine_stall", &gateway_rules::engine_stall_time}};

struct duration_unit {
  std::string_view suffix;
  milliseconds length;
};

constexpr std::array kDurationUnits{duration_unit{"_ms", milliseconds(1)},
                                    duration_unit{"_s", seconds(1)}};
constexpr duration_range kDurationRange{milliseconds(1), seconds(600)};

struct essential_address {
  std::string_view key;
  endpoint gateway_settings::*member;
};

/// Without these a gateway serves nobody.
constexpr std::array kEssentialAddresses{essential_address{"clients", &gateway_settings::clients},
                                         essential_address{"peers", &gateway_settings::peers},
                                         essential_address{"store", &gateway_settings::store}};

/// Takes what a gateway cannot work without from the running process where the file lacks it.
void KeepEssential(const gateway_settings& running, gateway_settings& settings) {
  if (settings.name.empty())
    settings.name = running.name;
  for (const essential_address& address : kEssentialAddresses) {
    if ((settings.*address.member).port == 0)
      settings.*address.member = running.*address.member;
  }
}

/// \returns Whether everything is there that a gateway cannot work without; reports what is not.
bool HasEssential(const gateway_settings& settings, json_reader& reader) {
  bool is_complete = !settings.name.empty();
  if (!is_complete)
    reader.Fail("name", "a gateway needs a name");
  for (const essential_address& address : kEssentialAddresses) {
    if ((settings.*address.member).port != 0)
      continue;
    is_complete = false;
    reader.Fail("addresses", "a gateway needs the address '" + std::string(address.key) + "'");
  }
  return is_complete;
}

endpoint ReadEndpoint(json_reader& reader, std::string_view key) {
  const std::string text = reader.String(key);
  if (text.empty())
    return {};
  auto parsed = ParseEndpoint(text);
  if (parsed)
    return parsed.value();
  reader.Fail(key, parsed.error().message);
  return {};
}

void ReadAddresses(json_reader& reader, gateway_settings& settings) {
  settings.clients = ReadEndpoint(reader, "clients");
  settings.readiness = ReadEndpoint(reader, "readiness");
  settings.directory = ReadEndpoint(reader, "directory");
  settings.peers = ReadEndpoint(reader, "peers");
  if (reader.Has("news"))
    settings.announcements = ReadEndpoint(reader, "news");
  settings.metrics = ReadEndpoint(reader, "metrics");
  settings.store = ReadEndpoint(reader, "store");
  reader.Finish();
}

/// \param running  rules whose values take the place of unusable ones.
void ReadRules(json_reader& reader, const gateway_rules& running, gateway_rules& rules) {
  for (const number_rule& rule : kNumberRules) {
    double& value = rules.*rule.member;
    value =
        reader.Number(rule.key, 0, rule.max, reader.Has(rule.key) ? running.*rule.member : value);
  }
  for (const duration_rule& rule : kDurationRules) {
    milliseconds& value = rules.*rule.member;
    for (const duration_unit& unit : kDurationUnits) {
      if (reader.Has(std::string(rule.name) + std::string(unit.suffix)))
        value = running.*rule.member;
    }
    for (const duration_unit& unit : kDurationUnits) {
      const std::string key = std::string(rule.name) + std::string(unit.suffix);
      value = reader.Duration(key, unit.length, kDurationRange, value);
    }
  }
  reader.Finish();
}

milliseconds ReadMillis(json_reader& reader, std::string_view key, milliseconds fallback) {
  return reader.Duration(key, milliseconds(1), kDurationRange, fallback);
}

void ReadControl(json_reader& reader, gateway_settings& settings) {
  settings.store_timeout = ReadMillis(reader, "store_timeout_ms", settings.store_timeout);
  settings.engine_timeout = ReadMillis(reader, "engine_timeout_ms", settings.engine_timeout);
  settings.max_engine_report_age =
      ReadMillis(reader, "engine_report_age_ms", settings.max_engine_report_age);
  settings.agent_port =
      static_cast<std::uint16_t>(reader.RoundedInt("agent_port", {0, 65'535}, settings.agent_port));
  settings.max_watch_wait = ReadMillis(reader, "watch_wait_ms", settings.max_watch_wait);
  settings.peer_poll_interval = ReadMillis(reader, "peer_poll_ms", settings.peer_poll_interval);
  settings.lease = ReadMillis(reader, "lease_ms", settings.lease);
  settings.coordinator_lease =
      ReadMillis(reader, "coordinator_lease_ms", settings.coordinator_lease);
  constexpr int_range kWaitingRange{1, 100'000};
  settings.max_waiting_requests = static_cast<std::size_t>(reader.RoundedInt(
      "most_waiting", kWaitingRange, static_cast<std::int64_t>(settings.max_waiting_requests)));
  constexpr int_range kByteRange{1'024, std::int64_t{1} << 32U};
  const auto read_bytes = [&](std::string_view key, std::size_t& bytes) {
    bytes = static_cast<std::size_t>(
        reader.RoundedInt(key, kByteRange, static_cast<std::int64_t>(bytes)));
  };
  read_bytes("most_answer_bytes", settings.max_response_bytes);
  read_bytes("most_held_bytes", settings.max_buffered_bytes);
  read_bytes("most_event_bytes", settings.max_event_bytes);
  constexpr int_range kLogLineRange{10, 1'000'000};
  settings.max_log_lines = static_cast<std::size_t>(reader.RoundedInt(
      "log_lines", kLogLineRange, static_cast<std::int64_t>(settings.max_log_lines)));
  reader.Finish();
}

void ReadRouting(json_reader& reader, gateway_settings& settings) {
  const std::string name = reader.String("policy", ToString(settings.policy));
  if (const auto policy = ParsePlacementPolicy(name))
    settings.policy = *policy;
  else
    reader.Fail("policy", "there is no policy " + name);
  reader.Finish();
}

}  // namespace

result<parsed_settings<gateway_settings>> ParseGatewaySettings(std::string_view text,
                                                               const gateway_settings* running) {
  parsed_settings<gateway_settings> parsed;
  std::vector<error>& errors = parsed.unusable;
  BOOST_OUTCOME_TRY(const boost::json::value document,
                    ParseJson(ReplaceInvalidValues(text, errors)));
  gateway_settings& settings = parsed.settings;
  json_reader reader(document, "", errors);
  settings.name = reader.String("name");
  settings.failure_domain = reader.String("failure_domain");
  settings.region = reader.String("region");
  constexpr double kMaxCores = 10'000;
  settings.cores = reader.Number("cores", 0, kMaxCores, settings.cores);
  reader.Child("addresses", [&](json_reader& child) { ReadAddresses(child, settings); });
  settings.limits = ReadProcessLimits(reader);
  const gateway_rules running_rules = running != nullptr ? running->rules : gateway_rules();
  reader.Child("rules",
               [&](json_reader& child) { ReadRules(child, running_rules, settings.rules); });
  reader.Child("control", [&](json_reader& child) { ReadControl(child, settings); });
  reader.Child("routing", [&](json_reader& child) { ReadRouting(child, settings); });
  reader.Finish();
  if (running != nullptr)
    KeepEssential(*running, settings);
  if (!HasEssential(settings, reader))
    return JoinErrors(errors);
  return parsed;
}

}  // namespace quincebank
