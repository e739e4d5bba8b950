#include "quincebank/scenario/script.h"

#include <gtest/gtest.h>

#include "quincebank/scenario/world.h"

namespace quincebank::scenario {
namespace {

struct error_case {
  const char* text;
  const char* path;
  const char* message;  ///< Part of it.
};

void PrintTo(const error_case& row, std::ostream* stream) {
  *stream << row.path;
}

class script_error_test : public testing::TestWithParam<error_case> {};

// Guards against a mistyped script that passes because a line of it does nothing.
TEST_P(script_error_test, NamesLineAndColumn) {
  order_policy rules;
  const auto report = RunScript(GetParam().text, 1, rules);
  ASSERT_FALSE(report.has_value());
  EXPECT_EQ(report.error().path, GetParam().path);
  EXPECT_NE(report.error().message.find(GetParam().message), std::string::npos)
      << report.error().message;
}

INSTANTIATE_TEST_SUITE_P(
    Syntax,
    script_error_test,
    testing::Values(error_case{"entry e1\nbogus x", "2:1", "unknown command 'bogus'"},
                    error_case{"\n  kill", "2:7", "needs at least 1"},
                    error_case{"entry e1 # fine\nkill e1 e2", "2:9", "no more words"},
                    error_case{"entry e1\norder key=a kee=b via e1", "2:13", "no option 'kee'"},
                    error_case{"entry e1\norder key= via e1", "2:11", "has no value"},
                    error_case{"entry e1\norder key=a key=b via e1", "2:13", "given twice"},
                    error_case{"run 5", "1:5", "not a duration"},
                    error_case{"run 5m", "1:5", "not a duration"},
                    error_case{"run -5s", "1:5", "not a duration"},
                    error_case{"kv lose-answer next many", "1:21", "not a count"}));

INSTANTIATE_TEST_SUITE_P(
    Meaning,
    script_error_test,
    testing::Values(error_case{"kill e1", "1:6", "unknown process 'e1'"},
                    error_case{"entry e1\nentry e2 e1", "2:10", "exists already"},
                    error_case{"entry e1\nstart e1", "2:7", "is running"},
                    error_case{"entry e1\norder key=a via e2", "2:17", "unknown entry"},
                    error_case{"entry e1\norder key=a to e1", "2:13", "'via' expected"},
                    error_case{"entry e1\norder via e1", "2:1", "'key=' is missing"},
                    error_case{"entry e1\norder key=a via e1 as=odd", "2:23", "expected 'keyed'"},
                    error_case{"entry e1\ndrain e1", "2:7", "is no agent"},
                    error_case{"entry e1\ncut e1 e3", "2:8", "unknown process"},
                    error_case{"kv explode", "1:4", "expected 'down'"},
                    error_case{"entry e1\nretention 10s e1", "2:11", "3600s to 604800s"},
                    error_case{"entry e1\nretention 3600s e2", "2:17", "unknown process"},
                    error_case{"agent a1\nsweep a1", "2:7", "unknown entry"},
                    error_case{"retries maybe", "1:9", "'on' or 'off'"},
                    error_case{"expect runs k1 <", "1:1", "OPERATOR COUNT"},
                    error_case{"expect runs k1 < 1", "1:16", "'<='"},
                    error_case{"expect last k1 answered", "1:13", "no call for 'k1'"},
                    error_case{"expect luck k1 good", "1:8", "'runs' or 'last'"}));

TEST(script_test, ReadsWordsOptionsAndComments) {
  const auto commands = ParseScript("# title\n\norder  key=k1 via e1   # why\r\nrun 5s");
  ASSERT_TRUE(commands.has_value());
  ASSERT_EQ(commands.value().size(), 2U);
  const script_command& order = commands.value()[0];
  EXPECT_EQ(order.line, 3U);
  EXPECT_EQ(order.words.size(), 2U);
  EXPECT_EQ(order.options.at("key").text, "k1");
  EXPECT_EQ(order.options.at("key").column, 12U);
}

// Guards against expectations that never fail.
TEST(script_test, AFailedExpectationIsReported) {
  order_policy rules;
  const auto report = RunScript(
      "entry e1\nagent a1\nrun 50ms\norder key=k via e1\nsettle\nexpect runs k == 2\nexpect last k "
      "not-run\n",
      1, rules);
  ASSERT_TRUE(report.has_value());
  EXPECT_EQ(report.value().violations.size(), 2U);
}

}  // namespace
}  // namespace quincebank::scenario
