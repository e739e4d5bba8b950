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
constexpr milliseconds kMost = kObjective / 2;
constexpr milliseconds kLeft{8'000};
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
  milliseconds longest;
};

class max_wait_test : public testing::TestWithParam<wait_case> {};

// Guards against requests that are held although it is known that nothing can serve them.
TEST_P(max_wait_test, WaitsOnlyWhileThereMayBeRoom) {
  EXPECT_EQ(MaxWait(Route(), GetParam().outlook, GetParam().time_left, kNow), GetParam().longest);
}

INSTANTIATE_TEST_SUITE_P(
    outlooks,
    max_wait_test,
    testing::Values(
        wait_case{"full", {placement_obstacle::kFull, {}, {}}, kLeft, kMost},
        wait_case{"little_time_left",
                  {placement_obstacle::kFull, {}, {}},
                  milliseconds(40),
                  milliseconds(40)},
        wait_case{"no_time_left", {placement_obstacle::kFull, {}, {}}, milliseconds(-5), {}},
        wait_case{"evacuated", {placement_obstacle::kNoUpstream, time_point::max(), {}}, kLeft, {}},
        wait_case{"cold_opens_soon",
                  {placement_obstacle::kRateLimited, kNow + milliseconds(200), {}},
                  kLeft,
                  kMost},
        wait_case{"cold_opens_late",
                  {placement_obstacle::kRateLimited, kNow + milliseconds(900), {}},
                  kLeft,
                  {}},
        wait_case{"cold_without_a_share",
                  {placement_obstacle::kRateLimited, time_point::max(), {}},
                  kLeft,
                  {}},
        wait_case{"turn_may_come",
                  {placement_obstacle::kFull, {}, milliseconds(500)},
                  kLeft,
                  kMost},
        wait_case{"turn_comes_late",
                  {placement_obstacle::kFull, {}, milliseconds(700)},
                  kLeft,
                  {}}),
    [](const auto& info) { return std::string(info.param.name); });

/// Requests of one service at one entry, in virtual time: room comes at a steady rate.
struct overload {
  const char* name;
  milliseconds arrival;  ///< Mean time between two requests.
  milliseconds room;     ///< Mean time between two places that become free.
};

struct overload_result {
  int served = 0;
  int rejected = 0;
  milliseconds held{0};  ///< By rejected requests, all together.
};

overload_result Replay(const overload& load, bool use_estimate) {
  struct queued_request {
    wait_queue::waiter waiter;
    time_point since;
  };
  constexpr milliseconds kLength{120'000};
  constexpr std::size_t kCapacity = 256;
  random_source random(7);
  const auto after = [&](milliseconds mean) {
    return milliseconds(
        1 + static_cast<std::int64_t>(2 * random.Unit() * static_cast<double>(mean.count())));
  };
  wait_queue queue(kCapacity);
  queue_wait_estimator estimator;
  std::deque<queued_request> waiting;
  overload_result result;
  int room = 0;  // A place stays free until somebody takes it.
  time_point arrives = kNow;
  time_point frees = kNow + load.room;
  for (time_point now = kNow; now < kNow + kLength; now += milliseconds(1)) {
    for (queued_request& one : waiting) {
      if (!one.waiter.queued || now - one.since < kMost)
        continue;
      queue.Remove(one.waiter);
      ++result.rejected;
      result.held += kMost;
    }
    if (now >= frees) {
      frees = now + after(load.room);
      ++room;
    }
    for (queued_request& one : waiting) {
      if (room == 0 || !one.waiter.queued || !queue.IsFirst(one.waiter))
        continue;
      queue.Dequeue(one.waiter);
      estimator.OnDequeue(now);
      ++result.served;
      --room;
    }
    while (!waiting.empty() && !waiting.front().waiter.queued)
      waiting.pop_front();
    if (now < arrives)
      continue;
    arrives = now + after(load.arrival);
    if (queue.empty() && room > 0) {
      ++result.served;
      --room;
      continue;
    }
    if (queue.empty())
      estimator.OnQueueStart(now);
    const milliseconds expected =
        use_estimate ? estimator.EstimateWait(queue.size(), now) : milliseconds(0);
    if (MaxWait(Route(), {placement_obstacle::kFull, now, expected}, kLeft, now).count() == 0) {
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

// Guards against an overload in which every request that can't be served is held for half of its
// objective first. What could be served must be served as before.
TEST_P(overload_test, RejectsEarlierAndServesAsMuch) {
  constexpr double kLessServed = 0.03;
  const overload_result held = Replay(GetParam(), false);
  const overload_result predicted = Replay(GetParam(), true);
  EXPECT_GE(predicted.served, held.served * (1 - kLessServed));
  if (held.rejected > 0) {
    EXPECT_LT(predicted.held, held.held);
  }
  RecordProperty("served", predicted.served);
  RecordProperty("served_without", held.served);
  RecordProperty("held_ms", static_cast<int>(predicted.held.count()));
  RecordProperty("held_ms_without", static_cast<int>(held.held.count()));
}

INSTANTIATE_TEST_SUITE_P(loads,
                         overload_test,
                         testing::Values(overload{"sound", milliseconds(200), milliseconds(40)},
                                         overload{"burst", milliseconds(60), milliseconds(100)},
                                         overload{"fivefold", milliseconds(40), milliseconds(200)},
                                         overload{"stalled", milliseconds(100),
                                                  milliseconds(2'000)}),
                         [](const auto& info) { return std::string(info.param.name); });

// Guards against a figure that stays although the line has come to a standstill or was forgotten.
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
