#include "quincebank/config/effective_config.h"

#include <gtest/gtest.h>

#include "fixtures.h"

namespace quincebank {
namespace {

ref_ptr<const effective_config> BuildOrFail(std::string_view multan) {
  auto built = effective_config::Build(1, "d", ParseDocument(fixtures::Document(multan)).value());
  EXPECT_TRUE(built.has_value());
  return std::move(built).value();
}

struct route_case {
  const char* name;
  const char* service;
  const char* method;
  const char* path;
  const char* prefix;  ///< Of the route found; null if none.
};

class route_test : public testing::TestWithParam<route_case> {};

// Guards against a call that may not be repeated but gets the route of one that may.
TEST_P(route_test, FindsTheLongestPrefixOfWholeSegments) {
  const auto config = BuildOrFail("in");
  const auto service = config->FindService(GetParam().service);
  ASSERT_TRUE(service.has_value());
  const route_config* const route = config->FindRoute(*service, GetParam().method, GetParam().path);
  ASSERT_EQ(route != nullptr, GetParam().prefix != nullptr);
  if (route != nullptr) {
    EXPECT_EQ(route->path_prefix, GetParam().prefix);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Paths,
    route_test,
    testing::Values(route_case{"exact", "bahi", "GET", "/stock", "/stock"},
                    route_case{"below", "bahi", "GET", "/stock/7", "/stock"},
                    route_case{"query", "bahi", "GET", "/stock?id=7", "/stock"},
                    route_case{"other_method", "bahi", "POST", "/stock", "/"},
                    route_case{"part_of_a_segment", "bahi", "GET", "/stocktaking", "/"},
                    route_case{"no_route", "munshi", "GET", "/v1/completions", nullptr}),
    [](const auto& info) { return info.param.name; });

// Guards against upstreams of a domain that is out and still get work.
TEST(effective_config_test, MarksUpstreamsOfDrainedDomains) {
  const auto config = BuildOrFail("out");
  EXPECT_TRUE(config->IsDomainDrained("multan"));
  EXPECT_FALSE(config->IsDomainDrained("lahore"));
  EXPECT_TRUE(config->IsDrained(*config->FindUpstream("munshi-2")));
  EXPECT_FALSE(config->IsDrained(*config->FindUpstream("munshi-1")));
  EXPECT_EQ(config->UpstreamsOf(*config->FindService("munshi")).size(), 2U);
  EXPECT_FALSE(config->FindUpstream("munshi-3").has_value());
  EXPECT_NE(config->FindModelVersion("munshi", "3"), nullptr);
  EXPECT_EQ(config->FindModelVersion("munshi", "4"), nullptr);
}

// Guards against a workspace that gets the share of another, or a share while it is unknown.
TEST(effective_config_test, FindsWorkspacesByHash) {
  const auto config = BuildOrFail("in");
  EXPECT_EQ(config->workspace_count(), 2U);
  EXPECT_EQ(config->FindWorkspace("stalls")->weight, 4U);
  EXPECT_EQ(config->FindWorkspace(WorkspaceHash("stalls"))->priority, 7U);
  EXPECT_EQ(config->FindWorkspace("halls")->weight, 1U);
  EXPECT_FALSE(config->FindWorkspace("unknown").has_value());
}

}  // namespace
}  // namespace quincebank
