// Prefix affinity of the default policy.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "quincebank/base/random.h"
#include "routing_fixture.h"

namespace quincebank {
namespace {

/// Prompts of one template and many conversations, long enough to count as later turns.
std::vector<std::uint64_t> Prompt(std::uint64_t start, std::uint64_t talk) {
  std::vector<std::uint64_t> prompt;
  for (std::uint64_t i = 0; i < 8; ++i)
    prompt.push_back(Mix64(start * 1000 + i + (i < 2 ? 0 : talk * 100'000)));
  return prompt;
}

class affinity_test : public testing::TestWithParam<std::size_t> {
 protected:
  affinity_test() {
    fixture_.Add(GetParam());
    fixture_.Build();
  }

  routing_fixture fixture_;
};

// Guards against entries that send one conversation to different upstreams, which would compute
// its prompt again at each of them.
TEST_P(affinity_test, EntriesAgreeWithoutCommunication) {
  routing_fixture other = fixture_;
  std::reverse(other.upstreams.begin(), other.upstreams.end());
  other.Build();
  for (std::uint64_t talk = 0; talk < 100; ++talk) {
    fixture_.prefix = other.prefix = Prompt(1, talk);
    fixture_.request.seed = Mix64(talk);
    other.request.seed = Mix64(talk + 1'000'000);
    EXPECT_EQ(fixture_.Decide(), other.Decide());
  }
}

// Guards against later turns that leave the upstream which holds the earlier ones.
TEST_P(affinity_test, LaterTurnsStay) {
  for (std::uint64_t talk = 0; talk < 100; ++talk) {
    fixture_.prefix = Prompt(1, talk);
    const std::string first = fixture_.Decide();
    fixture_.prefix.push_back(talk);
    fixture_.request.seed = Mix64(talk);
    EXPECT_EQ(fixture_.Decide(), first);
  }
}

// Guards against a loss of one upstream that moves the conversations of the others.
TEST_P(affinity_test, RemovalMovesOnlyWhatWasThere) {
  std::map<std::uint64_t, std::string> before;
  for (std::uint64_t talk = 0; talk < 500; ++talk) {
    fixture_.prefix = Prompt(talk % 50, talk);
    before[talk] = fixture_.Decide();
  }
  const std::string removed = before[0];
  for (upstream& one : fixture_.upstreams) {
    if (one.id == removed)
      one.state = upstream_state::kDrained;
  }
  fixture_.Build();
  std::size_t moved = 0;
  for (std::uint64_t talk = 0; talk < 500; ++talk) {
    fixture_.prefix = Prompt(talk % 50, talk);
    const std::string now = fixture_.Decide();
    EXPECT_NE(now, removed);
    if (before[talk] != removed && now != before[talk])
      ++moved;
  }
  // Another upstream enters the preferred four of a template and may win some of its
  // conversations: on average 4 of n templates are touched, and a quarter of each moves.
  EXPECT_LE(moved, 500 / GetParam() * 3 + 10);
}

// Guards against a popular template that stays on a full upstream while others are idle.
TEST_P(affinity_test, SpillsWhenThePreferredAreFull) {
  fixture_.prefix = Prompt(1, 1);
  std::set<std::string> used;
  for (int i = 0; i < 40; ++i) {
    const auto decision = Choose(fixture_.Input());
    ASSERT_TRUE(decision.has_value());
    ++fixture_.loads[decision.value().index].sent_since;
    fixture_.request.seed = Mix64(static_cast<std::uint64_t>(i));
    used.insert(fixture_.table->at(decision.value().index).id);
  }
  // Forty requests at a limit of eight need five upstreams.
  EXPECT_GE(used.size(), 5U);
}

INSTANTIATE_TEST_SUITE_P(Sizes, affinity_test, testing::Values(7U, 16U, 130U, 620U));

// Guards against weights that are ignored or that overload the heavier upstreams.
TEST(affinity_weight_test, SharesFollowTheWeights) {
  routing_fixture fixture;
  fixture.Add(60);
  for (std::size_t i = 0; i < 20; ++i)
    fixture.upstreams[i].weight = 300;
  fixture.Build();
  std::size_t heavy = 0;
  constexpr std::size_t kPrompts = 4000;
  for (std::uint64_t i = 0; i < kPrompts; ++i) {
    fixture.prefix = {Mix64(i)};
    const auto decision = Choose(fixture.Input());
    ASSERT_TRUE(decision.has_value());
    heavy += decision.value().index < 20 ? 1 : 0;
  }
  // Twenty upstreams with weight 300 and forty with 100: 60% of the prompts.
  EXPECT_NEAR(static_cast<double>(heavy) / kPrompts, 0.6, 0.04);
}

// Guards against an uneven hash that gives some upstreams several times the share of others.
TEST(affinity_weight_test, EqualWeightsShareEvenly) {
  routing_fixture fixture;
  fixture.Add(50);
  fixture.Build();
  std::vector<int> counts(50);
  for (std::uint64_t i = 0; i < 10'000; ++i) {
    fixture.prefix = {Mix64(i)};
    ++counts[Choose(fixture.Input()).value().index];
  }
  // Mean 200, standard deviation 14; five deviations either way.
  EXPECT_GE(*std::min_element(counts.begin(), counts.end()), 130);
  EXPECT_LE(*std::max_element(counts.begin(), counts.end()), 270);
}

// Guards against preferred upstreams of another region, which cost a slow link on every token.
TEST(affinity_region_test, PreferredAreInTheCallersRegion) {
  routing_fixture fixture;
  fixture.Add(30, "east");
  fixture.Add(30, "west");
  fixture.Build();
  for (const std::string_view region : {"east", "west"}) {
    fixture.request.region = region;
    for (std::uint64_t i = 0; i < 200; ++i) {
      fixture.prefix = {Mix64(i)};
      fixture.request.seed = i;
      EXPECT_EQ(fixture.table->at(Choose(fixture.Input()).value().index).region, region);
    }
  }
}

// Guards against an empty pool range for callers whose region has no upstream left.
TEST(affinity_region_test, UnservedRegionUsesTheOthers) {
  routing_fixture fixture;
  fixture.Add(3, "east");
  fixture.Add(3, "west");
  for (std::size_t i = 0; i < 3; ++i)
    fixture.upstreams[i].state = upstream_state::kDrained;
  fixture.Build();
  fixture.request.region = "east";
  fixture.prefix = {1, 2};
  EXPECT_EQ(fixture.table->at(Choose(fixture.Input()).value().index).region, "west");
}

// Guards against a preference for cached blocks that an upstream in cold start can't have.
TEST(affinity_cold_test, ColdUpstreamIsNotTakenForAHolder) {
  routing_fixture fixture;
  fixture.Add(8);
  fixture.Build();
  fixture.prefix = Prompt(1, 1);
  const std::uint32_t preferred = Choose(fixture.Input()).value().index;
  fixture.loads[preferred] = {.limit = 2, .cold = true};
  EXPECT_NE(Choose(fixture.Input()).value().index, preferred);
}

}  // namespace
}  // namespace quincebank
