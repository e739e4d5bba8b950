// Chooses an upstream, records the decision and replays it under another policy.
#include <array>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <string>

#include "quincebank/routing/routing.h"

namespace quincebank {
namespace {

int Run() {
  const auto table = routing_table::Build(
      "quince-drafts", {{.id = "replica-1", .failure_domain = "qc-east-a", .region = "qc-east"},
                        {.id = "replica-2", .failure_domain = "qc-east-b", .region = "qc-east"},
                        {.id = "replica-3", .failure_domain = "qc-east-c", .region = "qc-east"}});
  if (!table.has_value()) {
    std::fprintf(stderr, "%s\n", Describe(table.error()).c_str());
    return 1;
  }
  const std::array<upstream_load, 3> loads{{{.in_flight = 30, .limit = 48},
                                            {.in_flight = 12, .limit = 48},
                                            {.in_flight = 1, .limit = 2, .cold = true}}};
  const prefix_hashes prefix = PrefixHashes("menus", "Summarise the reorders of card holder 12.");
  const route_input input{table.value(),
                          loads,
                          {.workspace = "menus",
                           .prefix = prefix.view(),
                           .deadline = milliseconds(2000),
                           .failure_domain = "qc-east-a",
                           .region = "qc-east",
                           .seed = 7},
                          {},
                          {}};
  const route_policy& policy = *FindRoutePolicy(kDefaultRoutePolicy);
  const auto record = MakeRouteRecord("request-1", {}, policy, input, Choose(policy, input));
  std::printf("decided: %s\n", boost::json::serialize(record.outcome).c_str());
  for (const route_policy& other : RoutePolicies()) {
    const auto replay = Replay(record, other.name);
    if (!replay.has_value())
      return 1;
    std::printf("%s: %s\n", replay.value().policy.c_str(),
                boost::json::serialize(replay.value().outcome.at("upstream")).c_str());
  }
  return 0;
}

}  // namespace
}  // namespace quincebank

int main() {
  return quincebank::Run();
}
