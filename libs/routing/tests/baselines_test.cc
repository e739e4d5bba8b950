// The policies that the default one is compared with.
#include <gtest/gtest.h>

#include <set>

#include "quincebank/base/random.h"
#include "routing_fixture.h"

namespace quincebank {
namespace {

class every_policy_test : public testing::TestWithParam<std::string_view> {};

// Guards against a comparison in which a policy uses upstreams that others may not use.
TEST_P(every_policy_test, ObeysStateVersionAndTried) {
  routing_fixture fixture;
  fixture.Add(9);
  fixture.upstreams[0].state = upstream_state::kDrained;
  fixture.upstreams[1].state = upstream_state::kLeaving;
  fixture.upstreams[2].state = upstream_state::kSuspected;
  fixture.upstreams[3].model_version = "m2";
  fixture.tried = {KeyOf("u4"), KeyOf("u5"), KeyOf("gone")};
  fixture.request.model_version = "m1";
  // Otherwise the default policy avoids the failure domains of the tried ones.
  fixture.settings.retry_domain_penalty = route_settings::microseconds(0);
  fixture.Build();
  std::set<std::string> used;
  for (std::uint64_t i = 0; i < 200; ++i) {
    fixture.request.seed = Mix64(i);
    fixture.request.turn = i;
    used.insert(fixture.Decide(GetParam()));
  }
  EXPECT_EQ(used, (std::set<std::string>{"u6", "u7", "u8"}));
}

// Guards against an endless search or a wrong index when nothing is left.
TEST_P(every_policy_test, SaysThatAllWereTried) {
  routing_fixture fixture;
  fixture.Add(2);
  fixture.Build();
  fixture.tried = {KeyOf("u0"), KeyOf("u1")};
  EXPECT_EQ(fixture.Decide(GetParam()), "unavailable");
}

// Guards against a choice that depends on anything outside its input.
TEST_P(every_policy_test, SameInputGivesTheSameDecision) {
  routing_fixture fixture;
  fixture.Add(30);
  fixture.Build();
  fixture.prefix = {1, 2, 3};
  const route_policy& policy = *FindRoutePolicy(GetParam());
  for (std::uint64_t i = 0; i < 50; ++i) {
    fixture.request.seed = Mix64(i);
    fixture.request.turn = i;
    EXPECT_EQ(Choose(policy, fixture.Input()).value(), Choose(policy, fixture.Input()).value());
  }
}

INSTANTIATE_TEST_SUITE_P(
    Policies,
    every_policy_test,
    testing::Values("quincebank", "round-robin", "least-loaded", "two-random"));

// Guards against a policy that is in the table but not in these tests, or the reverse.
TEST(policy_table_test, NamesAreKnown) {
  std::set<std::string_view> names;
  for (const route_policy& policy : RoutePolicies())
    names.insert(policy.name);
  EXPECT_EQ(names, (std::set<std::string_view>{"quincebank", "round-robin", "least-loaded",
                                               "two-random"}));
  EXPECT_EQ(FindRoutePolicy("best"), nullptr);
  EXPECT_EQ(RoutePolicies().front().name, kDefaultRoutePolicy);
}

// Guards against turns that skip or repeat an upstream.
TEST(round_robin_test, VisitsEachUpstreamOnce) {
  routing_fixture fixture;
  fixture.Add(7);
  fixture.Build();
  std::set<std::string> used;
  for (fixture.request.turn = 100; fixture.request.turn < 107; ++fixture.request.turn)
    used.insert(fixture.Decide("round-robin"));
  EXPECT_EQ(used.size(), 7U);
}

// Guards against a baseline that is better than its name: it must not see own requests.
TEST(least_loaded_test, ReadsOnlyTheReport) {
  routing_fixture fixture;
  fixture.Add(3);
  fixture.Build();
  fixture.loads[0] = {.in_flight = 2, .limit = 8};
  fixture.loads[1] = {.in_flight = 1, .queued = 2, .limit = 8};
  fixture.loads[2] = {.in_flight = 1, .limit = 8, .sent_since = 7};
  EXPECT_EQ(fixture.Decide("least-loaded"), "u2");
}

// Guards against two draws of the same upstream, which would make the choice a single draw.
TEST(two_random_test, DrawsTwoDifferentUpstreams) {
  routing_fixture fixture;
  fixture.Add(2);
  fixture.Build();
  fixture.loads[0].in_flight = 1;
  for (std::uint64_t i = 0; i < 100; ++i) {
    fixture.request.seed = Mix64(i);
    EXPECT_EQ(fixture.Decide("two-random"), "u1");
  }
}

}  // namespace
}  // namespace quincebank
