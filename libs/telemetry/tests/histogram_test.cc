#include <gtest/gtest.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <thread>
#include <vector>

#include "quincebank/base/json_reader.h"
#include "quincebank/base/random.h"
#include "quincebank/telemetry/histogram_counts.h"
#include "quincebank/telemetry/latency_histogram.h"

namespace quincebank {
namespace {

// Width of one bin as a factor.
const double kBinFactor = std::exp2(1.0 / kBinsPerOctave);

nanoseconds Micros(std::int64_t count) {
  return std::chrono::microseconds(count);
}

struct quantile_case {
  const char* name;
  double quantile;
};

class quantile_test : public testing::TestWithParam<quantile_case> {};

// Guards against quantiles that are off by more than a bin. Latencies are 1 to 1000 ms, evenly.
TEST_P(quantile_test, IsWithinOneBin) {
  histogram_counts counts;
  for (int ms = 1; ms <= 1000; ++ms)
    counts.Add(milliseconds(ms));
  const auto found = counts.QuantileMs(GetParam().quantile);
  ASSERT_TRUE(found.has_value());
  const double exact = std::max(1.0, 1000 * GetParam().quantile);
  EXPECT_GE(*found, exact * 0.999);
  EXPECT_LE(*found, exact * kBinFactor * 1.001);
}

INSTANTIATE_TEST_SUITE_P(Quantiles,
                         quantile_test,
                         testing::Values(quantile_case{"lowest", 0},
                                         quantile_case{"median", 0.5},
                                         quantile_case{"p95", 0.95},
                                         quantile_case{"p99", 0.99},
                                         quantile_case{"highest", 1}),
                         [](const auto& info) { return info.param.name; });

struct edge_case {
  const char* name;
  nanoseconds latency;
  int bin;
};

class edge_test : public testing::TestWithParam<edge_case> {};

// Guards against latencies outside of the axis that are dropped, so that totals disagree.
TEST_P(edge_test, EveryLatencyIsCounted) {
  latency_histogram histogram;
  histogram.Record(GetParam().latency);
  EXPECT_EQ(histogram.Counts().total(), 1U);
  EXPECT_EQ(histogram.Counts().InBin(GetParam().bin), 1U);
}

INSTANTIATE_TEST_SUITE_P(Latencies,
                         edge_test,
                         testing::Values(edge_case{"zero", nanoseconds(0), -1},
                                         edge_case{"short", Micros(499), -1},
                                         edge_case{"first_bin", Micros(501), 0},
                                         edge_case{"an_hour", std::chrono::hours(1), kLatencyBins}),
                         [](const auto& info) { return info.param.name; });

// Guards against counting too few slow requests when the threshold lies inside a bin.
TEST(histogram_counts_test, AboveIsNeverTooLow) {
  histogram_counts counts;
  for (int ms = 1; ms <= 1000; ++ms)
    counts.Add(milliseconds(ms));
  for (const int threshold : {1, 7, 100, 333, 999}) {
    const std::uint64_t exact = 1000U - static_cast<unsigned>(threshold);
    EXPECT_GE(counts.Above(milliseconds(threshold)), exact);
    EXPECT_LE(counts.Above(milliseconds(threshold)),
              1000 - static_cast<std::uint64_t>(threshold / kBinFactor) + 1);
  }
}

class merge_test : public testing::TestWithParam<std::uint64_t> {};

// Guards against totals that depend on how the requests were spread over nodes, or that change on
// the wire.
TEST_P(merge_test, MergedNodesEqualOneNode) {
  random_source random(GetParam());
  histogram_counts all;
  std::vector<histogram_counts> nodes(5);
  for (int i = 0; i < 2000; ++i) {
    const auto latency = Micros(static_cast<std::int64_t>(std::exp2(random.Unit() * 32)));
    all.Add(latency);
    nodes[random.Below(nodes.size())].Add(latency);
  }
  histogram_counts merged;
  for (const histogram_counts& node : nodes) {
    const auto wire = boost::json::parse(boost::json::serialize(node.ToJson()));
    std::vector<error> errors;
    json_reader reader(wire, "", errors);
    merged.Merge(histogram_counts::FromJson(reader));
    reader.Finish();
    ASSERT_TRUE(errors.empty()) << Describe(errors.front());
  }
  EXPECT_EQ(merged.total(), 2000U);
  for (int bin = -1; bin <= kLatencyBins; ++bin)
    EXPECT_EQ(merged.InBin(bin), all.InBin(bin)) << bin;
  EXPECT_NEAR(merged.sum_ms(), all.sum_ms(), all.sum_ms() * 1e-9);
}

INSTANTIATE_TEST_SUITE_P(Seeds, merge_test, testing::Range<std::uint64_t>(1, 5));

struct wire_case {
  const char* name;
  const char* text;
  const char* path;
};

class wire_test : public testing::TestWithParam<wire_case> {};

// Guards against merging counts of other bins, or damaged ones.
TEST_P(wire_test, RejectsWhatDoesNotFit) {
  const auto value = boost::json::parse(GetParam().text);
  std::vector<error> errors;
  json_reader reader(value, "", errors);
  (void)histogram_counts::FromJson(reader);
  reader.Finish();
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_EQ(errors[0].path, GetParam().path);
}

INSTANTIATE_TEST_SUITE_P(
    Objects,
    wire_test,
    testing::Values(wire_case{"other_bins", R"({"bins":"log2/2","counts":{},"sum_ms":0})", "/bins"},
                    wire_case{"no_such_bin",
                              R"({"bins":"log2/4 0.5ms 22","counts":{"89":1},"sum_ms":0})",
                              "/counts/89"},
                    wire_case{"negative",
                              R"({"bins":"log2/4 0.5ms 22","counts":{"3":-1},"sum_ms":0})",
                              "/counts/3"},
                    wire_case{"no_number", R"({"bins":"log2/4 0.5ms 22","counts":{},"sum_ms":"x"})",
                              "/sum_ms"}),
    [](const auto& info) { return info.param.name; });

// Guards against lost counts when several traffic threads record at once.
TEST(latency_histogram_test, LosesNothingBetweenThreads) {
  latency_histogram histogram;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      for (int k = 0; k < 20'000; ++k)
        histogram.Record(milliseconds(10));
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  EXPECT_EQ(histogram.Counts().total(), 80'000U);
  EXPECT_DOUBLE_EQ(histogram.Counts().sum_ms(), 800'000.0);
}

}  // namespace
}  // namespace quincebank
