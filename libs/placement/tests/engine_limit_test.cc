#include "quincebank/placement/engine_limit.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "quincebank/base/random.h"

namespace quincebank {
namespace {

using namespace std::chrono_literals;

/// Engines of the largest deployment in use.
engine_profile Profile() {
  engine_profile profile;
  profile.batch_slots = 6;
  profile.step_ms = 4.55;
  profile.step_ms_per_request = 1.99;
  profile.tokens_per_event = 6;
  profile.mean_answer_tokens = 91;
  return profile;
}

constexpr latency_goal kGoal{300ms, 160ms};

struct limit_case {
  const char* name;
  group_pass_stats pass_stats;
  latency_goal goal;
  int limit;
};

class engine_limit_test : public testing::TestWithParam<limit_case> {};

TEST_P(engine_limit_test, FollowsPassTimeAndBatchSize) {
  EXPECT_EQ(EngineRequestLimit(Profile(), GetParam().pass_stats, GetParam().goal),
            GetParam().limit);
}

INSTANTIATE_TEST_SUITE_P(pass_times,
                         engine_limit_test,
                         testing::Values(limit_case{"unknown", {0ns, 0}, kGoal, 7},
                                         limit_case{"fast", {50ms, 2}, kGoal, 8},
                                         limit_case{"full_and_in_time", {110ms, 6}, kGoal, 7},
                                         limit_case{"slowed_down", {200ms, 6}, kGoal, 4},
                                         limit_case{"half_of_the_slots", {400ms, 6}, kGoal, 3},
                                         limit_case{"no_goal", {400ms, 6}, {300ms, 0ms}, 7}),
                         [](const auto& info) { return std::string(info.param.name); });

/// Requests by their results.
struct served {
  int in_time = 0;
  int late = 0;
  int rejected = 0;
};

/// Simulates one group whose passes are slow for a while, as after a complete power loss, when the
/// group starts with an expert map that does not fit the load.
served SimulateOverload(const latency_goal& goal) {
  constexpr int kRanks = 96;
  constexpr double kArrivalsPerMs = 0.233;
  constexpr milliseconds kSlowFor{4'000};
  constexpr milliseconds kLength{12'000};
  constexpr milliseconds kMaxQueueWait{300};
  constexpr milliseconds kFirstEvent{600};
  constexpr milliseconds kGap{200};
  struct request {
    double arrival_ms = 0;
    double last_event_ms = 0;
    int passes_left = 0;
    bool in_time = true;
  };
  const engine_profile profile = Profile();
  random_source random(5);
  std::vector<std::vector<request>> ranks(kRanks);
  std::vector<request> waiting;
  served result;
  group_pass_stats pass_stats;
  for (double now = 0; now < static_cast<double>(kLength.count());) {
    double mean_batch_size = 0;
    for (const auto& rank : ranks)
      mean_batch_size += static_cast<double>(std::min<std::size_t>(rank.size(), 6)) / kRanks;
    const double slowdown = now < static_cast<double>(kSlowFor.count()) ? 2.9 : 1.15;
    const double pass = profile.tokens_per_event *
                        (profile.step_ms + profile.step_ms_per_request * mean_batch_size) *
                        slowdown;
    pass_stats = {nanoseconds(static_cast<std::int64_t>(pass * 1e6)), mean_batch_size};
    now += pass;
    for (auto& rank : ranks) {
      for (std::size_t i = 0; i < std::min<std::size_t>(rank.size(), 6); ++i) {
        request& one = rank[i];
        const bool first = one.last_event_ms == 0;
        const double since = now - (first ? one.arrival_ms : one.last_event_ms);
        one.in_time =
            one.in_time && since <= static_cast<double>((first ? kFirstEvent : kGap).count());
        one.last_event_ms = now;
        --one.passes_left;
      }
      std::erase_if(rank, [&](const request& one) {
        if (one.passes_left > 0)
          return false;
        ++(one.in_time ? result.in_time : result.late);
        return true;
      });
    }
    for (double arrival_ms = now - pass; arrival_ms < now; arrival_ms += 1) {
      if (random.Unit() < kArrivalsPerMs)
        waiting.push_back({arrival_ms, 0, 8 + static_cast<int>(random.Below(15)), true});
    }
    const int limit = EngineRequestLimit(profile, pass_stats, goal);
    std::erase_if(waiting, [&](const request& one) {
      auto& a = ranks[random.Below(kRanks)];
      auto& b = ranks[random.Below(kRanks)];
      auto& chosen = a.size() <= b.size() ? a : b;
      if (static_cast<int>(chosen.size()) < limit) {
        chosen.push_back(one);
        return true;
      }
      const bool timed_out = now - one.arrival_ms > static_cast<double>(kMaxQueueWait.count());
      result.rejected += timed_out ? 1 : 0;
      return timed_out;
    });
  }
  return result;
}

// Guards against an overload in which all requests are served, but all too late. To the clients a
// late answer is worth a fraction of one in time.
TEST(engine_limit, OverloadKeepsPartOfTheRequestsInTime) {
  const served unbounded = SimulateOverload({300ms, 0ms});
  const served bounded = SimulateOverload(kGoal);
  EXPECT_GT(bounded.in_time, unbounded.in_time * 5 / 4);
  EXPECT_LT(bounded.late, unbounded.late / 2);
}

}  // namespace
}  // namespace quincebank
