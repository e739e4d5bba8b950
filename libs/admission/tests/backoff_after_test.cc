#include "quincebank/admission/backoff_after.h"

#include <gtest/gtest.h>

#include "quincebank/base/random.h"

namespace quincebank {
namespace {

struct follow_case {
  const char* name;
  int per_second;  ///< Requests that callers send to this node.
  int accepted;    ///< Requests that the service accepts each second.
  double least;    ///< Bounds of the requests sent on, per second.
  double most;
};

class follow_test : public testing::TestWithParam<follow_case> {};

// Guards against a node that keeps sending everything to a service that rejects most of it, and
// against one that stops using the capacity that is there.
TEST_P(follow_test, SendsAboutWhatTheServiceAccepts) {
  random_source random(7);
  backoff_after backoff;
  time_point now{seconds(100)};
  int sent = 0;
  constexpr int kSeconds = 60;
  for (int second = 0; second < kSeconds; ++second) {
    int accepted = 0;
    for (int i = 0; i < GetParam().per_second; ++i) {
      now += nanoseconds(seconds(1)) / GetParam().per_second;
      if (backoff.Check(now, random))
        continue;
      // The first half minute is for settling.
      sent += second >= kSeconds / 2 ? 1 : 0;
      if (accepted < GetParam().accepted) {
        ++accepted;
        backoff.OnAccepted(now);
      } else {
        backoff.OnRejected(milliseconds(1000), now);
      }
    }
  }
  const double rate = sent / (kSeconds / 2.0);
  EXPECT_GE(rate, GetParam().least);
  EXPECT_LE(rate, GetParam().most);
}

INSTANTIATE_TEST_SUITE_P(Rates,
                         follow_test,
                         testing::Values(follow_case{"within_capacity", 100, 200, 100, 100},
                                         follow_case{"double_load", 200, 100, 100, 140},
                                         follow_case{"tenfold_load", 1000, 100, 100, 140},
                                         follow_case{"nothing_accepted", 100, 0, 0, 5}),
                         [](const auto& info) { return info.param.name; });

// Guards against local rejections that go on after the wait that the service asked for.
TEST(backoff_after_test, EndsWithTheWait) {
  random_source random(7);
  backoff_after backoff;
  const time_point start{seconds(100)};
  for (int i = 0; i < 100; ++i)
    backoff.OnRejected(milliseconds(1000), start);
  EXPECT_GT(backoff.RejectShare(start), 0.9);
  const auto wait = backoff.Check(start + milliseconds(400), random);
  ASSERT_TRUE(wait.has_value());
  EXPECT_GE(*wait, milliseconds(600));
  EXPECT_LE(*wait, milliseconds(900));
  EXPECT_FALSE(backoff.Check(start + milliseconds(1000), random).has_value());
}

// Guards against an upstream that shuts a service off for hours by one wrong header.
TEST(backoff_after_test, CutsLongWaits) {
  backoff_after backoff({.max_retry_after = milliseconds(5000)});
  const time_point start{seconds(100)};
  for (int i = 0; i < 100; ++i)
    backoff.OnRejected(std::chrono::hours(24), start);
  EXPECT_DOUBLE_EQ(backoff.RejectShare(start + milliseconds(5000)), 0.0);
}

}  // namespace
}  // namespace quincebank
