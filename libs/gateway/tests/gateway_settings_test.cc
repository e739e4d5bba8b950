#include "quincebank/gateway/gateway_settings.h"

#include <gtest/gtest.h>

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
  EXPECT_EQ(settings.value().name, "edge-1");
  EXPECT_EQ(settings.value().clients, (endpoint{"10.0.0.1", 80}));
  EXPECT_EQ(settings.value().store, (endpoint{"10.0.0.9", 85}));
  EXPECT_EQ(settings.value().rules.cold_factor, 1.5);
  EXPECT_EQ(settings.value().rules.stop_grace, milliseconds(8'000));
  EXPECT_EQ(settings.value().agent_port, 83);
  EXPECT_EQ(settings.value().policy, placement_policy::kPredictedFinish);
  EXPECT_EQ(settings.value().limits.memory_mb, 112U);
  EXPECT_EQ(settings.value().limits.descriptors, 2'870U);
}

// Guards against a changed placement in deployments whose settings name no policy.
TEST(gateway_settings, DefaultPolicyCountsRequests) {
  std::string text = kValidSettings;
  const std::string_view routing = R"("routing": {"policy": "predicted_finish"},)";
  text.erase(text.find(routing), routing.size());
  const auto settings = ParseGatewaySettings(text);
  ASSERT_TRUE(settings) << Describe(settings.error());
  EXPECT_EQ(settings.value().policy, placement_policy::kCount);
}

struct invalid_case {
  const char* name;
  const char* from;
  const char* to;
  const char* path;  ///< Path or line of the invalid value, expected in the error message.
};

class invalid_settings_test : public testing::TestWithParam<invalid_case> {};

// Guards against a process that starts with invalid settings, such as a misspelt key.
TEST_P(invalid_settings_test, AreRejectedWithTheirPath) {
  std::string text = kValidSettings;
  const std::size_t at = text.find(GetParam().from);
  ASSERT_NE(at, std::string::npos);
  text.replace(at, std::string_view(GetParam().from).size(), GetParam().to);
  const auto settings = ParseGatewaySettings(text);
  ASSERT_FALSE(settings);
  EXPECT_NE(Describe(settings.error()).find(GetParam().path), std::string::npos)
      << Describe(settings.error());
}

INSTANTIATE_TEST_SUITE_P(
    files,
    invalid_settings_test,
    testing::Values(invalid_case{"no_port", "10.0.0.1:80", "10.0.0.1", "/addresses/clients"},
                    invalid_case{"host_name", "10.0.0.9:85", "store:85", "/addresses/store"},
                    invalid_case{"unknown_key", "agent_port", "agents_port",
                                 "/control/agents_port"},
                    invalid_case{"policy", "predicted_finish", "fastest", "/routing/policy"},
                    invalid_case{"routing_key", "\"policy\"", "\"policies\"", "/routing/policies"},
                    invalid_case{"negative_time", "8000", "-1", "/rules/stop_grace_ms"},
                    invalid_case{"ratio", "0.2", "2", "/rules/repeat_ratio"},
                    invalid_case{"memory", "112", "0", "/limits/memory_mb"},
                    invalid_case{"no_name", R"("name": "edge-1",)", "", "/name"},
                    invalid_case{"syntax", "}", "]", "6:"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace quincebank
