#include "quincebank/placement/max_wait.h"

#include <gtest/gtest.h>

#include <deque>
#include <vector>

#include "quincebank/base/random.h"
#include "quincebank/placement/queue_wait_estimator.h"
#include "quincebank/placement/wait_queue.h"

namespace quincebank {
namespace {

constexpr milliseconds kObjective{600};
constexpr milliseconds kMaxWait = kObjective / 2;
constexpr milliseconds kTimeLeft{8'000};
const time_point kNow{seconds(100)};

route_rule Route() {
  route_rule route;
  route.latency_objective = kObjective;
  return route;
}

struct wait_case {
  const char* name;
  capacity_outlook outlook;
  milliseconds time_left;
  milliseconds max_wait;
};

class max_wait_test : public testing::TestWithParam<wait_case> {};

// Guards against requests that wait although it is known that no upstream can serve them.
TEST_P(max_wait_test, WaitsOnlyIfCapacityIsPossible) {
  EXPECT_EQ(MaxWait(Route(), GetParam().outlook, GetParam().time_left, kNow), GetParam().max_wait);
}

INSTANTIATE_TEST_SUITE_P(
    outlooks,
    max_wait_test,
    testing::Values(
        wait_case{"full", {placement_obstacle::kFull, {}, {}}, kTimeLeft, kMaxWait},
        wait_case{"little_time_left",
                  {placement_obstacle::kFull, {}, {}},
                  milliseconds(40),
                  milliseconds(40)},
        wait_case{"no_time_left", {placement_obstacle::kFull, {}, {}}, milliseconds(-5), {}},
        wait_case{"evacuated",
                  {placement_obstacle::kNoUpstream, time_point::max(), {}},
                  kTimeLeft,
                  {}},
        wait_case{"cold_available_soon",
                  {placement_obstacle::kRateLimited, kNow + milliseconds(200), {}},
                  kTimeLeft,
                  kMaxWait},
        wait_case{"cold_available_late",
                  {placement_obstacle::kRateLimited, kNow + milliseconds(900), {}},
                  kTimeLeft,
                  {}},
        wait_case{"cold_without_a_share",
                  {placement_obstacle::kRateLimited, time_point::max(), {}},
                  kTimeLeft,
                  {}},
        wait_case{"group_opens_in_time",
                  {placement_obstacle::kForming, kNow + milliseconds(200), milliseconds(700)},
                  kTimeLeft,
                  kMaxWait},
        wait_case{"group_opens_late",
                  {placement_obstacle::kForming, kNow + milliseconds(400), {}},
                  kTimeLeft,
                  {}},
        wait_case{"estimate_within_margin",
                  {placement_obstacle::kFull, {}, milliseconds(500)},
                  kTimeLeft,
                  kMaxWait},
        wait_case{"estimate_beyond_margin",
                  {placement_obstacle::kFull, {}, milliseconds(700)},
                  kTimeLeft,
                  {}}),
    [](const auto& info) { return std::string(info.param.name); });

/// Load of one service at one entry, in simulated time. Upstream slots become free at a steady
/// rate.
struct overload {
  const char* name;
  milliseconds arrival_interval;  ///< Mean time between two requests.
  milliseconds slot_interval;     ///< Mean time between two slots that become free.
};

struct overload_result {
  int served = 0;
  int rejected = 0;
  milliseconds wasted_wait{0};  ///< Total time that rejected requests have waited.
};

overload_result Simulate(const overload& load, bool use_estimate) {
  struct queued_request {
    wait_queue::waiter waiter;
    time_point since;
  };
  constexpr milliseconds kLength{120'000};
  constexpr std::size_t kCapacity = 256;
  random_source random(7);
  const auto random_interval = [&](milliseconds mean) {
    return milliseconds(
        1 + static_cast<std::int64_t>(2 * random.Unit() * static_cast<double>(mean.count())));
  };
  wait_queue queue(kCapacity);
  queue_wait_estimator estimator;
  std::deque<queued_request> waiting;
  overload_result result;
  int free_slots = 0;  // A slot stays free until a request takes it.
  time_point next_arrival = kNow;
  time_point next_free = kNow + load.slot_interval;
  for (time_point now = kNow; now < kNow + kLength; now += milliseconds(1)) {
    for (queued_request& one : waiting) {
      if (!one.waiter.queued || now - one.since < kMaxWait)
        continue;
      queue.Remove(one.waiter);
      ++result.rejected;
      result.wasted_wait += kMaxWait;
    }
    if (now >= next_free) {
      next_free = now + random_interval(load.slot_interval);
      ++free_slots;
    }
    for (queued_request& one : waiting) {
      if (free_slots == 0 || !one.waiter.queued || !queue.IsFirst(one.waiter))
        continue;
      queue.Dequeue(one.waiter);
      estimator.OnDequeue(now);
      ++result.served;
      --free_slots;
    }
    while (!waiting.empty() && !waiting.front().waiter.queued)
      waiting.pop_front();
    if (now < next_arrival)
      continue;
    next_arrival = now + random_interval(load.arrival_interval);
    if (queue.empty() && free_slots > 0) {
      ++result.served;
      --free_slots;
      continue;
    }
    if (queue.empty())
      estimator.OnQueueStart(now);
    const milliseconds expected =
        use_estimate ? estimator.EstimateWait(queue.size(), now) : milliseconds(0);
    if (MaxWait(Route(), {placement_obstacle::kFull, now, expected}, kTimeLeft, now).count() == 0) {
      ++result.rejected;
      continue;
    }
    waiting.push_back({{}, now});
    EXPECT_TRUE(queue.TryEnqueue(waiting.back().waiter, {1}));
  }
  for (queued_request& one : waiting)
    queue.Remove(one.waiter);
  return result;
}

class overload_test : public testing::TestWithParam<overload> {};

// Guards against an overload in which each request that can't be served first waits for half of its
// latency objective. As many requests must be served as without estimates.
TEST_P(overload_test, RejectsEarlierAndServesAsMuch) {
  constexpr double kServedTolerance = 0.03;
  const overload_result baseline = Simulate(GetParam(), false);
  const overload_result estimated = Simulate(GetParam(), true);
  EXPECT_GE(estimated.served, baseline.served * (1 - kServedTolerance));
  if (baseline.rejected > 0) {
    EXPECT_LT(estimated.wasted_wait, baseline.wasted_wait);
  }
  RecordProperty("served", estimated.served);
  RecordProperty("served_without_estimates", baseline.served);
  RecordProperty("wasted_wait_ms", static_cast<int>(estimated.wasted_wait.count()));
  RecordProperty("wasted_wait_ms_without_estimates",
                 static_cast<int>(baseline.wasted_wait.count()));
}

INSTANTIATE_TEST_SUITE_P(loads,
                         overload_test,
                         testing::Values(overload{"underload", milliseconds(200), milliseconds(40)},
                                         overload{"burst", milliseconds(60), milliseconds(100)},
                                         overload{"fivefold", milliseconds(40), milliseconds(200)},
                                         overload{"stalled", milliseconds(100),
                                                  milliseconds(2'000)}),
                         [](const auto& info) { return std::string(info.param.name); });

// Guards against an estimate that stays the same although the queue has stalled or the overload is
// over.
TEST(queue_wait_estimator, FollowsDequeueRate) {
  queue_wait_estimator estimator;
  time_point now = kNow;
  estimator.OnQueueStart(now);
  EXPECT_EQ(estimator.EstimateWait(3, now).count(), 0);
  for (int i = 0; i < 8; ++i) {
    now += milliseconds(20);
    estimator.OnDequeue(now);
  }
  EXPECT_EQ(estimator.EstimateWait(4, now), milliseconds(100));
  EXPECT_EQ(estimator.EstimateWait(4, now + milliseconds(10)), milliseconds(90));
  EXPECT_EQ(estimator.EstimateWait(4, now + milliseconds(500)), milliseconds(2'000));
  estimator.OnQueueStart(now + seconds(10));
  EXPECT_EQ(estimator.EstimateWait(4, now + seconds(10)).count(), 0);
}

}  // namespace
}  // namespace quincebank
