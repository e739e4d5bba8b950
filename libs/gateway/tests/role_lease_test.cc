#include "quincebank/gateway/role_lease.h"

#include <gtest/gtest.h>

#include <vector>

namespace quincebank {
namespace {

using namespace std::chrono_literals;

enum class event : std::uint8_t { kRenewed, kAttempt };

struct timed_event {
  milliseconds at;
  event what;
};

struct lease_case {
  const char* name;
  std::vector<timed_event> events;
  milliseconds checked_at;
  bool may_act;
};

class role_lease_test : public testing::TestWithParam<lease_case> {};

// Guards against two active coordinators: a process that was frozen for longer than its lease
// resumes and sends orders although another process has taken over the role.
TEST_P(role_lease_test, MayActOnlyWhileNoOtherProcessCanHoldTheRole) {
  role_lease lease(1'000ms, 10'000ms);
  const boot_time start(1h);
  for (const timed_event& step : GetParam().events) {
    if (step.what == event::kRenewed)
      lease.OnRenewed(start + step.at);
    else
      lease.OnRenewalAttempt(start + step.at);
  }
  EXPECT_EQ(lease.MayAct(start + GetParam().checked_at), GetParam().may_act);
}

INSTANTIATE_TEST_SUITE_P(
    times,
    role_lease_test,
    testing::Values(
        lease_case{"never_held", {}, 0ms, false},
        lease_case{"held", {{0ms, event::kRenewed}}, 999ms, true},
        lease_case{"frozen_past_its_lease", {{0ms, event::kRenewed}}, 1'000ms, false},
        lease_case{"frozen_and_awake_again",
                   {{0ms, event::kRenewed}, {300ms, event::kAttempt}, {4'300ms, event::kAttempt}},
                   4'301ms,
                   false},
        lease_case{"store_down",
                   {{0ms, event::kRenewed},
                    {600ms, event::kAttempt},
                    {1'200ms, event::kAttempt},
                    {1'800ms, event::kAttempt}},
                   2'000ms,
                   true},
        lease_case{"frozen_while_the_store_is_down",
                   {{0ms, event::kRenewed},
                    {600ms, event::kAttempt},
                    {1'900ms, event::kAttempt},
                    {2'200ms, event::kAttempt}},
                   2'300ms,
                   false},
        lease_case{"renewed_after_a_pause",
                   {{0ms, event::kRenewed}, {3'000ms, event::kAttempt}, {3'000ms, event::kRenewed}},
                   3'500ms,
                   true}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a coordinator that goes on under a lease that a restored store has lost.
TEST(role_lease, EndsAtOnceWhenItIsLost) {
  role_lease lease(1'000ms, 10'000ms);
  const boot_time start(1h);
  lease.OnRenewed(start);
  lease.OnLost();
  EXPECT_FALSE(lease.MayAct(start));
  lease.OnRenewalAttempt(start + 100ms);
  EXPECT_FALSE(lease.MayAct(start + 100ms));
  lease.OnRenewed(start + 200ms);
  EXPECT_TRUE(lease.MayAct(start + 200ms));
}

// Guards against a coordinator that acts without limit during a store outage.
TEST(role_lease, ExpiresAfterALongStoreOutage) {
  role_lease lease(1'000ms, 10'000ms);
  const boot_time start(1h);
  lease.OnRenewed(start);
  for (milliseconds at{300}; at < 9'900ms; at += 300ms) {
    lease.OnRenewalAttempt(start + at);
    EXPECT_TRUE(lease.MayAct(start + at));
  }
  lease.OnRenewalAttempt(start + 10'000ms);
  EXPECT_FALSE(lease.MayAct(start + 10'000ms));
}

}  // namespace
}  // namespace quincebank
