#include <gtest/gtest.h>

#include "fixtures.h"

namespace quincebank {
namespace {

using fixtures::Replace;

std::string Document() {
  return Replace(fixtures::Document(), R"("objectives": {"owner")",
                 R"("groups": {"owner": "ml", "kind": "expert_groups", "expert_groups": [
    {"name": "munshi-a", "layers": 2, "experts": 8, "slots_per_rank": 5,
     "ranks": ["munshi-2", "munshi-1"], "step_margin": 16, "cost_per_megabyte_us": 500,
     "expert_bytes": 1000000}]},
  "objectives": {"owner")");
}

TEST(expert_groups_test, SnapshotHoldsTheGroup) {
  auto parsed = ParseDocument(Document());
  ASSERT_TRUE(parsed.has_value()) << Describe(parsed.error());
  const auto built = effective_config::Build(1, "d", std::move(parsed).value());
  ASSERT_TRUE(built.has_value()) << Describe(built.error());
  ASSERT_EQ(built.value()->expert_groups().size(), 1U);
  const expert_group_config& group = built.value()->expert_groups()[0];
  EXPECT_EQ(group.name, "munshi-a");
  EXPECT_EQ(group.slots_per_rank, 5);
  // The order of the ranks is theirs, not that of the names.
  EXPECT_EQ(group.ranks, (std::vector<std::string>{"munshi-2", "munshi-1"}));
  EXPECT_EQ(group.step_margin, 16U);
  EXPECT_EQ(group.cost_per_megabyte, nanoseconds(500'000));
  EXPECT_EQ(group.expert_bytes, 1'000'000);
}

struct group_fault {
  const char* name;
  const char* from;
  const char* to;
  const char* path;
  const char* message;
};

class expert_groups_fault_test : public testing::TestWithParam<group_fault> {};

// Guards against a group that no agent could run, accepted or reported without its place.
TEST_P(expert_groups_fault_test, IsRejectedWithItsPath) {
  const auto parsed = ParseDocument(Replace(Document(), GetParam().from, GetParam().to));
  ASSERT_FALSE(parsed.has_value());
  EXPECT_EQ(parsed.error().path, GetParam().path) << parsed.error().message;
  EXPECT_NE(parsed.error().message.find(GetParam().message), std::string::npos)
      << parsed.error().message;
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    expert_groups_fault_test,
    testing::Values(
        group_fault{"no_such_rank", "[\"munshi-2\", \"munshi-1\"]", "[\"munshi-2\", \"munshi-9\"]",
                    "/groups/expert_groups/0/ranks/1", "'munshi-9'"},
        group_fault{"rank_of_plain_service", "[\"munshi-2\", \"munshi-1\"]",
                    "[\"bahi-1\", \"munshi-1\"]", "/groups/expert_groups/0/ranks/0",
                    "model service"},
        group_fault{"duplicate_rank", "[\"munshi-2\", \"munshi-1\"]",
                    "[\"munshi-2\", \"munshi-2\"]", "/groups/expert_groups/0/ranks/1", "duplicate"},
        group_fault{"no_ranks", "[\"munshi-2\", \"munshi-1\"]", "[]",
                    "/groups/expert_groups/0/ranks", "1 to 64"},
        group_fault{"too_few_slots", "\"slots_per_rank\": 5", "\"slots_per_rank\": 3",
                    "/groups/expert_groups/0/slots_per_rank", "fewer slots"},
        group_fault{"too_many_slots", "\"slots_per_rank\": 5", "\"slots_per_rank\": 9",
                    "/groups/expert_groups/0/slots_per_rank", "above experts"},
        group_fault{"no_layers", "\"layers\": 2, ", "", "/groups/expert_groups/0/layers", ""},
        group_fault{"unknown_key", "\"step_margin\"", "\"margin\"",
                    "/groups/expert_groups/0/margin", "unknown key"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace quincebank
