#include "quincebank/placement/wait_plan.h"

#include <gtest/gtest.h>

#include <deque>
#include <vector>

#include "quincebank/base/random.h"
#include "quincebank/placement/turn_pace.h"
#include "quincebank/placement/waiting_line.h"

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
  room_outlook outlook;
  milliseconds left;
  milliseconds longest;
};

class wait_plan_test : public testing::TestWithParam<wait_case> {};

// Guards against requests that are held although it is known that nothing can serve them.
TEST_P(wait_plan_test, WaitsOnlyWhileThereMayBeRoom) {
  EXPECT_EQ(LongestWait(Route(), GetParam().outlook, GetParam().left, kNow), GetParam().longest);
}

INSTANTIATE_TEST_SUITE_P(
    outlooks,
    wait_plan_test,
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

overload_result Replay(const overload& load, bool predict) {
  struct waiter {
    waiting_line::place place;
    time_point since;
  };
  constexpr milliseconds kLength{120'000};
  constexpr std::size_t kCapacity = 256;
  random_source random(7);
  const auto after = [&](milliseconds mean) {
    return milliseconds(
        1 + static_cast<std::int64_t>(2 * random.Unit() * static_cast<double>(mean.count())));
  };
  waiting_line line(kCapacity);
  turn_pace pace;
  std::deque<waiter> waiting;
  overload_result result;
  int room = 0;  // A place stays free until somebody takes it.
  time_point arrives = kNow;
  time_point frees = kNow + load.room;
  for (time_point now = kNow; now < kNow + kLength; now += milliseconds(1)) {
    for (waiter& one : waiting) {
      if (!one.place.waits || now - one.since < kMost)
        continue;
      line.Leave(one.place);
      ++result.rejected;
      result.held += kMost;
    }
    if (now >= frees) {
      frees = now + after(load.room);
      ++room;
    }
    for (waiter& one : waiting) {
      if (room == 0 || !one.place.waits || !line.IsFirst(one.place))
        continue;
      line.Serve(one.place);
      pace.OnTurn(now);
      ++result.served;
      --room;
    }
    while (!waiting.empty() && !waiting.front().place.waits)
      waiting.pop_front();
    if (now < arrives)
      continue;
    arrives = now + after(load.arrival);
    if (line.empty() && room > 0) {
      ++result.served;
      --room;
      continue;
    }
    if (line.empty())
      pace.OnLineBegins(now);
    const milliseconds expected = predict ? pace.WaitBehind(line.size(), now) : milliseconds(0);
    if (LongestWait(Route(), {placement_obstacle::kFull, now, expected}, kLeft, now).count() == 0) {
      ++result.rejected;
      continue;
    }
    waiting.push_back({{}, now});
    EXPECT_TRUE(line.Enter(waiting.back().place, {1}));
  }
  for (waiter& one : waiting)
    line.Leave(one.place);
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
TEST(turn_pace, FollowsTheLine) {
  turn_pace pace;
  time_point now = kNow;
  pace.OnLineBegins(now);
  EXPECT_EQ(pace.WaitBehind(3, now).count(), 0);
  for (int i = 0; i < 8; ++i) {
    now += milliseconds(20);
    pace.OnTurn(now);
  }
  EXPECT_EQ(pace.WaitBehind(4, now), milliseconds(100));
  EXPECT_EQ(pace.WaitBehind(4, now + milliseconds(10)), milliseconds(90));
  EXPECT_EQ(pace.WaitBehind(4, now + milliseconds(500)), milliseconds(2'000));
  pace.OnLineBegins(now + seconds(10));
  EXPECT_EQ(pace.WaitBehind(4, now + seconds(10)).count(), 0);
}

}  // namespace
}  // namespace quincebank
