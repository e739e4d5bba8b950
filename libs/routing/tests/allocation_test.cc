// Counts the allocations of a decision.
#include <gtest/gtest.h>

#include "allocation_counter.h"
#include "routing_fixture.h"

namespace quincebank {
namespace {

class allocation_test
    : public testing::TestWithParam<std::tuple<std::string_view, std::size_t, std::uint32_t>> {};

// Guards against memory that is allocated for each request, at any load.
TEST_P(allocation_test, DecisionAllocatesNothing) {
  const auto [name, replicas, in_flight] = GetParam();
  routing_fixture fixture;
  fixture.Add(replicas);
  fixture.Build();
  prefix_index index(1024);
  fixture.prefix = {1, 2, 3, 4, 5, 6, 7, 8};
  index.NoteServed(fixture.table->key(1), fixture.prefix);
  for (upstream_load& load : fixture.loads)
    load = {.in_flight = in_flight, .limit = 8};
  fixture.request.model_version = "m1";
  fixture.request.region = "east";
  fixture.tried = {KeyOf("u0")};
  const route_policy& policy = *FindRoutePolicy(name);
  route_input input = fixture.Input();
  const std::size_t before = AllocationCount();
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    input.request.seed = seed;
    input.request.turn = seed;
    input.hits = index.Find(input.request.prefix);
    ASSERT_TRUE(Choose(policy, input).has_value());
  }
  EXPECT_EQ(AllocationCount(), before);
}

INSTANTIATE_TEST_SUITE_P(
    Sizes,
    allocation_test,
    testing::Combine(testing::Values("quincebank", "round-robin", "least-loaded", "two-random"),
                     testing::Values(3U, 16U, 620U),
                     testing::Values(2U, 9U)));

}  // namespace
}  // namespace quincebank
