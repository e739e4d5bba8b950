#include "quincebank/gateway/gateway_settings.h"

#include <vector>

#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

constexpr int_range kMillisRange{1, 600'000};

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

void ReadRules(json_reader& reader, gateway_rules& rules) {
  constexpr double kMaxNumber = 1e9;
  rules.cold_factor = reader.Number("cold_factor", 0, kMaxNumber, rules.cold_factor);
  rules.cold_allowance = reader.Number("cold_allowance", 0, kMaxNumber, rules.cold_allowance);
  rules.retry_ratio = reader.Number("repeat_ratio", 0, 1, rules.retry_ratio);
  rules.retry_allowance = reader.Number("repeat_allowance", 0, kMaxNumber, rules.retry_allowance);
  rules.stop_grace = reader.Millis("stop_grace_ms", kMillisRange, rules.stop_grace);
  rules.max_lookup_ttl = reader.Millis("most_lookup_ttl_ms", kMillisRange, rules.max_lookup_ttl);
  rules.engine_stall_time = reader.Millis("engine_stall_ms", kMillisRange, rules.engine_stall_time);
  reader.Finish();
}

void ReadControl(json_reader& reader, gateway_settings& settings) {
  settings.store_timeout = reader.Millis("store_timeout_ms", kMillisRange, settings.store_timeout);
  settings.engine_timeout =
      reader.Millis("engine_timeout_ms", kMillisRange, settings.engine_timeout);
  settings.max_engine_report_age =
      reader.Millis("engine_report_age_ms", kMillisRange, settings.max_engine_report_age);
  settings.agent_port =
      static_cast<std::uint16_t>(reader.Int("agent_port", {0, 65'535}, settings.agent_port));
  settings.max_watch_wait = reader.Millis("watch_wait_ms", kMillisRange, settings.max_watch_wait);
  settings.peer_poll_interval =
      reader.Millis("peer_poll_ms", kMillisRange, settings.peer_poll_interval);
  settings.lease = reader.Millis("lease_ms", kMillisRange, settings.lease);
  settings.coordinator_lease =
      reader.Millis("coordinator_lease_ms", kMillisRange, settings.coordinator_lease);
  constexpr int_range kWaitingRange{1, 100'000};
  settings.max_waiting_requests = static_cast<std::size_t>(reader.Int(
      "most_waiting", kWaitingRange, static_cast<std::int64_t>(settings.max_waiting_requests)));
  constexpr int_range kByteRange{1'024, std::int64_t{1} << 32U};
  const auto read_bytes = [&](std::string_view key, std::size_t& bytes) {
    bytes = static_cast<std::size_t>(reader.Int(key, kByteRange, static_cast<std::int64_t>(bytes)));
  };
  read_bytes("most_answer_bytes", settings.max_response_bytes);
  read_bytes("most_held_bytes", settings.max_buffered_bytes);
  read_bytes("most_event_bytes", settings.max_event_bytes);
  constexpr int_range kLogLineRange{10, 1'000'000};
  settings.max_log_lines = static_cast<std::size_t>(
      reader.Int("log_lines", kLogLineRange, static_cast<std::int64_t>(settings.max_log_lines)));
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

result<gateway_settings> ParseGatewaySettings(std::string_view text) {
  BOOST_OUTCOME_TRY(const boost::json::value document, ParseJson(text));
  std::vector<error> errors;
  gateway_settings settings;
  json_reader reader(document, "", errors);
  settings.name = reader.String("name");
  settings.failure_domain = reader.String("failure_domain");
  settings.region = reader.String("region");
  constexpr double kMaxCores = 10'000;
  settings.cores = reader.Number("cores", 0, kMaxCores, settings.cores);
  reader.Child("addresses", [&](json_reader& child) { ReadAddresses(child, settings); });
  settings.limits = ReadProcessLimits(reader);
  reader.Child("rules", [&](json_reader& child) { ReadRules(child, settings.rules); });
  reader.Child("control", [&](json_reader& child) { ReadControl(child, settings); });
  reader.Child("routing", [&](json_reader& child) { ReadRouting(child, settings); });
  reader.Finish();
  if (errors.empty() && settings.clients.port == 0)
    errors.push_back({error_code::kInvalidArgument, "is missing", verdict::kNotRun, "/addresses"});
  if (!errors.empty())
    return JoinErrors(errors);
  return settings;
}

}  // namespace quincebank
