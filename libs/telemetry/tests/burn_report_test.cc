#include "quincebank/telemetry/burn_report.h"

#include <gtest/gtest.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>

namespace quincebank {
namespace {

objective Objective(std::string workspace = {}) {
  return {"munshi", std::move(workspace), 0.99, milliseconds(1000), 0.95};
}

series_counts Series(window_counts short_window, window_counts long_window) {
  return {"munshi", "", milliseconds(1000), short_window, long_window, {}};
}

struct burn_case {
  const char* name;
  window_counts short_window;
  window_counts long_window;
  objective_kind kind;
  double short_burn;
  double long_burn;
  alert_state state;
};

class burn_test : public testing::TestWithParam<burn_case> {};

// Guards against alerts on a lone failure or on a fault that is over, and against none while the
// budget burns. Availability permits 1 in 100, latency 5 in 100.
TEST_P(burn_test, ComputesRatesAndState) {
  burn_counts counts;
  counts.nodes = {{"entry-1", seconds(60)}};
  counts.series = {Series(GetParam().short_window, GetParam().long_window)};
  const burn_report report = MakeBurnReport(counts, {Objective()}, {});
  ASSERT_EQ(report.lines.size(), 2U);
  for (const burn_line& line : report.lines) {
    if (line.kind != GetParam().kind)
      continue;
    EXPECT_NEAR(line.short_burn, GetParam().short_burn, 1e-9);
    EXPECT_NEAR(line.long_burn, GetParam().long_burn, 1e-9);
    EXPECT_NEAR(line.budget_left, 1 - GetParam().long_burn, 1e-9);
    EXPECT_EQ(line.state, GetParam().state);
  }
}

constexpr auto kAvailability = objective_kind::kAvailability;
constexpr auto kLatency = objective_kind::kLatency;

INSTANTIATE_TEST_SUITE_P(
    Windows,
    burn_test,
    testing::Values(
        burn_case{"no_requests", {}, {}, kAvailability, 0, 0, alert_state::kNoData},
        burn_case{"lone_failure",
                  {4, 4, 0},
                  {9, 4, 0},
                  kAvailability,
                  100,
                  400.0 / 9,
                  alert_state::kNoData},
        burn_case{"all_good", {100, 0, 0}, {1000, 0, 0}, kAvailability, 0, 0, alert_state::kOk},
        burn_case{"at_the_permitted_rate",
                  {100, 1, 0},
                  {1000, 10, 0},
                  kAvailability,
                  1,
                  1,
                  alert_state::kOk},
        burn_case{"slow", {100, 5, 0}, {1000, 40, 0}, kAvailability, 5, 4, alert_state::kSlowBurn},
        burn_case{"fast",
                  {100, 20, 0},
                  {1000, 150, 0},
                  kAvailability,
                  20,
                  15,
                  alert_state::kFastBurn},
        burn_case{"over_now", {100, 0, 0}, {1000, 150, 0}, kAvailability, 0, 15, alert_state::kOk},
        burn_case{"only_just_begun",
                  {100, 50, 0},
                  {10'000, 50, 0},
                  kAvailability,
                  50,
                  0.5,
                  alert_state::kOk},
        // Failed requests have no latency: 10 slow ones of 50 answered.
        burn_case{"latency", {100, 50, 10}, {100, 50, 10}, kLatency, 4, 4, alert_state::kSlowBurn},
        burn_case{"nothing_answered",
                  {100, 100, 0},
                  {100, 100, 0},
                  kLatency,
                  0,
                  0,
                  alert_state::kNoData}),
    [](const auto& info) { return info.param.name; });

TEST(burn_report_test, AFullTargetStaysFinite) {
  objective strict = Objective();
  strict.availability = 1;
  burn_counts counts;
  counts.series = {Series({100, 1, 0}, {100, 1, 0})};
  const burn_report report = MakeBurnReport(counts, {strict}, {});
  EXPECT_EQ(report.worst(), alert_state::kFastBurn);
  EXPECT_TRUE(std::isfinite(report.lines[0].long_burn));
}

// Guards against an objective that is missing from the report because nobody calls the service.
TEST(burn_report_test, ListsEveryObjectiveWorstFirst) {
  burn_counts counts;
  counts.nodes = {{"entry-1", seconds(600)}, {"entry-2", seconds(60)}};
  counts.series = {Series({100, 0, 50}, {100, 0, 50})};
  const burn_report report = MakeBurnReport(counts, {Objective("quiet"), Objective()}, {});
  ASSERT_EQ(report.lines.size(), 4U);
  EXPECT_EQ(report.lines[0].kind, objective_kind::kLatency);
  EXPECT_EQ(report.lines[0].workspace, "");
  EXPECT_EQ(report.lines[0].state, alert_state::kSlowBurn);
  EXPECT_EQ(report.lines[3].state, alert_state::kNoData);
  EXPECT_EQ(report.shortest_cover, seconds(60));
  EXPECT_EQ(report.nodes, 2U);
}

TEST(burn_report_test, WritesATableAndJson) {
  burn_counts counts;
  counts.nodes = {{"entry-1", seconds(600)}};
  counts.series = {Series({100, 20, 0}, {1000, 150, 0})};
  counts.series[0].latency.emplace();
  counts.series[0].latency->Add(milliseconds(100));
  const burn_report report = MakeBurnReport(counts, {Objective()}, {});
  EXPECT_EQ(ToText(report),
            "nodes 1, shortest cover 600 s, worst state fast-burn\n"
            "STATE      SERVICE  WORKSPACE  OBJECTIVE      TARGET  SHORT BURN  LONG BURN  "
            "BUDGET LEFT  REQUESTS  BAD  P95 MS\n"
            "fast-burn  munshi   *          availability  99.000%       20.00      15.00     "
            "-1400.0%      1000  150       -\n"
            "ok         munshi   *          latency       95.000%        0.00       0.00       "
            "100.0%       850    0     108\n");
  const boost::json::object object = ToJson(report);
  EXPECT_EQ(object.at("worst"), "fast-burn");
  EXPECT_EQ(object.at("lines").as_array().at(0).at("bad"), 150);
}

burn_counts Node(std::string name, std::string service, milliseconds threshold) {
  burn_counts counts;
  counts.nodes = {{std::move(name), seconds(60)}};
  series_counts series = Series({10, 1, 2}, {100, 10, 20});
  series.service = std::move(service);
  series.latency_threshold = threshold;
  series.latency.emplace();
  series.latency->Add(milliseconds(5));
  counts.series = {series};
  return counts;
}

// Guards against a report that counts nodes wrongly after the wire.
TEST(burn_counts_test, MergesOverTheWire) {
  burn_counts merged;
  const std::vector<burn_counts> nodes{Node("entry-1", "munshi", milliseconds(100)),
                                       Node("entry-2", "munshi", milliseconds(100)),
                                       Node("entry-3", "bahi", milliseconds(30))};
  for (const burn_counts& node : nodes) {
    const auto wire = boost::json::parse(boost::json::serialize(ToJson(node)));
    const auto read = BurnCountsFromJson(wire);
    ASSERT_TRUE(read.has_value()) << Describe(read.error());
    ASSERT_TRUE(merged.Merge(read.value()).has_value());
  }
  ASSERT_EQ(merged.series.size(), 2U);
  EXPECT_EQ(merged.nodes.size(), 3U);
  EXPECT_EQ(merged.series[0].short_window.total, 20U);
  EXPECT_EQ(merged.series[0].long_window.failed, 20U);
  EXPECT_EQ(merged.series[0].long_window.slow, 40U);
  EXPECT_EQ(merged.series[0].latency->total(), 2U);
  EXPECT_EQ(merged.series[1].service, "bahi");
}

struct conflict_case {
  const char* name;
  const char* node;
  milliseconds threshold;
};

class conflict_test : public testing::TestWithParam<conflict_case> {};

// Guards against a node that is counted twice, and against adding counts of different thresholds
// while a configuration change spreads.
TEST_P(conflict_test, ChangesNothing) {
  burn_counts merged = Node("entry-1", "munshi", milliseconds(100));
  burn_counts other = Node("entry-2", "bahi", milliseconds(30));
  const burn_counts clash = Node(GetParam().node, "munshi", GetParam().threshold);
  other.series.push_back(clash.series[0]);
  other.nodes = clash.nodes;
  const auto merge = merged.Merge(other);
  ASSERT_FALSE(merge.has_value());
  EXPECT_EQ(merge.error().code, error_code::kConflict);
  EXPECT_EQ(merged.nodes.size(), 1U);
  EXPECT_EQ(merged.series.size(), 1U);
  EXPECT_EQ(merged.series[0].short_window.total, 10U);
}

INSTANTIATE_TEST_SUITE_P(Nodes,
                         conflict_test,
                         testing::Values(conflict_case{"same_node", "entry-1", milliseconds(100)},
                                         conflict_case{"other_threshold", "entry-2",
                                                       milliseconds(200)}),
                         [](const auto& info) { return info.param.name; });

struct damaged_case {
  const char* name;
  const char* text;
  const char* path;
};

class damaged_counts_test : public testing::TestWithParam<damaged_case> {};

// Guards against a report over damaged answers of a node.
TEST_P(damaged_counts_test, NamesThePath) {
  const auto read = BurnCountsFromJson(boost::json::parse(GetParam().text));
  ASSERT_FALSE(read.has_value());
  EXPECT_EQ(read.error().path, GetParam().path);
}

INSTANTIATE_TEST_SUITE_P(
    Documents,
    damaged_counts_test,
    testing::Values(damaged_case{"no_object", "[]", "/"},
                    damaged_case{"no_node_name", R"({"nodes":[{"covered_s":1}]})", "/nodes/0/name"},
                    damaged_case{"negative",
                                 R"({"series":[{"service":"a","latency_threshold_ms":1,
                                     "short":{"total":-1,"failed":0,"slow":0}}]})",
                                 "/series/0/short/total"},
                    damaged_case{"unknown_key", R"({"seriez":[]})", "/seriez"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace quincebank
