#include "quincebank/gateway/gateway_settings.h"

#include <gtest/gtest.h>

#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

constexpr const char* kValidSettings = R"({
  "name": "edge-1", "failure_domain": "a", "region": "r",
  "addresses": {
    "clients": "10.0.0.1:80", "readiness": "10.0.0.1:81", "directory": "10.0.0.1:82",
    "peers": "10.0.0.1:83", "metrics": "10.0.0.1:84", "store": "10.0.0.9:85",
  },
  "rules": {"cold_factor": 1.5, "repeat_ratio": 0.2, "stop_grace_ms": 8000},
  "routing": {"policy": "predicted_finish"},
  "limits": {"memory_mb": 112, "descriptors": 2870},
  "control": {"agent_port": 83},  // Comments and trailing commas are allowed.
})";

TEST(gateway_settings, ParsesACompleteFile) {
  const auto settings = ParseGatewaySettings(kValidSettings);
  ASSERT_TRUE(settings) << Describe(settings.error());
  EXPECT_TRUE(settings.value().unusable.empty());
  EXPECT_EQ(settings.value().settings.name, "edge-1");
  EXPECT_EQ(settings.value().settings.clients, (endpoint{"10.0.0.1", 80}));
  EXPECT_EQ(settings.value().settings.store, (endpoint{"10.0.0.9", 85}));
  EXPECT_EQ(settings.value().settings.rules.cold_factor, 1.5);
  EXPECT_EQ(settings.value().settings.rules.stop_grace, milliseconds(8'000));
  EXPECT_EQ(settings.value().settings.agent_port, 83);
  EXPECT_EQ(settings.value().settings.policy, placement_policy::kPredictedFinish);
  EXPECT_EQ(settings.value().settings.limits.memory_mb, 112U);
  EXPECT_EQ(settings.value().settings.limits.descriptors, 2'870U);
}

// Guards against a changed placement in deployments whose settings name no policy.
TEST(gateway_settings, DefaultPolicyCountsRequests) {
  std::string text = kValidSettings;
  const std::string_view routing = R"("routing": {"policy": "predicted_finish"},)";
  text.erase(text.find(routing), routing.size());
  const auto settings = ParseGatewaySettings(text);
  ASSERT_TRUE(settings) << Describe(settings.error());
  EXPECT_EQ(settings.value().settings.policy, placement_policy::kCount);
}

struct invalid_case {
  const char* name;
  const char* from;
  const char* to;
  const char* path;  ///< Path or line of the invalid value, expected in the error message.
};

std::string WithReplaced(const invalid_case& invalid) {
  std::string text = kValidSettings;
  return text.replace(text.find(invalid.from), std::string_view(invalid.from).size(), invalid.to);
}

std::string CaseName(const testing::TestParamInfo<invalid_case>& info) {
  return info.param.name;
}

class missing_settings_test : public testing::TestWithParam<invalid_case> {};

// Guards against a process that starts without what it cannot work without.
TEST_P(missing_settings_test, AreRejectedWithTheirPath) {
  const auto settings = ParseGatewaySettings(WithReplaced(GetParam()));
  ASSERT_FALSE(settings);
  EXPECT_NE(Describe(settings.error()).find(GetParam().path), std::string::npos)
      << Describe(settings.error());
}

INSTANTIATE_TEST_SUITE_P(
    files,
    missing_settings_test,
    testing::Values(invalid_case{"no_port", "10.0.0.1:80", "10.0.0.1", "/addresses/clients"},
                    invalid_case{"host_name", "10.0.0.9:85", "store:85", "/addresses/store"},
                    invalid_case{"no_name", R"("name": "edge-1",)", "", "/name"},
                    invalid_case{"syntax", "}", "]", "6:"}),
    CaseName);

class unusable_settings_test : public testing::TestWithParam<invalid_case> {};

// Guards against a fleet that does not start again, or keeps its old rules, because of one value in
// the settings file, and against such a value that nobody is told of.
TEST_P(unusable_settings_test, AreReportedAndTheOthersTakeEffect) {
  std::string text = WithReplaced(GetParam());
  const auto started = ParseGatewaySettings(text);
  ASSERT_TRUE(started) << Describe(started.error());
  ASSERT_FALSE(started.value().unusable.empty());
  EXPECT_NE(Describe(JoinErrors(started.value().unusable)).find(GetParam().path), std::string::npos)
      << Describe(JoinErrors(started.value().unusable));
  EXPECT_EQ(started.value().settings.rules.cold_factor, 1.5);

  text.replace(text.find("1.5"), 3, "2.5");
  const gateway_settings running = ParseGatewaySettings(kValidSettings).value().settings;
  const auto changed = ParseGatewaySettings(text, &running);
  ASSERT_TRUE(changed) << Describe(changed.error());
  EXPECT_EQ(changed.value().settings.rules.cold_factor, 2.5);
  EXPECT_EQ(changed.value().settings.rules.retry_ratio, running.rules.retry_ratio);
  EXPECT_EQ(changed.value().settings.rules.stop_grace, running.rules.stop_grace);
}

INSTANTIATE_TEST_SUITE_P(
    files,
    unusable_settings_test,
    testing::Values(invalid_case{"unknown_key", "agent_port", "agents_port",
                                 "/control/agents_port"},
                    invalid_case{"policy", "predicted_finish", "fastest", "/routing/policy"},
                    invalid_case{"routing_key", "\"policy\"", "\"policies\"", "/routing/policies"},
                    invalid_case{"negative_time", "8000", "-1", "/rules/stop_grace_ms"},
                    invalid_case{"huge_time", "8000", "1e300", "/rules/stop_grace_ms"},
                    invalid_case{"truth_as_time", "8000", "true", "/rules/stop_grace_ms"},
                    invalid_case{"truth_before_zeros", "8000", "true000", "/rules/stop_grace_ms"},
                    invalid_case{"only_zeros", "8000", "0000", "/rules/stop_grace_ms"},
                    invalid_case{"beyond_double", "8000", "1e1000", "7:"},
                    invalid_case{"no_value", ": 8000", ": ", "/rules/stop_grace_ms"},
                    invalid_case{"ratio", "0.2", "2", "/rules/repeat_ratio"},
                    invalid_case{"truth_as_ratio", "0.2", "true", "/rules/repeat_ratio"},
                    invalid_case{"memory", "112", "0", "/limits/memory_mb"},
                    invalid_case{"no_zone", R"("failure_domain": "a",)", "", "/failure_domain"}),
    CaseName);

// Guards against a reload that is refused since an address is missing: it cannot change then.
TEST(gateway_settings, ReloadKeepsAddressesInUse) {
  const gateway_settings running = ParseGatewaySettings(kValidSettings).value().settings;
  const auto changed =
      ParseGatewaySettings(WithReplaced({"", "10.0.0.9:85", "10.0.0.9:85000", ""}), &running);
  ASSERT_TRUE(changed) << Describe(changed.error());
  EXPECT_EQ(changed.value().settings.store, running.store);
  EXPECT_FALSE(changed.value().unusable.empty());
}

struct figure_case {
  const char* name;
  const char* rule;  ///< Takes the place of the grace period.
  milliseconds grace;
};

class grace_figure_test : public testing::TestWithParam<figure_case> {};

// Guards against a grace period in seconds that is refused, or read as another one, because it is
// no whole number.
TEST_P(grace_figure_test, IsReadToTheMillisecond) {
  const auto settings =
      ParseGatewaySettings(WithReplaced({"", R"("stop_grace_ms": 8000)", GetParam().rule, ""}));
  ASSERT_TRUE(settings) << Describe(settings.error());
  EXPECT_EQ(settings.value().settings.rules.stop_grace, GetParam().grace);
  EXPECT_TRUE(settings.value().unusable.empty());
}

INSTANTIATE_TEST_SUITE_P(
    figures,
    grace_figure_test,
    testing::Values(
        figure_case{"whole", R"("stop_grace_s": 7)", milliseconds(7'000)},
        figure_case{"fraction", R"("stop_grace_s": 7.5)", milliseconds(7'500)},
        figure_case{"exponent", R"("stop_grace_s": 75e-1)", milliseconds(7'500)},
        figure_case{"below_a_millisecond", R"("stop_grace_s": 0.0004)", milliseconds(1)},
        figure_case{"fraction_of_milliseconds", R"("stop_grace_ms": 7500.9)", milliseconds(7'500)},
        figure_case{"seconds_first", R"("stop_grace_s": 7.5, "stop_grace_ms": 7.5000)",
                    milliseconds(7'500)},
        figure_case{"seconds_last", R"("stop_grace_ms": 7.5000, "stop_grace_s": 7.5)",
                    milliseconds(7'500)},
        figure_case{"missing", R"("cold_allowance": 5)", milliseconds(8'000)}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace quincebank
