#include "quincebank/placement/crash_blame.h"

#include <gtest/gtest.h>

#include <variant>

namespace quincebank {
namespace {

using namespace std::chrono_literals;
using strings = std::vector<std::string>;

constexpr time_point kStart{1h};

struct crash_step {
  std::string upstream;
  strings segments;
  milliseconds at;
};
struct served_step {
  strings segments;
  milliseconds at;
};

struct blame_case {
  const char* name;
  std::vector<std::variant<crash_step, served_step>> steps;
  strings blocked;
  strings allowed;
};

class crash_blame_test : public testing::TestWithParam<blame_case> {};

// Guards against a prompt segment that crashes one upstream after the other, and against rejected
// requests that only share a caller or other segments with it.
TEST_P(crash_blame_test, BlocksOnlyTheSegmentThatCrashesUpstreams) {
  crash_blame blame;
  time_point now = kStart;
  for (const auto& step : GetParam().steps) {
    if (const auto* const crash = std::get_if<crash_step>(&step)) {
      now = kStart + crash->at;
      blame.Evaluate(now);
      blame.OnCrash({crash->upstream, crash->at, {blame.Suspects(crash->segments, now)}}, now);
    } else {
      const auto& served = std::get<served_step>(step);
      now = kStart + served.at;
      blame.OnServed(served.segments, now);
    }
  }
  now += crash_blame_settings{}.report_time;
  blame.Evaluate(now);
  for (const std::string& segment : GetParam().blocked)
    EXPECT_TRUE(blame.BlockedUntil({"x", segment}, now)) << segment;
  for (const std::string& segment : GetParam().allowed)
    EXPECT_FALSE(blame.BlockedUntil({"x", segment}, now)) << segment;
}

INSTANTIATE_TEST_SUITE_P(
    crashes,
    crash_blame_test,
    testing::Values(
        blame_case{"two_crashes",
                   {crash_step{"a", {"bad"}, 0s}, crash_step{"b", {"bad"}, 1s}},
                   {},
                   {"bad"}},
        blame_case{"three_crashes",
                   {crash_step{"a", {"bad"}, 0s}, crash_step{"b", {"bad"}, 1s},
                    crash_step{"c", {"bad"}, 2s}},
                   {"bad"},
                   {"x"}},
        blame_case{"one_upstream_reported_by_three_entries",
                   {crash_step{"a", {"bad"}, 0s}, crash_step{"a", {"bad"}, 1s},
                    crash_step{"a", {"bad"}, 2s}},
                   {},
                   {"bad"}},
        blame_case{"common_cause",
                   {crash_step{"a", {"m"}, 0ms}, crash_step{"b", {"m"}, 20ms},
                    crash_step{"c", {"m"}, 40ms}},
                   {},
                   {"m"}},
        blame_case{"shared_first_segment",
                   {crash_step{"a", {"first", "bad"}, 0s}, crash_step{"b", {"first", "bad"}, 1s},
                    crash_step{"c", {"first", "bad"}, 2s}},
                   {"bad"},
                   {"first"}},
        blame_case{"shared_later_segment_was_served",
                   {served_step{{"later"}, 0s}, crash_step{"a", {"bad", "later"}, 1s},
                    crash_step{"b", {"bad", "later"}, 2s}, crash_step{"c", {"bad", "later"}, 3s}},
                   {"bad"},
                   {"later"}},
        blame_case{"an_entry_that_served_the_first_segment_reports_first",
                   {crash_step{"a", {"bad"}, 0s}, crash_step{"a", {"first", "bad"}, 0s},
                    crash_step{"b", {"bad"}, 1s}, crash_step{"b", {"first", "bad"}, 1s},
                    crash_step{"c", {"bad"}, 2s}, crash_step{"c", {"first", "bad"}, 2s}},
                   {"bad"},
                   {"first"}},
        blame_case{"popular_first_segment_reported_before_the_other_one",
                   {crash_step{"a", {"first", "bad"}, 0s}, crash_step{"b", {"first", "bad"}, 1s},
                    crash_step{"b", {"first"}, 1s}, crash_step{"c", {"first"}, 2s},
                    crash_step{"c", {"first", "bad"}, 2'100ms}},
                   {"bad"},
                   {"first"}},
        blame_case{"bystanders",
                   {crash_step{"a", {"one"}, 0s}, crash_step{"a", {"bad"}, 0s},
                    crash_step{"b", {"bad"}, 1s}, crash_step{"b", {"two"}, 1s},
                    crash_step{"c", {"one", "bad"}, 2s}},
                   {"bad"},
                   {"one", "two"}},
        blame_case{"served_between_crashes",
                   {crash_step{"a", {"m"}, 0s}, crash_step{"b", {"m"}, 1s}, served_step{{"m"}, 2s},
                    crash_step{"c", {"m"}, 3s}},
                   {},
                   {"m"}},
        blame_case{"served_after_the_block",
                   {crash_step{"a", {"m"}, 0s}, crash_step{"b", {"m"}, 1s},
                    crash_step{"c", {"m"}, 2s}, served_step{{"m"}, 3s}},
                   {},
                   {"m"}},
        blame_case{"one_crash_renews_an_older_block",
                   {crash_step{"a", {"bad"}, 0s}, crash_step{"b", {"bad"}, 1s},
                    crash_step{"c", {"bad"}, 2s}, crash_step{"d", {"bad"}, 700s}},
                   {"bad"},
                   {}},
        blame_case{"block_ends",
                   {crash_step{"a", {"bad"}, 0s}, crash_step{"b", {"bad"}, 1s},
                    crash_step{"c", {"bad"}, 2s}, served_step{{"m"}, 602s}},
                   {},
                   {"bad"}}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against further crashes while the reports of other entries are under way.
TEST(crash_blame, BlocksAllCandidatesUntilTheReportsAreComplete) {
  crash_blame blame;
  for (int i = 0; i < 3; ++i)
    blame.OnCrash({std::to_string(i), i * 1s, {{"first", "bad"}}}, kStart + i * 1s);
  const time_point now = kStart + 2s;
  EXPECT_TRUE(blame.Evaluate(now).empty());
  EXPECT_EQ(blame.BlockedUntil({"first"}, now), now + crash_blame_settings{}.report_time);
  const time_point later = now + crash_blame_settings{}.report_time;
  EXPECT_EQ(blame.Evaluate(later), strings{"bad"});
  EXPECT_FALSE(blame.BlockedUntil({"first"}, later));
}

TEST(crash_report, SurvivesARoundTripAndRejectsOtherText) {
  const crash_report report{"i-1/5", 812ms, {{"a", "b"}, {"c"}}};
  EXPECT_EQ(DecodeCrashReport(Encode(report)), report);
  for (const char* const bad : {"", "[]", "{}", R"({"upstream":1,"at_ms":1,"requests":[]})"})
    EXPECT_FALSE(DecodeCrashReport(bad)) << bad;
}

}  // namespace
}  // namespace quincebank
