#include "quincebank/admission/settings.h"

#include <gtest/gtest.h>

#include "quincebank/admission/gate.h"
#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

std::vector<error> ReadErrors(const char* text, admission_settings* settings = nullptr) {
  std::vector<error> errors;
  const auto parsed = ParseJson(text);
  json_reader reader(parsed.value(), "/admission", errors);
  const admission_settings read = ReadAdmissionSettings(reader);
  reader.Finish();
  if (settings != nullptr)
    *settings = read;
  return errors;
}

TEST(admission_settings_test, ReadsEveryKey) {
  admission_settings settings;
  const auto errors = ReadErrors(R"({"cold_limit": 1, "full_limit": 20, "queue_limit": 50,
      "idle_workspace_limit": 7, "expected_service_time_ms": 300, "min_retry_after_ms": 200,
      "max_retry_after_ms": 3000, "ramp": {"good_service_time_ms": 400, "spike_factor": 3,
      "spike_count": 5, "growth": 1.5, "decrease": 0.5}})",
                                 &settings);
  EXPECT_TRUE(errors.empty());
  EXPECT_EQ(settings.cold_limit, 1U);
  EXPECT_EQ(settings.full_limit, 20U);
  EXPECT_EQ(settings.queue_limit, 50U);
  EXPECT_EQ(settings.idle_workspace_limit, 7U);
  EXPECT_EQ(settings.expected_service_time, milliseconds(300));
  EXPECT_EQ(settings.min_retry_after, milliseconds(200));
  EXPECT_EQ(settings.max_retry_after, milliseconds(3000));
  EXPECT_EQ(settings.ramp.good_service_time, milliseconds(400));
  EXPECT_EQ(settings.ramp.spike_count, 5U);
  EXPECT_DOUBLE_EQ(settings.ramp.spike_factor, 3);
  EXPECT_DOUBLE_EQ(settings.ramp.growth, 1.5);
  EXPECT_DOUBLE_EQ(settings.ramp.decrease, 0.5);
}

struct invalid_case {
  const char* name;
  const char* text;
  const char* path;
};

class invalid_settings_test : public testing::TestWithParam<invalid_case> {};

// Guards against invalid settings that make the gate admit no requests or all of them.
TEST_P(invalid_settings_test, ReportsThePath) {
  const auto errors = ReadErrors(GetParam().text);
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_EQ(errors[0].path, GetParam().path);
}

INSTANTIATE_TEST_SUITE_P(
    Documents,
    invalid_settings_test,
    testing::Values(
        invalid_case{"no_cold_limit", R"({"cold_limit": 0})", "/admission/cold_limit"},
        invalid_case{"full_below_cold", R"({"cold_limit": 9, "full_limit": 8})",
                     "/admission/full_limit"},
        invalid_case{"no_growth", R"({"ramp": {"growth": 1}})", "/admission/ramp/growth"},
        invalid_case{"huge_queue", R"({"queue_limit": 100000000})", "/admission/queue_limit"},
        invalid_case{"unknown", R"({"limit": 8})", "/admission/limit"}),
    [](const auto& info) { return info.param.name; });

// Guards against division by zero and empty pools when settings are set in code rather than read.
TEST(admission_settings_test, AGateWorksWithExtremeSettings) {
  admission_settings settings;
  settings.cold_limit = 0;
  settings.full_limit = 0;
  settings.queue_limit = 0;
  settings.idle_workspace_limit = 0;
  settings.expected_service_time = milliseconds(0);
  settings.ramp.growth = 0;
  admission_gate gate(settings);
  const time_point now{seconds(1)};
  for (std::uint64_t i = 0; i < 100; ++i) {
    const admission_decision decision = gate.Offer({.workspace = i}, now);
    ASSERT_TRUE(decision.admitted());
    ASSERT_TRUE(gate.Offer({.workspace = i}, now).rejected());
    gate.Finish(decision.ticket, work_outcome::kServed, milliseconds(1), now);
    EXPECT_TRUE(gate.ProcessQueue(now).admitted.empty());
  }
}

}  // namespace
}  // namespace quincebank
