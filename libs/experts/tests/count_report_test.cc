#include "quincebank/experts/count_report.h"

#include <gtest/gtest.h>

#include <ostream>

#include "quincebank/base/random.h"

namespace quincebank {
namespace {

constexpr std::size_t kCounters = 600;
constexpr std::size_t kBytes = 200;

/// One rank's engine and agent, and the coordinator that reads its reports.
class count_report_test : public testing::Test {
 protected:
  /// Runs steps in which counter `i` gets `Rate(i)` tokens.
  void Run(std::uint64_t steps) {
    now_.steps += steps;
    for (std::size_t i = 0; i < kCounters; ++i)
      now_.tokens[i] += static_cast<std::int64_t>(steps) * Rate(i);
  }

  [[nodiscard]] std::int64_t Rate(std::size_t index) const {
    if (index == hot_)
      return 900;
    return index % 3 == 0 ? static_cast<std::int64_t>(10 + (index % 40)) : 0;
  }

  /// One poll whose report arrives, in its wire form.
  count_report Poll() {
    count_report sent = encoder_.Next(now_, reader_.receipt(), kBytes);
    const std::string bytes = EncodeReport(sent);
    EXPECT_LE(bytes.size(), kBytes);
    const auto read = DecodeReport(bytes, kCounters);
    EXPECT_TRUE(read.has_value());
    EXPECT_EQ(read.value(), sent);
    EXPECT_TRUE(reader_.Take(read.value()));
    return sent;
  }

  void RunAndPoll(int times) {
    for (int i = 0; i < times; ++i) {
      Run(50);
      (void)Poll();
    }
  }

  void ExpectAllKnown() {
    EXPECT_TRUE(reader_.complete());
    for (std::size_t i = 0; i < kCounters; ++i) {
      const auto rate = static_cast<double>(Rate(i));
      EXPECT_NEAR(reader_.rates()[i], rate, rate * 0.07) << i;
    }
  }

  count_reading now_{1, 0, 0, std::vector<std::int64_t>(kCounters, 0)};
  count_encoder encoder_{77};
  count_reader reader_{5, kCounters};
  std::size_t hot_ = kCounters;
};

TEST_F(count_report_test, RotationTellsAllCounters) {
  RunAndPoll(8);
  ExpectAllKnown();
}

// Guards against a hot expert that waits for its turn in the rotation.
TEST_F(count_report_test, LargestChangeIsInTheNextReport) {
  RunAndPoll(8);
  hot_ = 400;
  Run(50);
  (void)Poll();
  EXPECT_GT(reader_.rates()[400], 100);
  EXPECT_TRUE(reader_.fresh()[400]);
}

// Guards against changes that are never told again after their report was lost.
TEST_F(count_report_test, LostReportIsMadeUpFor) {
  RunAndPoll(8);
  hot_ = 400;
  Run(50);
  (void)encoder_.Next(now_, reader_.receipt(), kBytes);
  EXPECT_LT(reader_.rates()[400], 100);
  RunAndPoll(1);
  EXPECT_GT(reader_.rates()[400], 100);
  RunAndPoll(8);
  ExpectAllKnown();
}

// Guards against old news that overwrite newer ones.
TEST_F(count_report_test, RepeatedAndReorderedReportsChangeNothing) {
  RunAndPoll(8);
  const count_report old = Poll();
  hot_ = 400;
  RunAndPoll(12);
  const std::vector<double> rates = reader_.rates();
  EXPECT_FALSE(reader_.Take(old));
  EXPECT_EQ(reader_.rates(), rates);
  EXPECT_TRUE(reader_.complete());
}

// Guards against an answer to an old request whose receipt would confirm a later report.
TEST_F(count_report_test, OldReceiptConfirmsNothing) {
  RunAndPoll(8);
  const count_receipt old = reader_.receipt();
  hot_ = 400;
  Run(50);
  (void)Poll();
  Run(50);
  (void)encoder_.Next(now_, old, kBytes);  // A late request.
  RunAndPoll(12);
  ExpectAllKnown();
}

// Guards against a new coordinator that is told only what has changed for the old one.
TEST_F(count_report_test, NewCoordinatorLearnsAll) {
  RunAndPoll(8);
  reader_ = count_reader(6, kCounters);
  Run(50);
  (void)Poll();
  EXPECT_FALSE(reader_.complete());
  RunAndPoll(8);
  ExpectAllKnown();
}

// Guards against counts that fall, or seem to jump, when an agent or an engine starts anew.
TEST_F(count_report_test, RestartsOfAgentAndEngineBeginAnew) {
  RunAndPoll(8);
  count_encoder next(78);
  Run(50);
  const count_report first = next.Next(now_, reader_.receipt(), kBytes);
  EXPECT_TRUE(first.entries.empty()) << "rates need an interval";
  EXPECT_TRUE(reader_.Take(first));
  EXPECT_FALSE(reader_.complete());
  for (int i = 0; i < 8; ++i) {
    Run(50);
    EXPECT_TRUE(reader_.Take(next.Next(now_, reader_.receipt(), kBytes)));
  }
  ExpectAllKnown();
  now_ = {1, 0, 0, std::vector<std::int64_t>(kCounters, 0)};
  for (int i = 0; i < 8; ++i) {
    Run(50);
    EXPECT_TRUE(reader_.Take(next.Next(now_, reader_.receipt(), kBytes)));
    EXPECT_LT(reader_.rates()[0], 12);
  }
  ExpectAllKnown();
}

// Guards against rates that mix the shares of two maps.
TEST_F(count_report_test, NewMapBeginsANewSeries) {
  RunAndPoll(8);
  hot_ = 400;
  Run(50);
  ++now_.epoch;
  (void)Poll();
  EXPECT_FALSE(reader_.complete());
  hot_ = kCounters;
  RunAndPoll(8);
  ExpectAllKnown();
}

// Guards against a rounding error that adds up: over many reports the told tokens are the counted
// ones.
TEST_F(count_report_test, RoundingErrorsAreCarried) {
  RunAndPoll(2);
  double told = 0;
  std::uint64_t told_at = 0;
  std::int64_t counted = 0;
  for (int i = 0; i < 200; ++i) {
    Run(50);
    (void)Poll();
    if (!reader_.fresh()[30])
      continue;
    if (told_at == 0)
      counted = now_.tokens[30];
    else
      told += reader_.rates()[30] * static_cast<double>(now_.steps - told_at);
    told_at = now_.steps;
  }
  counted = (Rate(30) * static_cast<std::int64_t>(told_at)) - counted;
  EXPECT_NEAR(told / static_cast<double>(counted), 1, 0.005);
}

// Guards against reports of any loss and repetition pattern that leave wrong rates behind.
TEST_F(count_report_test, ConvergesAfterRandomFaults) {
  random_source random(11);
  std::vector<count_report> seen;
  std::vector<count_receipt> receipts;
  for (int i = 0; i < 400; ++i) {
    hot_ = i < 300 && random.Below(4) == 0 ? random.Below(kCounters) : kCounters;
    Run(1 + random.Below(60));
    now_.epoch += random.Below(50) == 0 ? 1 : 0;
    receipts.push_back(reader_.receipt());
    const bool late = random.Below(5) == 0;
    const count_receipt& receipt = late ? receipts[random.Below(receipts.size())] : receipts.back();
    seen.push_back(encoder_.Next(now_, receipt, kBytes));
    if (random.Below(3) != 0)
      (void)reader_.Take(seen.back());
    if (random.Below(4) == 0)
      (void)reader_.Take(seen[random.Below(seen.size())]);
  }
  hot_ = kCounters;
  RunAndPoll(30);
  ExpectAllKnown();
}

struct bad_report {
  const char* name;
  std::string bytes;
  friend void PrintTo(const bad_report& c, std::ostream* out) { *out << c.name; }
};

class bad_report_test : public testing::TestWithParam<bad_report> {};

// Guards against reading beyond a report that was cut, or beyond the counters of the group.
TEST_P(bad_report_test, IsRefused) {
  EXPECT_FALSE(DecodeReport(GetParam().bytes, 10).has_value());
}

std::string Encoded(std::uint32_t first, std::uint32_t last, std::uint32_t counter) {
  count_report report;
  report.first = first;
  report.last = last;
  report.entries = {{counter, 9}};
  return EncodeReport(report);
}

INSTANTIATE_TEST_SUITE_P(
    Reports,
    bad_report_test,
    testing::Values(bad_report{"empty", ""},
                    bad_report{"other_version", "\x02" + Encoded(0, 0, 3).substr(1)},
                    bad_report{"cut_header", Encoded(0, 0, 3).substr(0, 5)},
                    bad_report{"cut_entry", Encoded(0, 0, 3).substr(0, 11)},
                    bad_report{"endless_number", "\x01" + std::string(40, '\xff')},
                    bad_report{"range_too_long", Encoded(0, 11, 3)},
                    bad_report{"range_backwards", Encoded(4, 3, 3)},
                    bad_report{"counter_too_high", Encoded(0, 0, 10)}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace quincebank
