#include "quincebank/telemetry/objective_table.h"

#include <gtest/gtest.h>

#include <thread>

namespace quincebank {
namespace {

constexpr time_point kStart{seconds(3600 * 24)};

std::vector<objective> Objectives() {
  objective all;
  all.service = "munshi";
  all.latency_threshold = milliseconds(100);
  objective one = all;
  one.workspace = "garden";
  one.latency_threshold = milliseconds(50);
  return {all, one};
}

ref_ptr<objective_table> Table(const objective_table* previous = nullptr,
                               const std::vector<objective>& objectives = Objectives()) {
  return ref_ptr<objective_table>(new objective_table(objectives, {}, kStart, previous));
}

TEST(objective_table_test, CountsForTheServiceAndTheWorkspace) {
  const auto table = Table();
  table->RecordServed("munshi", "garden", milliseconds(70), kStart);
  table->RecordServed("munshi", "other", milliseconds(120), kStart);
  table->RecordServed("unknown", "garden", milliseconds(120), kStart);
  table->RecordFailed("munshi", "garden", kStart);
  const burn_counts counts = table->Counts("entry-1", kStart);
  ASSERT_EQ(counts.series.size(), 2U);
  const series_counts& all = counts.series[0];
  EXPECT_EQ(all.workspace, "");
  EXPECT_EQ(all.short_window.total, 3U);
  EXPECT_EQ(all.short_window.failed, 1U);
  EXPECT_EQ(all.short_window.slow, 1U);
  ASSERT_TRUE(all.latency.has_value());
  EXPECT_EQ(all.latency->total(), 2U);
  const series_counts& one = counts.series[1];
  EXPECT_EQ(one.workspace, "garden");
  EXPECT_EQ(one.long_window.total, 2U);
  EXPECT_EQ(one.long_window.slow, 1U);
  EXPECT_FALSE(one.latency.has_value());
}

struct age_case {
  const char* name;
  seconds age;
  std::uint64_t in_short;
  std::uint64_t in_long;
};

class window_age_test : public testing::TestWithParam<age_case> {};

// Guards against counts that stay in a window for ever or leave it early. Slots are 300 s long and
// start with the count; the long window is an hour.
TEST_P(window_age_test, CountsLeaveTheWindows) {
  const auto table = Table();
  table->RecordFailed("munshi", "", kStart);
  const burn_counts counts = table->Counts("entry-1", kStart + GetParam().age);
  const window_counts none;
  const bool left = counts.series.empty();
  EXPECT_EQ(left ? none.total : counts.series[0].short_window.total, GetParam().in_short);
  EXPECT_EQ(left ? none.total : counts.series[0].long_window.total, GetParam().in_long);
}

INSTANTIATE_TEST_SUITE_P(Ages,
                         window_age_test,
                         testing::Values(age_case{"now", seconds(0), 1, 1},
                                         age_case{"in_the_short_window", seconds(599), 1, 1},
                                         age_case{"past_the_short_window", seconds(600), 0, 1},
                                         age_case{"in_the_long_window", seconds(3600), 0, 1},
                                         age_case{"past_the_long_window", seconds(3900), 0, 0},
                                         age_case{"a_day", seconds(86'400), 0, 0}),
                         [](const auto& info) { return info.param.name; });

// Guards against old counts that come back when a slot is used again.
TEST(objective_table_test, ASlotIsClearedBeforeItIsReused) {
  const auto table = Table();
  for (int i = 0; i < 100; ++i) {
    table->RecordServed("munshi", "garden", seconds(1), kStart);
    table->RecordFailed("munshi", "garden", kStart);
  }
  // 13 slots of 300 s later the same slot is used again.
  const time_point later = kStart + seconds(13 * 300);
  table->RecordServed("munshi", "garden", seconds(1), later);
  const burn_counts counts = table->Counts("entry-1", later);
  ASSERT_EQ(counts.series.size(), 2U);
  for (const series_counts& series : counts.series) {
    EXPECT_EQ(series.long_window.total, 1U);
    EXPECT_EQ(series.long_window.failed, 0U);
    EXPECT_EQ(series.long_window.slow, 1U);
  }
  EXPECT_EQ(counts.series[0].latency->total(), 1U);
}

// Guards against a configuration change that resets the burn rates, and against counts of an old
// threshold that are read as counts of the new one.
TEST(objective_table_test, ANewConfigurationKeepsWhatStillApplies) {
  const auto before = Table();
  before->RecordFailed("munshi", "garden", kStart);
  std::vector<objective> changed = Objectives();
  changed[1].latency_threshold = milliseconds(60);
  const auto after = Table(before.get(), changed);
  const burn_counts counts = after->Counts("entry-1", kStart + seconds(60));
  ASSERT_EQ(counts.series.size(), 1U);
  EXPECT_EQ(counts.series[0].workspace, "");
  EXPECT_EQ(counts.nodes[0].covered, seconds(60));
}

// Guards against lost counts between traffic threads, the creation of the first slot included.
TEST(objective_table_test, LosesNothingBetweenThreads) {
  const auto table = Table();
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      for (int k = 0; k < 5'000; ++k) {
        table->RecordServed("munshi", "garden", milliseconds(70), kStart);
        table->RecordFailed("munshi", "garden", kStart);
      }
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  const burn_counts counts = table->Counts("entry-1", kStart);
  ASSERT_EQ(counts.series.size(), 2U);
  for (const series_counts& series : counts.series) {
    EXPECT_EQ(series.short_window.total, 40'000U);
    EXPECT_EQ(series.short_window.failed, 20'000U);
  }
  EXPECT_EQ(counts.series[0].latency->total(), 20'000U);
}

}  // namespace
}  // namespace quincebank
