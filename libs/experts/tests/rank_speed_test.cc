#include "quincebank/experts/rank_speed.h"

#include <gtest/gtest.h>

#include <set>

#include "quincebank/base/random.h"

namespace quincebank {
namespace {

/// Near-normal noise of the given deviation around `center`.
std::int64_t Noisy(random_source& random, double center, double deviation) {
  double sum = -6;
  for (int i = 0; i < 12; ++i)
    sum += random.Unit();
  return static_cast<std::int64_t>(center * (1 + (deviation * sum)));
}

void AddSample(speed_history& history, std::int64_t sample) {
  AddSamples({&history, 1}, {&sample, 1});
}

void AddEqual(speed_history& history, std::int64_t sample, int count) {
  for (int i = 0; i < count; ++i)
    AddSample(history, sample);
}

TEST(rank_speed_test, MeasuresRelativeToTheMedianRank) {
  const std::vector<rank_time> times{{1'000, 100}, {2'000, 100}, {1'000, 100}, {}, {500, 0}};
  const std::vector<std::int64_t> expected{1000, 500, 1000, 0, 0};
  EXPECT_EQ(MeasureSpeeds(times), expected);
  EXPECT_EQ(MeasureSpeeds(std::vector<rank_time>(2)), (std::vector<std::int64_t>{0, 0}));
}

// Guards against taking load for slowness: a rank with twice the tokens may take twice the time.
TEST(rank_speed_test, LoadIsNotSlowness) {
  const std::vector<rank_time> times{{1'000, 100}, {2'000, 200}, {500, 50}};
  EXPECT_EQ(MeasureSpeeds(times), (std::vector<std::int64_t>{1000, 1000, 1000}));
}

TEST(rank_speed_test, FollowsAStragglerAndItsRecovery) {
  speed_history history;
  AddEqual(history, 1000, 30);
  AddEqual(history, 500, 2);
  EXPECT_EQ(EstimateSpeed(history), 1000) << "two stalled windows may be outliers";
  AddSample(history, 500);
  EXPECT_EQ(EstimateSpeed(history), 500);
  AddEqual(history, 500, 20);
  AddEqual(history, 1000, 3);
  EXPECT_EQ(EstimateSpeed(history), 1000);
}

// Guards against a map change after a single stalled step, however long.
TEST(rank_speed_test, SingleStallsChangeNothing) {
  speed_history history;
  random_source random(7);
  for (int window = 0; window < 200; ++window) {
    AddSample(history, window % 7 == 3 ? 1 : Noisy(random, 1000, 0.01));
    EXPECT_EQ(EstimateSpeed(history), 1000) << window;
  }
}

struct noise_case {
  const char* name;
  double deviation;
  std::size_t most_changes;  ///< Over 32 ranks and 500 windows.
};

class speed_noise_test : public testing::TestWithParam<noise_case> {};

// Guards against estimates that follow noise and so cause map changes.
TEST_P(speed_noise_test, NoiseHardlyMovesTheEstimate) {
  std::size_t changes = 0;
  for (std::uint64_t rank = 0; rank < 32; ++rank) {
    random_source random(rank + 1);
    speed_history history;
    for (int window = 0; window < 500; ++window) {
      const std::int64_t before = EstimateSpeed(history);
      AddSample(history, Noisy(random, 1000, GetParam().deviation));
      changes += EstimateSpeed(history) == before ? 0 : 1;
    }
    EXPECT_NEAR(static_cast<double>(EstimateSpeed(history)), 1000, 100);
  }
  EXPECT_LE(changes, GetParam().most_changes);
}

INSTANTIATE_TEST_SUITE_P(Deviations,
                         speed_noise_test,
                         testing::Values(noise_case{"one_percent", 0.01, 0},
                                         noise_case{"three_percent", 0.03, 0},
                                         noise_case{"ten_percent", 0.10, 0}),
                         [](const auto& info) { return info.param.name; });

// Guards against a rank that gets no load at all, whose recovery nothing would show.
TEST(rank_speed_test, IsBoundedFromBelow) {
  speed_history history;
  AddEqual(history, 3, 10);
  EXPECT_EQ(EstimateSpeed(history), 200);
}

// Guards against giving a straggler its load back after one lost report, and against keeping an old
// estimate for a rank that has ceased to report.
TEST(rank_speed_test, MissingReportsCountAsNormalInTheEnd) {
  speed_history history;
  EXPECT_EQ(EstimateSpeed(history), kSpeedUnit);
  AddEqual(history, 500, 10);
  AddEqual(history, 0, 4);
  EXPECT_EQ(EstimateSpeed(history), 500);
  AddSample(history, 500);
  AddEqual(history, 0, 4);
  EXPECT_EQ(EstimateSpeed(history), 500) << "gaps don't add up";
  AddSample(history, 0);
  EXPECT_EQ(EstimateSpeed(history), kSpeedUnit);
}

// Guards against a share that shrinks in a circle: with a fixed part in the step time, less load
// makes a rank look slower, which lowers its load again.
TEST(rank_speed_test, AFixedPartOfTheStepTimeDoesNotRunAway) {
  constexpr double kFixed = 0.5;  // Of the time that the mean load takes at nominal speed.
  constexpr double kTrueSpeed = 0.6;
  speed_history slow;
  for (int window = 0; window < 60; ++window) {
    const double load = static_cast<double>(EstimateSpeed(slow)) / kSpeedUnit;
    const auto busy = [](double tokens, double speed) {
      return static_cast<std::int64_t>(1e6 * (kFixed + (tokens / speed)));
    };
    const auto tokens = static_cast<std::int64_t>(1e6 * load);
    const std::vector<rank_time> times{
        {busy(load, kTrueSpeed), tokens}, {busy(1, 1), 1'000'000}, {busy(1, 1), 1'000'000}};
    AddSample(slow, MeasureSpeeds(times).front());
  }
  EXPECT_NEAR(static_cast<double>(EstimateSpeed(slow)), 1000 * kTrueSpeed, 30);
}

}  // namespace
}  // namespace quincebank
