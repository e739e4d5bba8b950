#include "quincebank/admission/settings.h"

#include <algorithm>

#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

// Entries and workspace flows are allocated up front; these bounds keep a gate below 64 MB.
constexpr std::size_t kMaxInFlight = 65536;
constexpr std::size_t kMaxQueued = 65536;
constexpr std::int64_t kMaxDurationMs = 3'600'000;

std::size_t ReadCount(json_reader& reader, std::string_view key, std::size_t fallback) {
  return static_cast<std::size_t>(
      reader.Int(key, {0, static_cast<std::int64_t>(kMaxQueued)}, static_cast<int>(fallback)));
}

ramp_settings ReadRamp(json_reader& reader, ramp_settings ramp) {
  ramp.good_service_time =
      reader.Millis("good_service_time_ms", {1, kMaxDurationMs}, ramp.good_service_time);
  ramp.spike_factor = reader.Number("spike_factor", 1.0, 1000.0, ramp.spike_factor);
  ramp.spike_count = ReadCount(reader, "spike_count", ramp.spike_count);
  ramp.growth = reader.Number("growth", 1.01, 4.0, ramp.growth);
  ramp.decrease = reader.Number("decrease", 0.1, 0.99, ramp.decrease);
  return ramp;
}

}  // namespace

admission_settings ReadAdmissionSettings(json_reader& reader) {
  admission_settings settings;
  settings.cold_limit = ReadCount(reader, "cold_limit", settings.cold_limit);
  settings.full_limit = ReadCount(reader, "full_limit", settings.full_limit);
  settings.queue_limit = ReadCount(reader, "queue_limit", settings.queue_limit);
  settings.idle_workspace_limit =
      ReadCount(reader, "idle_workspace_limit", settings.idle_workspace_limit);
  settings.expected_service_time = reader.Millis("expected_service_time_ms", {1, kMaxDurationMs},
                                                 settings.expected_service_time);
  settings.min_retry_after =
      reader.Millis("min_retry_after_ms", {1, kMaxDurationMs}, settings.min_retry_after);
  settings.max_retry_after =
      reader.Millis("max_retry_after_ms", {1, kMaxDurationMs}, settings.max_retry_after);
  reader.Child("ramp", [&](json_reader& child) {
    settings.ramp = ReadRamp(child, settings.ramp);
    child.Finish();
  });
  if (settings.full_limit < settings.cold_limit)
    reader.Fail("full_limit", "is below cold_limit");
  if (settings.cold_limit == 0)
    reader.Fail("cold_limit", "expected at least 1");
  if (settings.max_retry_after < settings.min_retry_after)
    reader.Fail("max_retry_after_ms", "is below min_retry_after_ms");
  return settings;
}

admission_settings Normalized(admission_settings settings) noexcept {
  settings.cold_limit = std::clamp<std::size_t>(settings.cold_limit, 1, kMaxInFlight);
  settings.full_limit = std::clamp(settings.full_limit, settings.cold_limit, kMaxInFlight);
  settings.queue_limit = std::min(settings.queue_limit, kMaxQueued);
  settings.idle_workspace_limit = std::min(settings.idle_workspace_limit, kMaxQueued);
  settings.expected_service_time = std::max(settings.expected_service_time, milliseconds(1));
  settings.min_retry_after = std::max(settings.min_retry_after, milliseconds(1));
  settings.max_retry_after = std::max(settings.max_retry_after, settings.min_retry_after);
  settings.ramp.good_service_time = std::max(settings.ramp.good_service_time, milliseconds(1));
  settings.ramp.spike_factor = std::max(settings.ramp.spike_factor, 1.0);
  settings.ramp.spike_count = std::max<std::size_t>(settings.ramp.spike_count, 1);
  settings.ramp.growth = std::clamp(settings.ramp.growth, 1.01, 4.0);
  settings.ramp.decrease = std::clamp(settings.ramp.decrease, 0.1, 0.99);
  return settings;
}

}  // namespace quincebank
