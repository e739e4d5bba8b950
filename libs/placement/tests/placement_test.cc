#include <gtest/gtest.h>

#include <functional>

#include "quincebank/placement/choose_upstream.h"
#include "quincebank/placement/send_window.h"
#include "quincebank/placement/upstream_health.h"

namespace quincebank {
namespace {

constexpr time_point kStart{std::chrono::hours(1)};

placement_candidate Candidate(const std::function<void(placement_candidate&)>& change = {}) {
  placement_candidate candidate;
  candidate.slots = 4;
  candidate.limit = 6;
  if (change)
    change(candidate);
  return candidate;
}

struct choice_case {
  const char* name;
  std::vector<placement_candidate> candidates;
  std::optional<std::size_t> chosen;
  placement_obstacle obstacle;
  bool is_fallback = false;
};

class choose_upstream_test : public testing::TestWithParam<choice_case> {};

TEST_P(choose_upstream_test, ChoosesTheShortestExpectedWait) {
  random_source random(1);
  const placement placed = ChooseUpstream(GetParam().candidates, random);
  EXPECT_EQ(placed.chosen, GetParam().chosen);
  EXPECT_EQ(placed.obstacle, GetParam().obstacle);
  EXPECT_EQ(placed.is_fallback, GetParam().is_fallback);
}

const auto kBusy = [](placement_candidate& c) { c.in_flight = 3; };
const auto kFull = [](placement_candidate& c) { c.in_flight = 6; };
const auto kFailing = [](placement_candidate& c) { c.failure_share = 0.5; };
const auto kEjected = [](placement_candidate& c) {
  c.ejected = true;
  c.ejected_until = kStart + seconds(2);
};
const auto kEjectedBriefly = [](placement_candidate& c) {
  c.ejected = true;
  c.ejected_until = kStart + seconds(1);
};
const auto kCold = [](placement_candidate& c) { c.rate_limited = true; };
const auto kProbing = [](placement_candidate& c) {
  c.probing = true;
  c.in_flight = 1;
};
const auto kSuperseded = [](placement_candidate& c) { c.superseded = true; };
const auto kForming = [](placement_candidate& c) {
  c.forming = true;
  c.available_at = kStart;
};
const auto kFormingElsewhere = [](placement_candidate& c) {
  c.forming = true;
  c.available_at = time_point::max();
};
const auto kUnconfirmed = [](placement_candidate& c) { c.unconfirmed = true; };
const auto kSameDomain = [](placement_candidate& c) { c.same_domain = true; };

INSTANTIATE_TEST_SUITE_P(
    loads,
    choose_upstream_test,
    testing::Values(
        choice_case{"none", {}, std::nullopt, placement_obstacle::kNoUpstream},
        choice_case{"least_loaded", {Candidate(kBusy), Candidate()}, 1, placement_obstacle::kNone},
        choice_case{"all_full", {Candidate(kFull)}, std::nullopt, placement_obstacle::kFull},
        choice_case{"cold", {Candidate(kCold)}, std::nullopt, placement_obstacle::kRateLimited},
        choice_case{"cold_and_full",
                    {Candidate(kCold), Candidate(kFull)},
                    std::nullopt,
                    placement_obstacle::kRateLimited},
        // Gray failure: a healthy busy upstream is better than an idle one that fails half the
        // time.
        choice_case{"gray_failure",
                    {Candidate(kFailing), Candidate([](auto& c) { c.in_flight = 1; })},
                    1,
                    placement_obstacle::kNone},
        choice_case{"ejected",
                    {Candidate(kEjected), Candidate(kBusy)},
                    1,
                    placement_obstacle::kNone},
        choice_case{"only_ejected",
                    {Candidate(kEjected), Candidate(kEjectedBriefly)},
                    1,
                    placement_obstacle::kNone,
                    true},
        // After a complete power loss the new upstreams are cold, and old registrations remain.
        choice_case{"superseded_or_cold",
                    {Candidate(kSuperseded), Candidate(kCold)},
                    std::nullopt,
                    placement_obstacle::kRateLimited},
        choice_case{"superseded_or_full",
                    {Candidate(kSuperseded), Candidate(kFull)},
                    std::nullopt,
                    placement_obstacle::kFull},
        choice_case{"superseded_or_ejected",
                    {Candidate(kSuperseded), Candidate(kEjected)},
                    1,
                    placement_obstacle::kNone,
                    true},
        choice_case{"only_superseded",
                    {Candidate(kSuperseded)},
                    0,
                    placement_obstacle::kNone,
                    true},
        // A group that is forming refuses requests, and its old registrations have ended.
        choice_case{"forming", {Candidate(kForming)}, std::nullopt, placement_obstacle::kForming},
        choice_case{"forming_or_superseded",
                    {Candidate(kForming), Candidate(kSuperseded)},
                    std::nullopt,
                    placement_obstacle::kForming},
        choice_case{"forming_or_open",
                    {Candidate(kForming), Candidate(kBusy)},
                    1,
                    placement_obstacle::kNone},
        choice_case{"forming_for_other_entries",
                    {Candidate(kFormingElsewhere), Candidate(kCold)},
                    std::nullopt,
                    placement_obstacle::kRateLimited},
        choice_case{"unconfirmed_or_busy",
                    {Candidate(kUnconfirmed), Candidate(kBusy)},
                    1,
                    placement_obstacle::kNone},
        choice_case{"unconfirmed_or_full",
                    {Candidate(kFull), Candidate(kUnconfirmed)},
                    1,
                    placement_obstacle::kNone},
        choice_case{"probing",
                    {Candidate(kProbing), Candidate(kBusy)},
                    1,
                    placement_obstacle::kNone},
        choice_case{"same_domain",
                    {Candidate(), Candidate(kSameDomain)},
                    1,
                    placement_obstacle::kNone}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against all entries filling equally loaded upstreams in the same order.
TEST(choose_upstream, ChoosesRandomlyAmongEquals) {
  const std::vector<placement_candidate> equals(4, Candidate());
  std::vector<int> chosen(equals.size(), 0);
  random_source random(7);
  for (int i = 0; i < 400; ++i)
    ++chosen[ChooseUpstream(equals, random).chosen.value()];
  for (const int count : chosen)
    EXPECT_GT(count, 50);
}

struct share_case {
  const char* name;
  double per_second;
  std::size_t entries;
};

class cold_share_test : public testing::TestWithParam<share_case> {};

// Guards against a cold upstream that gets more than its limit in any second from all entries.
TEST_P(cold_share_test, AllEntriesTogetherKeepTheLimit) {
  const send_limit limit = ShareOfColdLimit(GetParam().per_second, GetParam().entries);
  std::vector<std::string> entries;
  for (std::size_t i = 0; i < GetParam().entries; ++i)
    entries.push_back("entry-" + std::to_string(i));
  std::vector<send_window> windows(entries.size());
  std::vector<time_point> sent;
  for (milliseconds at{0}; at < seconds(10); at += milliseconds(3)) {
    for (std::size_t i = 0; i < entries.size(); ++i) {
      if (!IsSender("upstream", entries[i], entries, limit.senders) ||
          !windows[i].Allows(limit, kStart + at))
        continue;
      windows[i].OnSend(limit, kStart + at);
      sent.push_back(kStart + at);
    }
  }
  ASSERT_FALSE(sent.empty());
  const auto max_per_second = static_cast<std::size_t>(GetParam().per_second);
  for (std::size_t first = 0; first + max_per_second < sent.size(); ++first)
    ASSERT_GE(sent[first + max_per_second] - sent[first], seconds(1)) << "from send " << first;
}

INSTANTIATE_TEST_SUITE_P(shares,
                         cold_share_test,
                         testing::Values(share_case{"current_size", 59, 9},
                                         share_case{"many_entries", 50, 44},
                                         share_case{"less_than_one_each", 20, 64},
                                         share_case{"target_size", 59, 400},
                                         share_case{"alone", 59, 1}),
                         [](const auto& info) { return std::string(info.param.name); });

// Guards against shares that are too large after a restart of all entries, when each one knows few
// others and all upstreams are cold.
TEST(cold_share, EntriesThatStartTogetherKeepTheLimit) {
  constexpr double kPerSecond = 44;
  constexpr std::size_t kEntries = 8;
  for (const std::size_t recorded : {std::size_t{0}, kEntries}) {
    double sum = 0;
    for (std::size_t known = 1; known <= kEntries; ++known) {
      const send_limit limit = ShareOfColdLimit(
          kPerSecond, ExpectedEntries(known, recorded, kPerSecond, milliseconds(900)));
      sum += static_cast<double>(limit.requests);
    }
    EXPECT_LE(sum, kPerSecond);
  }
  EXPECT_EQ(ExpectedEntries(kEntries, kEntries, kPerSecond, kStartupTime), 13U);
}

// Guards against refusals after a complete power loss: 16 cold upstreams can serve ten times the
// load of 84 requests per second, but each entry sent only one request per second to each of them.
TEST(cold_share, EntriesThatStartTogetherServeTheUsualLoad) {
  constexpr double kPerSecond = 59;
  constexpr double kEntries = 6;
  constexpr double kUpstreams = 16;
  constexpr double kLoadPerSecond = 84;
  const send_limit limit =
      ShareOfColdLimit(kPerSecond, ExpectedEntries(1, 6, kPerSecond, milliseconds(300)));
  const double windows_per_second = 1'000.0 / static_cast<double>(limit.window.count());
  EXPECT_GT(kEntries * kUpstreams * static_cast<double>(limit.requests) * windows_per_second,
            3 * kLoadPerSecond);
}

TEST(upstream_health, EjectedWhenUnreachableThenProbed) {
  upstream_health health;
  health.OnSend({}, kStart);
  health.OnEnd(attempt_outcome::kUnreachable, kStart);
  EXPECT_TRUE(health.IsEjected(kStart + milliseconds(300)));
  EXPECT_FALSE(health.IsEjected(kStart + milliseconds(500)));
  EXPECT_TRUE(health.probing());
  health.OnSend({}, kStart + milliseconds(500));
  health.OnEnd(attempt_outcome::kServed, kStart + milliseconds(600));
  EXPECT_FALSE(health.probing());
}

// Guards against an unreachable upstream that is retried at full rate after each short ejection.
TEST(upstream_health, EjectionsGrowWhileUnreachable) {
  upstream_health health;
  time_point now = kStart;
  milliseconds last{0};
  for (int i = 0; i < 4; ++i) {
    health.OnSend({}, now);
    health.OnEnd(attempt_outcome::kUnreachable, now);
    const auto ejection = std::chrono::duration_cast<milliseconds>(health.ejected_until() - now);
    EXPECT_GT(ejection, last);
    last = ejection;
    now = health.ejected_until();
  }
}

// Single failures are common, so that an ejection after each one would cost capacity.
TEST(upstream_health, OneFailureOnlyRaisesTheFailureShare) {
  upstream_health health;
  health.OnSend({}, kStart);
  health.OnEnd(attempt_outcome::kFailed, kStart);
  EXPECT_FALSE(health.IsEjected(kStart));
  EXPECT_GT(health.failure_share(), 0);
}

TEST(upstream_health, AbandonedAttemptsAreIgnored) {
  upstream_health health;
  health.OnSend({}, kStart);
  health.OnEnd(attempt_outcome::kAbandoned, kStart);
  EXPECT_EQ(health.failure_share(), 0);
  EXPECT_EQ(health.in_flight(), 0);
}

}  // namespace
}  // namespace quincebank
