#include <gtest/gtest.h>

#include "quincebank/entry/entry_service.h"

namespace quincebank {
namespace {

constexpr std::string_view kValid = R"({
  // An entry of the first failure domain.
  "host": "entry-1", "region": "qc-east", "failure_domain": "qc-east-a",
  "listen": "127.0.0.1:8000",
  "key_value": {"address": "127.0.0.1:8500"},
  "host_list": {"address": "127.0.0.1:8080"}
})";

std::string Replaced(std::string_view from, std::string_view to) {
  std::string text(kValid);
  text.replace(text.find(from), from.size(), to);
  return text;
}

TEST(entry_settings_test, DefaultsFillWhatIsAbsent) {
  const auto settings = ParseEntrySettings(kValid);
  ASSERT_TRUE(settings.has_value()) << Describe(settings.error());
  EXPECT_EQ(settings.value().node.host, "entry-1");
  EXPECT_EQ(settings.value().node.key_value_timeout, milliseconds(1'000));
  EXPECT_EQ(settings.value().lookup_ttl, milliseconds(5'000));
}

struct wrong_settings {
  const char* name;
  const char* from;
  const char* to;
  const char* path;
};

class wrong_settings_test : public testing::TestWithParam<wrong_settings> {};

// Guards against a daemon that starts with settings it has not understood.
TEST_P(wrong_settings_test, NamesThePath) {
  const auto settings = ParseEntrySettings(Replaced(GetParam().from, GetParam().to));
  ASSERT_FALSE(settings.has_value());
  EXPECT_EQ(settings.error().path, GetParam().path);
}

INSTANTIATE_TEST_SUITE_P(
    Files,
    wrong_settings_test,
    testing::Values(
        wrong_settings{"no_host", R"("host": "entry-1", )", "", "/host"},
        wrong_settings{"host_name_as_address", "127.0.0.1:8000", "localhost:8000", "/listen"},
        wrong_settings{"no_port", "127.0.0.1:8500", "127.0.0.1", "/key_value/address"},
        wrong_settings{"unknown_key", R"("region")", R"("regoin": 1, "region")", "/regoin"},
        wrong_settings{"unknown_inner_key", R"({"address": "127.0.0.1:8080"})",
                       R"({"address": "127.0.0.1:8080", "pth": "/"})", "/host_list/pth"},
        wrong_settings{"range", R"("listen")", R"("traffic_threads": 0, "listen")",
                       "/traffic_threads"},
        wrong_settings{"type", R"("listen")", R"("lookup_ttl_ms": "5 s", "listen")",
                       "/lookup_ttl_ms"},
        wrong_settings{"syntax", R"("qc-east",)", R"("qc-east")", "3:42"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace quincebank
