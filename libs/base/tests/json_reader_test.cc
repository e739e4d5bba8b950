#include "quincebank/base/json_reader.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

struct syntax_case {
  const char* name;
  const char* text;
  const char* path;
};

class syntax_error_test : public testing::TestWithParam<syntax_case> {};

// Guards against errors that don't say where the document is wrong.
TEST_P(syntax_error_test, NamesLineAndColumn) {
  const auto parsed = ParseJson(GetParam().text);
  ASSERT_FALSE(parsed.has_value());
  EXPECT_EQ(parsed.error().path, GetParam().path);
  EXPECT_EQ(parsed.error().code, error_code::kInvalidArgument);
}

INSTANTIATE_TEST_SUITE_P(Documents,
                         syntax_error_test,
                         testing::Values(syntax_case{"bad_literal", "{\n  \"a\": nope\n}", "2:8"},
                                         syntax_case{"extra_data", "{} {}", "1:4"},
                                         syntax_case{"truncated", "{\"a\": [1, 2", "1:12"}),
                         [](const auto& info) { return info.param.name; });

struct value_case {
  const char* name;
  const char* text;
  const char* path;
};

class value_error_test : public testing::TestWithParam<value_case> {};

// Guards against wrong values that pass unnoticed or are reported without their path.
TEST_P(value_error_test, NamesThePath) {
  const auto parsed = ParseJson(GetParam().text);
  ASSERT_TRUE(parsed.has_value());
  std::vector<error> errors;
  json_reader reader(parsed.value(), "", errors);
  reader.Each("upstreams", [](json_reader& upstream) {
    (void)upstream.String("host");
    (void)upstream.Int("port", {1, 65535});
    upstream.Finish();
  });
  reader.Finish();
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_EQ(errors[0].path, GetParam().path);
}

INSTANTIATE_TEST_SUITE_P(
    Documents,
    value_error_test,
    testing::Values(value_case{"port_range", R"({"upstreams":[{"host":"h","port":70000}]})",
                               "/upstreams/0/port"},
                    value_case{"port_fraction", R"({"upstreams":[{"host":"h","port":1.5}]})",
                               "/upstreams/0/port"},
                    value_case{"missing_host", R"({"upstreams":[{"port":1}]})",
                               "/upstreams/0/host"},
                    value_case{"unknown_key", R"({"upstreams":[{"host":"h","port":1,"prot":2}]})",
                               "/upstreams/0/prot"},
                    value_case{"not_array", R"({"upstreams":{}})", "/upstreams"},
                    value_case{"not_object", R"({"upstreams":[3]})", "/upstreams/0"},
                    value_case{"escaped_key", R"({"a/b":1})", "/a~1b"}),
    [](const auto& info) { return info.param.name; });

TEST(json_reader_test, AcceptsComments) {
  EXPECT_TRUE(ParseJson("// settings\n{\"a\": 1, /* last */ }").has_value());
}

TEST(json_reader_test, TextMayBeEmptyButNotMissing) {
  const auto parsed = ParseJson(R"({"empty":"","number":1})");
  std::vector<error> errors;
  json_reader reader(parsed.value(), "", errors);
  EXPECT_EQ(reader.Text("empty"), "");
  EXPECT_TRUE(errors.empty());
  EXPECT_EQ(reader.Text("missing"), "");
  EXPECT_EQ(reader.Text("number"), "");
  ASSERT_EQ(errors.size(), 2U);
  EXPECT_EQ(errors[0].path, "/missing");
  EXPECT_EQ(errors[1].path, "/number");
}

}  // namespace
}  // namespace quincebank
