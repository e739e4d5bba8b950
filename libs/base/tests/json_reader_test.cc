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

struct word_case {
  const char* name;
  const char* text;
  const char* replaced;  ///< Equal to the text if all of it is JSON.
  const char* path;      ///< Of the first replaced word.
};

class invalid_word_test : public testing::TestWithParam<word_case> {};

// Guards against a document that cannot be read at all because of one composed figure in it, and
// against changes of strings, comments and sound values.
TEST_P(invalid_word_test, IsReplacedAndReported) {
  std::vector<error> errors;
  EXPECT_EQ(ReplaceInvalidValues(GetParam().text, errors), GetParam().replaced);
  EXPECT_EQ(errors.empty() ? "" : errors[0].path, GetParam().path);
}

INSTANTIATE_TEST_SUITE_P(
    texts,
    invalid_word_test,
    testing::Values(word_case{"sound", R"({"a": [1, -2.5e3, true, null], "b": {}})",
                              R"({"a": [1, -2.5e3, true, null], "b": {}})", ""},
                    word_case{"string", R"({"a": "true000, \" // 00"})",
                              R"({"a": "true000, \" // 00"})", ""},
                    word_case{"comment", "{/* 00: , */\"a\": 1, // 00\n}",
                              "{/* 00: , */\"a\": 1, // 00\n}", ""},
                    word_case{"truth", "{\n\"a\": true000}", "{\n\"a\": null}", "2:6"},
                    word_case{"zeros", R"({"a": 0000, "b": 7})", R"({"a": null, "b": 7})", "1:7"},
                    word_case{"beyond_double", R"([1e1000])", R"([null])", "1:2"},
                    word_case{"missing", R"({"a": , "b":})", R"({"a": null, "b":null})", "1:7"},
                    word_case{"behind_comment", R"({"a": /**/})", R"({"a": /**/null})", "1:11"},
                    word_case{"open_string", R"({"a": "x)", R"({"a": "x)", ""}),
    [](const auto& info) { return info.param.name; });

struct rounding_case {
  const char* name;
  const char* number;
  std::int64_t whole;     ///< -1 if it is refused.
  milliseconds duration;  ///< Of so many seconds; -1 if it is refused.
};

class rounding_test : public testing::TestWithParam<rounding_case> {};

TEST_P(rounding_test, RoundsDown) {
  const auto parsed = ParseJson(std::string(R"({"n":)") + GetParam().number + "}");
  std::vector<error> errors;
  json_reader reader(parsed.value(), "", errors);
  EXPECT_EQ(reader.RoundedInt("n", {0, 5'000}, -1), GetParam().whole);
  EXPECT_EQ(reader.Duration("n", seconds(1), {milliseconds(1), seconds(60)}, milliseconds(-1)),
            GetParam().duration);
  EXPECT_EQ(errors.size(),
            (GetParam().whole < 0 ? 1U : 0U) + (GetParam().duration.count() < 0 ? 1U : 0U));
}

INSTANTIATE_TEST_SUITE_P(
    numbers,
    rounding_test,
    testing::Values(rounding_case{"whole", "7", 7, milliseconds(7'000)},
                    rounding_case{"whole_fraction", "7.0", 7, milliseconds(7'000)},
                    rounding_case{"fraction", "7.9999", 7, milliseconds(7'999)},
                    rounding_case{"exponent", "2e1", 20, milliseconds(20'000)},
                    rounding_case{"tiny", "1e-9", 0, milliseconds(1)},
                    rounding_case{"zero", "0", 0, milliseconds(-1)},
                    rounding_case{"negative", "-0.5", -1, milliseconds(-1)},
                    rounding_case{"long", "4000", 4'000, milliseconds(-1)},
                    rounding_case{"huge", "1e300", -1, milliseconds(-1)},
                    rounding_case{"truth", "true", -1, milliseconds(-1)},
                    rounding_case{"none", "null", -1, milliseconds(-1)}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace quincebank
