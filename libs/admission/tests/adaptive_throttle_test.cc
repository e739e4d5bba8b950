#include "quincebank/admission/adaptive_throttle.h"

#include <gtest/gtest.h>

#include "quincebank/base/random.h"

namespace quincebank {
namespace {

struct throttled_rate_case {
  const char* name;
  int offered_rate;  ///< Requests that callers send to this node per second.
  int accepted;      ///< Requests that the service accepts per second.
  double min_rate;   ///< Bounds of the requests forwarded to the service per second.
  double max_rate;
};

class throttled_rate_test : public testing::TestWithParam<throttled_rate_case> {};

// Guards against a node that keeps forwarding everything to a service that rejects most of it, and
// against one that leaves available capacity unused.
TEST_P(throttled_rate_test, SendsAboutWhatTheServiceAccepts) {
  random_source random(7);
  adaptive_throttle throttle;
  time_point now{seconds(100)};
  int sent = 0;
  constexpr int kSeconds = 60;
  for (int second = 0; second < kSeconds; ++second) {
    int accepted = 0;
    for (int i = 0; i < GetParam().offered_rate; ++i) {
      now += nanoseconds(seconds(1)) / GetParam().offered_rate;
      if (throttle.Check(now, random))
        continue;
      // The first half of the run, in which the throttle settles, is not counted.
      sent += second >= kSeconds / 2 ? 1 : 0;
      if (accepted < GetParam().accepted) {
        ++accepted;
        throttle.OnAccepted(now);
      } else {
        throttle.OnRejected(milliseconds(1000), now);
      }
    }
  }
  const double rate = sent / (kSeconds / 2.0);
  EXPECT_GE(rate, GetParam().min_rate);
  EXPECT_LE(rate, GetParam().max_rate);
}

INSTANTIATE_TEST_SUITE_P(Rates,
                         throttled_rate_test,
                         testing::Values(throttled_rate_case{"within_capacity", 100, 200, 100, 100},
                                         throttled_rate_case{"double_load", 200, 100, 100, 140},
                                         throttled_rate_case{"tenfold_load", 1000, 100, 100, 140},
                                         throttled_rate_case{"nothing_accepted", 100, 0, 0, 5}),
                         [](const auto& info) { return info.param.name; });

// Guards against local rejections that continue after the `Retry-After` time has passed.
TEST(adaptive_throttle_test, EndsAfterRetryAfter) {
  random_source random(7);
  adaptive_throttle throttle;
  const time_point start{seconds(100)};
  for (int i = 0; i < 100; ++i)
    throttle.OnRejected(milliseconds(1000), start);
  EXPECT_GT(throttle.RejectionProbability(start), 0.9);
  const auto wait = throttle.Check(start + milliseconds(400), random);
  ASSERT_TRUE(wait.has_value());
  EXPECT_GE(*wait, milliseconds(600));
  EXPECT_LE(*wait, milliseconds(900));
  EXPECT_FALSE(throttle.Check(start + milliseconds(1000), random).has_value());
}

// Guards against one wrong `Retry-After` header that blocks a service for hours.
TEST(adaptive_throttle_test, CapsRetryAfter) {
  adaptive_throttle throttle({.max_retry_after = milliseconds(5000)});
  const time_point start{seconds(100)};
  for (int i = 0; i < 100; ++i)
    throttle.OnRejected(std::chrono::hours(24), start);
  EXPECT_DOUBLE_EQ(throttle.RejectionProbability(start + milliseconds(5000)), 0.0);
}

}  // namespace
}  // namespace quincebank
