#include "quincebank/routing/table.h"

#include <gtest/gtest.h>

#include <ostream>

namespace quincebank {
namespace {

struct bad_list {
  std::string_view name;
  std::vector<upstream> upstreams;
  std::string_view path;
};

void PrintTo(const bad_list& one, std::ostream* out) {
  *out << one.name;
}

class bad_list_test : public testing::TestWithParam<bad_list> {};

// Guards against a snapshot in which two upstreams can't be told apart or a weight divides by 0.
TEST_P(bad_list_test, IsRejectedWithItsPath) {
  const auto table = routing_table::Build("drafts", GetParam().upstreams);
  ASSERT_FALSE(table.has_value());
  EXPECT_EQ(table.error().path, GetParam().path);
}

INSTANTIATE_TEST_SUITE_P(
    Lists,
    bad_list_test,
    testing::Values(
        bad_list{"EmptyId", {{.id = "a"}, {.id = ""}}, "/upstreams/1/id"},
        bad_list{"LineBreak", {{.id = "a\nb"}}, "/upstreams/0/id"},
        bad_list{"Repeated", {{.id = "a"}, {.id = "b"}, {.id = "a"}}, "/upstreams/2/id"},
        bad_list{"NoWeight", {{.id = "a", .weight = 0}}, "/upstreams/0/weight"},
        bad_list{"Heavy", {{.id = "a", .weight = 10'001}}, "/upstreams/0/weight"}),
    [](const auto& info) { return std::string(info.param.name); });

struct pool_case {
  std::string_view name;
  std::string_view version;
  std::string_view adapter;
  std::size_t members;  ///< 0: no pool.
};

void PrintTo(const pool_case& one, std::ostream* out) {
  *out << one.name;
}

class pool_test : public testing::TestWithParam<pool_case> {};

// Guards against requests at an upstream without their model version or adapter.
TEST_P(pool_test, HasTheUsableUpstreams) {
  const auto table =
      routing_table::Build("drafts", {{.id = "a", .model_version = "m1"},
                                      {.id = "b", .model_version = "m1", .adapters = {"fr"}},
                                      {.id = "c", .model_version = "m2", .adapters = {"fr"}},
                                      {.id = "d"},
                                      {.id = "e",
                                       .model_version = "m3",
                                       .adapters = {"en"},
                                       .state = upstream_state::kDrained}})
          .value();
  const auto* const pool = table->FindPool(GetParam().version, GetParam().adapter);
  EXPECT_EQ(pool == nullptr ? 0 : pool->index.size(), GetParam().members);
}

INSTANTIATE_TEST_SUITE_P(Pools,
                         pool_test,
                         testing::Values(pool_case{"Any", "", "", 4},
                                         pool_case{"Version", "m1", "", 2},
                                         pool_case{"Adapter", "", "fr", 2},
                                         pool_case{"Both", "m1", "fr", 1},
                                         pool_case{"NeitherTogether", "m1", "en", 0},
                                         pool_case{"OnlyDrained", "m3", "", 0},
                                         pool_case{"Unknown", "m4", "", 0}),
                         [](const auto& info) { return std::string(info.param.name); });

// Guards against a region whose members are scattered over the pool, of which a scan of one range
// would see only some.
TEST(table_test, EachRegionIsOneRange) {
  std::vector<upstream> upstreams;
  for (std::size_t i = 0; i < 60; ++i) {
    upstreams.push_back({.id = "u" + std::to_string(i),
                         .region = "r" + std::to_string(i % 3),
                         .weight = static_cast<std::uint32_t>(i + 1)});
  }
  const auto table = routing_table::Build("s", upstreams).value();
  const auto& pool = *table->FindPool("", "");
  ASSERT_EQ(pool.regions.size(), 3U);
  std::uint32_t next = 0;
  for (const auto& range : pool.regions) {
    EXPECT_EQ(range.begin, next);
    next = range.end;
    std::uint64_t weight = 0;
    for (std::uint32_t i = range.begin; i < range.end; ++i) {
      EXPECT_EQ(table->region(pool.index[i]), range.region);
      weight += table->at(pool.index[i]).weight;
    }
    EXPECT_EQ(range.weight, weight);
  }
  EXPECT_EQ(next, 60U);
}

// Guards against a key that finds the wrong upstream after the list has changed.
TEST(table_test, KeysStayValidInLaterSnapshots) {
  const auto before = routing_table::Build("s", {{.id = "a"}, {.id = "b"}}).value();
  const auto after = routing_table::Build("s", {{.id = "b"}, {.id = "c"}}).value();
  EXPECT_EQ(after->IndexOf(before->key(1)), 0U);
  EXPECT_EQ(after->IndexOf(before->key(0)), routing_table::kNone);
  EXPECT_EQ(routing_table::Build("s", {}).value()->IndexOf(KeyOf("a")), routing_table::kNone);
}

TEST(table_test, StatesSurviveTheWire) {
  for (const auto state : {upstream_state::kUsable, upstream_state::kDrained,
                           upstream_state::kLeaving, upstream_state::kSuspected}) {
    EXPECT_EQ(ParseUpstreamState(ToString(state)), state);
  }
  EXPECT_EQ(ParseUpstreamState("idle"), std::nullopt);
}

}  // namespace
}  // namespace quincebank
