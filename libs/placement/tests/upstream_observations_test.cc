#include "quincebank/placement/upstream_observations.h"

#include <gtest/gtest.h>

#include "quincebank/placement/observation_exchange.h"

namespace quincebank {
namespace {

constexpr time_point kStart{std::chrono::hours(1)};
constexpr std::uint64_t kIncarnation = 7;

endpoint Entry(int number) {
  return {"10.0.0.1", static_cast<std::uint16_t>(number)};
}

upstream_observation Observed(observation_kind kind = observation_kind::kSilent,
                              milliseconds age = milliseconds(0),
                              std::int64_t value = 0) {
  return {"i-1", kIncarnation, kind, value, age};
}

class upstream_observations_test : public testing::Test {
 protected:
  void SetUp() override { table_.OnEngine("i-1", kIncarnation); }

  /// \returns How many entries report the kind.
  int Count(observation_kind kind, time_point now) {
    const auto summary = table_.Summary("i-1", now);
    return summary ? summary->Count(kind) : 0;
  }

  upstream_observations table_;
};

// Guards against reports of entries that have ended, or no longer see a fault.
TEST_F(upstream_observations_test, LapseUnlessRenewed) {
  ASSERT_EQ(table_.OnObservation(Entry(1), Observed(), kStart), observation_reception::kAccepted);
  ASSERT_EQ(table_.OnObservation(Entry(2), Observed(), kStart), observation_reception::kAccepted);
  EXPECT_EQ(Count(observation_kind::kSilent, kStart + milliseconds(2'000)), 2);
  ASSERT_EQ(table_.OnObservation(Entry(2), Observed(), kStart + milliseconds(1'500)),
            observation_reception::kAccepted);
  EXPECT_EQ(Count(observation_kind::kSilent, kStart + milliseconds(2'001)), 1);
  EXPECT_FALSE(table_.Summary("i-1", kStart + milliseconds(3'501)));
}

// Guards against an engine that is avoided after its restart for what its predecessor did.
TEST_F(upstream_observations_test, EndWithTheIncarnation) {
  for (const auto kind : {observation_kind::kSilent, observation_kind::kLeaving})
    ASSERT_EQ(table_.OnObservation(Entry(1), Observed(kind), kStart),
              observation_reception::kAccepted);
  table_.OnEngine("i-1", kIncarnation + 1);
  EXPECT_FALSE(table_.Summary("i-1", kStart));
  EXPECT_EQ(table_.OnObservation(Entry(1), Observed(), kStart),
            observation_reception::kOtherIncarnation);
}

// Guards against a flood of senders that fills the memory, or outlasts its end.
TEST_F(upstream_observations_test, AreBounded) {
  constexpr int kSenders = 10'000;
  for (int sender = 1; sender <= kSenders; ++sender)
    (void)table_.OnObservation(Entry(sender), Observed(), kStart);
  EXPECT_EQ(table_.size(), upstream_observations::kMaxEntries);
  const time_point later = kStart + upstream_observations::kLifetime + milliseconds(1);
  EXPECT_EQ(table_.OnObservation(Entry(kSenders + 1), Observed(), later),
            observation_reception::kAccepted);
  EXPECT_EQ(table_.size(), 1U);
}

// Guards against an engine that stays avoided although it serves, and against refutation of later
// observations.
TEST_F(upstream_observations_test, AreRefutedByAService) {
  ASSERT_EQ(table_.OnObservation(Entry(1), Observed(), kStart), observation_reception::kAccepted);
  const time_point served = kStart + milliseconds(600);
  ASSERT_EQ(table_.OnObservation(Entry(2), Observed(observation_kind::kServed), served),
            observation_reception::kAccepted);
  EXPECT_FALSE(table_.Summary("i-1", served));
  // Silence that began before the service, and such that began after it.
  const time_point later = served + milliseconds(600);
  EXPECT_EQ(table_.OnObservation(Entry(1), Observed(observation_kind::kSilent, {}, 600), later),
            observation_reception::kRefuted);
  EXPECT_EQ(table_.OnObservation(Entry(1), Observed(observation_kind::kSilent, {}, 599), later),
            observation_reception::kAccepted);
}

struct reception_case {
  const char* name;
  upstream_observation observed;
  milliseconds after;  ///< Time since the entry reported silence and an age of 200 ms.
  observation_reception expected;
};

class observation_reception_test : public testing::TestWithParam<reception_case> {};

// Guards against forged, duplicated and delayed datagrams that change what is reported.
TEST_P(observation_reception_test, IsChecked) {
  upstream_observations table;
  table.OnEngine("i-1", kIncarnation);
  ASSERT_EQ(
      table.OnObservation(Entry(1), Observed(observation_kind::kSilent, milliseconds(200)), kStart),
      observation_reception::kAccepted);
  EXPECT_EQ(table.OnObservation(Entry(1), GetParam().observed, kStart + GetParam().after),
            GetParam().expected);
}

constexpr milliseconds kLater{500};

INSTANTIATE_TEST_SUITE_P(
    datagrams,
    observation_reception_test,
    testing::Values(
        reception_case{"renewed", Observed(observation_kind::kSilent, milliseconds(700)), kLater,
                       observation_reception::kAccepted},
        reception_case{"duplicate", Observed(observation_kind::kSilent, milliseconds(200)),
                       milliseconds(10), observation_reception::kTooFrequent},
        reception_case{"outdated", Observed(observation_kind::kSilent, milliseconds(1'500)), kLater,
                       observation_reception::kOutdated},
        reception_case{"too_old", Observed(observation_kind::kSilent, milliseconds(10'001)), kLater,
                       observation_reception::kOutOfRange},
        reception_case{"long_pause", Observed(observation_kind::kPaused, milliseconds(0), 30'001),
                       kLater, observation_reception::kOutOfRange},
        reception_case{"huge_limit",
                       Observed(observation_kind::kStatedLimit, milliseconds(0), 1'000'000'001),
                       kLater, observation_reception::kOutOfRange},
        reception_case{"unknown_kind", Observed(static_cast<observation_kind>(6)), kLater,
                       observation_reception::kOutOfRange},
        reception_case{"other_engine",
                       upstream_observation{"i-2", kIncarnation, observation_kind::kSilent, 0, {}},
                       kLater, observation_reception::kUnknownEngine},
        reception_case{"earlier_start",
                       upstream_observation{"i-1", 6, observation_kind::kLeaving, 0, {}}, kLater,
                       observation_reception::kOtherIncarnation}),
    [](const auto& info) { return std::string(info.param.name); });

/// \param counts  entries that report silence, failures, leaving, pauses and limits.
observation_summary Summary(std::array<int, kReportedKinds> counts) {
  return {kIncarnation, counts, milliseconds(0), 0};
}

struct decision_case {
  const char* name;
  observation_summary summary;
  report_decision expected;
  service_upstreams service{10, 9};
  std::optional<milliseconds> served{};     ///< Time since an own request was served.
  std::optional<milliseconds> timed_out{};  ///< Time since an own request timed out.
};

class report_decision_test : public testing::TestWithParam<decision_case> {};

// Guards against engines that are lost for all entries by the reports of few.
TEST_P(report_decision_test, DependsOnReportsAndOwnRequests) {
  observation_exchange exchange;
  if (GetParam().served)
    exchange.OnServed(kStart - *GetParam().served);
  if (GetParam().timed_out)
    exchange.OnTimeout(kStart - *GetParam().timed_out, kStart - *GetParam().timed_out);
  const auto decision =
      exchange.OnSummary(GetParam().summary, kIncarnation, GetParam().service, kStart);
  EXPECT_EQ(ToString(decision), ToString(GetParam().expected));
  EXPECT_EQ(exchange.IsAvoided(kStart), GetParam().expected == report_decision::kAccepted);
  EXPECT_FALSE(exchange.IsAvoided(kStart + milliseconds(1'000)));
}

observation_summary OtherStart() {
  auto summary = Summary({5, 0, 1, 0, 0});
  summary.incarnation = kIncarnation - 1;
  return summary;
}

observation_summary Paused() {
  auto summary = Summary({0, 0, 0, 1, 0});
  summary.pause_left = milliseconds(20'000);
  return summary;
}

INSTANTIATE_TEST_SUITE_P(
    reports,
    report_decision_test,
    testing::Values(
        decision_case{"nothing", Summary({}), report_decision::kNothingReported},
        decision_case{"one_silent", Summary({1, 1, 0, 0, 0}), report_decision::kTooFewEntries},
        decision_case{"two_silent", Summary({2, 0, 0, 0, 0}), report_decision::kAccepted},
        decision_case{"two_failing", Summary({0, 2, 0, 0, 0}), report_decision::kAccepted},
        decision_case{"leaving", Summary({0, 0, 1, 0, 0}), report_decision::kAccepted},
        decision_case{"paused", Paused(), report_decision::kAccepted},
        decision_case{"other_start", OtherStart(), report_decision::kOtherIncarnation},
        decision_case{"served_here",
                      Summary({9, 9, 0, 0, 0}),
                      report_decision::kServedHere,
                      {10, 9},
                      milliseconds(999)},
        decision_case{"served_long_ago",
                      Summary({2, 0, 0, 0, 0}),
                      report_decision::kAccepted,
                      {10, 9},
                      milliseconds(1'000)},
        decision_case{"few_left", Summary({2, 0, 0, 0, 0}), report_decision::kTooFewLeft, {10, 4}},
        decision_case{"half_left", Summary({2, 0, 0, 0, 0}), report_decision::kAccepted, {10, 5}},
        decision_case{"own_timeout",
                      Summary({2, 0, 0, 0, 0}),
                      report_decision::kAccepted,
                      {10, 9},
                      std::nullopt,
                      milliseconds(3'000)},
        decision_case{"own_probe",
                      Summary({2, 0, 0, 0, 0}),
                      report_decision::kOwnProbe,
                      {10, 9},
                      std::nullopt,
                      milliseconds(4'000)}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a flood of datagrams from one entry, and against silence that is reported after a
// service.
TEST(observation_exchange, SendsAtMostTwiceASecond) {
  observation_exchange exchange;
  exchange.OnSilentAttempt(kStart, kStart);
  int sent = 0;
  for (milliseconds at{0}; at < milliseconds(2'000); at += milliseconds(10))
    sent += static_cast<int>(exchange.TakeDue({}, kStart + at).size());
  EXPECT_EQ(sent, 4);
  exchange.OnSilentAttemptEnd(kStart + milliseconds(2'000));
  exchange.OnServed(kStart + milliseconds(2'000));
  EXPECT_TRUE(exchange.TakeDue({}, kStart + milliseconds(2'500)).empty());
}

// Guards against gateways that report each service all the time, and against reports that nobody
// refutes.
TEST(observation_exchange, ReportsServicesOnlyWhileFaultsAreReported) {
  observation_exchange exchange;
  exchange.OnServed(kStart);
  EXPECT_TRUE(exchange.TakeDue({}, kStart).empty());
  (void)exchange.OnSummary(Summary({1, 0, 0, 0, 0}), kIncarnation, {10, 9}, kStart);
  const auto due = exchange.TakeDue({}, kStart + milliseconds(100));
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due.front().kind, observation_kind::kServed);
  EXPECT_EQ(due.front().age, milliseconds(100));
}

// Guards against a forged limit that outlasts its datagrams.
TEST(observation_exchange, FollowsAReportedLimitForOneSecond) {
  observation_exchange exchange;
  auto summary = Summary({0, 0, 0, 0, 1});
  summary.limit = 2'500;
  (void)exchange.OnSummary(summary, kIncarnation, {10, 9}, kStart);
  EXPECT_EQ(exchange.AcceptedLimit(kStart), 2.5);
  EXPECT_FALSE(exchange.AcceptedLimit(kStart + milliseconds(1'000)));
  exchange.OnStatedLimit(std::nullopt, kStart);
  (void)exchange.OnSummary(summary, kIncarnation, {10, 9}, kStart + milliseconds(500));
  EXPECT_FALSE(exchange.AcceptedLimit(kStart + milliseconds(500)));
}

}  // namespace
}  // namespace quincebank
