#include "quincebank/node/node_settings.h"

#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

endpoint ReadEndpoint(json_reader& reader, std::string_view key) {
  const std::string text = reader.String(key);
  if (text.empty())
    return {};
  const auto parsed = ParseEndpoint(text);
  if (!parsed) {
    reader.Fail(key, parsed.error().message);
    return {};
  }
  return parsed.value();
}

}  // namespace

node_settings ReadNodeSettings(json_reader& reader) {
  constexpr int_range kTimeoutMs{1, 60'000};
  constexpr int_range kRecords{0, 1'000'000};
  node_settings settings;
  settings.host = reader.String("host");
  settings.region = reader.String("region");
  settings.failure_domain = reader.String("failure_domain");
  settings.listen = ReadEndpoint(reader, "listen");
  settings.source = reader.String("source", "");
  if (!settings.source.empty() && !ParseEndpoint(settings.source + ":1"))
    reader.Fail("source", "expected an IP address");
  bool has_key_value = false;
  reader.Child("key_value", [&](json_reader& child) {
    has_key_value = true;
    settings.key_value = ReadEndpoint(child, "address");
    settings.key_value_timeout = child.Millis("timeout_ms", kTimeoutMs, settings.key_value_timeout);
    child.Finish();
  });
  if (!has_key_value)
    reader.Fail("key_value", "missing or not an object");
  bool has_host_list = false;
  reader.Child("host_list", [&](json_reader& child) {
    has_host_list = true;
    settings.host_list = ReadEndpoint(child, "address");
    settings.host_list_path = child.String("path", settings.host_list_path);
    settings.host_list_interval =
        child.Millis("interval_ms", kTimeoutMs, settings.host_list_interval);
    child.Finish();
  });
  if (!has_host_list)
    reader.Fail("host_list", "missing or not an object");
  settings.limits = ReadProcessLimits(reader);
  reader.Child("record", [&](json_reader& child) {
    settings.record_keep = static_cast<std::size_t>(
        child.Int("keep", kRecords, static_cast<std::int64_t>(settings.record_keep)));
    settings.record_stdout = child.Bool("stdout", settings.record_stdout);
    child.Finish();
  });
  return settings;
}

}  // namespace quincebank
