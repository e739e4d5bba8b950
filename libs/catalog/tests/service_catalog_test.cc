#include "quincebank/catalog/service_catalog.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

route_rule Route(std::string name, std::string host, std::string prefix) {
  route_rule route;
  route.name = std::move(name);
  route.hostname = std::move(host);
  route.path_prefix = std::move(prefix);
  route.services = {{"a", 90}, {"b", 10}};
  return route;
}

ref_ptr<const service_catalog> Catalog() {
  return ref_ptr<const service_catalog>(new service_catalog(
      7,
      {Route("root", "one.example", "/"), Route("api", "one.example", "/api/"),
       Route("deep", "one.example", "/api/v2/"), Route("other", "two.example", "/api/")},
      {{"a"}, {"b"}}, {{"shop", {"key-1", "key-2"}, 1}}, {}));
}

struct match_case {
  const char* name;
  const char* host;
  const char* path;
  const char* route;  ///< Empty if no route matches.
};

class route_match_test : public testing::TestWithParam<match_case> {};

// Guards against requests that are sent to a service of another route.
TEST_P(route_match_test, FindsTheLongestPrefixOfTheHost) {
  const auto catalog = Catalog();
  const route_rule* const route = catalog->FindRoute(GetParam().host, GetParam().path);
  EXPECT_EQ(route == nullptr ? "" : route->name, GetParam().route);
}

INSTANTIATE_TEST_SUITE_P(requests,
                         route_match_test,
                         testing::Values(match_case{"root", "one.example", "/x", "root"},
                                         match_case{"longer", "one.example", "/api/x", "api"},
                                         match_case{"longest", "one.example", "/api/v2/x", "deep"},
                                         match_case{"no_slash", "one.example", "/apiv2", "root"},
                                         match_case{"port", "one.example:8080", "/api/x", "api"},
                                         match_case{"upper_case", "ONE.example", "/api/x", "api"},
                                         match_case{"other_host", "two.example", "/api/v2/x",
                                                    "other"},
                                         match_case{"no_prefix", "two.example", "/x", ""},
                                         match_case{"unknown_host", "three.example", "/api/x", ""}),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(service_catalog, FindsWorkspacesByAnyOfTheirKeys) {
  const auto catalog = Catalog();
  ASSERT_NE(catalog->FindWorkspace("key-2"), nullptr);
  EXPECT_EQ(catalog->FindWorkspace("key-2")->name, "shop");
  EXPECT_EQ(catalog->FindWorkspace("key-3"), nullptr);
}

TEST(service_catalog, SplitsByWeight) {
  const route_rule route = Route("split", "h", "/");
  EXPECT_EQ(PickService(route, 0.0), "a");
  EXPECT_EQ(PickService(route, 0.899), "a");
  EXPECT_EQ(PickService(route, 0.901), "b");
  EXPECT_EQ(PickService(route, 0.9999), "b");
}

}  // namespace
}  // namespace quincebank
