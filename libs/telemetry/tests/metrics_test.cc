#include "quincebank/telemetry/metrics.h"

#include <gtest/gtest.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace quincebank {
namespace {

metric_id Requests(const char* service) {
  return {"quincebank_requests_total", "Requests.", {{"service", service}}};
}

// Guards against a scraper that rejects the page: lines of one name apart from each other, or text
// that is not escaped.
TEST(metrics_test, WritesTheTextFormat) {
  metrics_registry registry;
  registry.AddCounter(Requests("munshi")).Add(3);
  registry.AddCounter({"quincebank_other_total", "Line\nand \\.", {}}).Add();
  registry.AddCounter(Requests("a\"b\\c\nd")).Add(4);
  registry.AddGauge({"quincebank_in_flight", "In flight.", {}}).Set(-2);
  EXPECT_EQ(ToPrometheusText(registry.Snapshot()),
            "# HELP quincebank_requests_total Requests.\n"
            "# TYPE quincebank_requests_total counter\n"
            "quincebank_requests_total{service=\"munshi\"} 3\n"
            "quincebank_requests_total{service=\"a\\\"b\\\\c\\nd\"} 4\n"
            "# HELP quincebank_other_total Line\\nand \\\\.\n"
            "# TYPE quincebank_other_total counter\n"
            "quincebank_other_total 1\n"
            "# HELP quincebank_in_flight In flight.\n"
            "# TYPE quincebank_in_flight gauge\n"
            "quincebank_in_flight -2\n");
}

// Guards against buckets that are not cumulative, and latencies that are not in seconds.
TEST(metrics_test, WritesCumulativeBucketsInSeconds) {
  metrics_registry registry;
  latency_histogram& latency =
      registry.AddHistogram({"quincebank_latency_seconds", "Latency.", {{"service", "bahi"}}});
  latency.Record(nanoseconds(100));
  latency.Record(std::chrono::microseconds(1500));
  latency.Record(std::chrono::hours(2));
  const std::string text = ToPrometheusText(registry.Snapshot());
  for (const char* line :
       {"# TYPE quincebank_latency_seconds histogram\n",
        "quincebank_latency_seconds_bucket{service=\"bahi\",le=\"0.001\"} 1\n",
        "quincebank_latency_seconds_bucket{service=\"bahi\",le=\"0.002\"} 2\n",
        "quincebank_latency_seconds_bucket{service=\"bahi\",le=\"2097.152\"} 2\n",
        "quincebank_latency_seconds_bucket{service=\"bahi\",le=\"+Inf\"} 3\n",
        "quincebank_latency_seconds_sum{service=\"bahi\"} 7200.0015\n",
        "quincebank_latency_seconds_count{service=\"bahi\"} 3\n"})
    EXPECT_NE(text.find(line), std::string::npos) << line << text;
}

// Guards against two counters of the same name, of which a scraper reads only one.
TEST(metrics_test, TheSameNameAndLabelsAreOneMetric) {
  metrics_registry registry;
  counter& first = registry.AddCounter(Requests("munshi"));
  counter& other = registry.AddCounter(Requests("bahi"));
  EXPECT_EQ(&registry.AddCounter(Requests("munshi")), &first);
  EXPECT_NE(&first, &other);
}

// Guards against totals that are lost or doubled between nodes.
TEST(metrics_test, MergesOverTheWire) {
  metrics_snapshot merged;
  for (const char* second : {"bahi", "order-desk"}) {
    metrics_registry registry;
    registry.AddCounter(Requests("munshi")).Add(3);
    registry.AddCounter(Requests(second)).Add(5);
    registry.AddGauge({"quincebank_in_flight", "In flight.", {}}).Set(-2);
    registry.AddHistogram({"quincebank_latency_seconds", "Latency.", {}}).Record(seconds(1));
    const auto wire = boost::json::parse(boost::json::serialize(ToJson(registry.Snapshot())));
    const auto read = MetricsFromJson(wire);
    ASSERT_TRUE(read.has_value()) << Describe(read.error());
    merged.Merge(read.value());
  }
  ASSERT_EQ(merged.counters.size(), 3U);
  EXPECT_EQ(merged.counters[0].value, 6U);
  EXPECT_EQ(merged.counters[1].value, 5U);
  EXPECT_EQ(merged.counters[0].id.labels, Requests("munshi").labels);
  ASSERT_EQ(merged.gauges.size(), 1U);
  EXPECT_EQ(merged.gauges[0].value, -4);
  ASSERT_EQ(merged.histograms.size(), 1U);
  EXPECT_EQ(merged.histograms[0].counts.total(), 2U);
}

struct damaged_case {
  const char* name;
  const char* text;
  const char* path;
};

class damaged_test : public testing::TestWithParam<damaged_case> {};

// Guards against a report over damaged answers of a node.
TEST_P(damaged_test, NamesThePath) {
  const auto read = MetricsFromJson(boost::json::parse(GetParam().text));
  ASSERT_FALSE(read.has_value());
  EXPECT_EQ(read.error().path, GetParam().path);
}

INSTANTIATE_TEST_SUITE_P(
    Documents,
    damaged_test,
    testing::Values(
        damaged_case{"no_object", "[]", "/"},
        damaged_case{"no_array", R"({"counters":{}})", "/counters"},
        damaged_case{"no_element", R"({"counters":[7,{"name":"a","value":1}]})", "/counters/0"},
        damaged_case{"no_value", R"({"counters":[{"name":"a"}]})", "/counters/0/value"},
        damaged_case{"bad_label", R"({"gauges":[{"name":"a","labels":{"b":1},"value":1}]})",
                     "/gauges/0/labels/b"},
        damaged_case{"bad_bins", R"({"histograms":[{"name":"a","value":{"bins":"x"}}]})",
                     "/histograms/0/value/bins"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace quincebank
