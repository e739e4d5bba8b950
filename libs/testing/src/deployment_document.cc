// What a deployment tells the system: its configuration document and its host list.

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "deployment_layout.h"
#include "quincebank/testing/deployment.h"

namespace quincebank {
namespace {

namespace json = boost::json;

json::object Service(const std::string& name, const std::string& kind, json::array routes) {
  json::object service{{"name", name},
                       {"kind", kind},
                       {"connect_timeout_ms", 500},
                       {"first_byte_timeout_ms", 10'000},
                       {"total_timeout_ms", 20'000},
                       {"routes", std::move(routes)}};
  if (kind == "model") {
    service["model"] = "quince";
    service["version"] = "1";
  }
  return service;
}

json::object Section(const std::string& owner, const std::string& kind, json::array list) {
  return {{"owner", owner}, {"kind", kind}, {kind, std::move(list)}};
}

}  // namespace

json::object deployment::ExpertGroup() const {
  json::array ranks;
  for (int i = 0; i < plan_.ranks; ++i)
    ranks.emplace_back("rank-" + std::to_string(i));
  return {{"name", "quince-group"},    {"layers", kGroupLayers},
          {"experts", kGroupExperts},  {"slots_per_rank", kGroupExperts / plan_.ranks + 2},
          {"ranks", std::move(ranks)}, {"step_margin", 32},
          {"expert_bytes", 1'000'000}, {"min_steps_between_changes", 50}};
}

std::string deployment::Document() const {
  json::array domains;
  const auto add_domain = [&domains](const domain_plan& domain) {
    domains.push_back(
        json::object{{"name", domain.name}, {"region", domain.region}, {"state", "in"}});
  };
  if (plan_.two_regions) {
    std::for_each(kTwoRegions.begin(), kTwoRegions.end(), add_domain);
  } else {
    std::for_each(kOneRegion.begin(), kOneRegion.end(), add_domain);
  }
  json::array upstreams;
  for (const process_plan& process : processes_) {
    const bool drafts = process.name.starts_with("drafts-");
    if (!drafts && !process.name.starts_with("orders-"))
      continue;
    const endpoint agent = ReachedAt("agent-" + process.name);
    upstreams.push_back(json::object{{"name", process.name},
                                     {"host", "agent-" + process.name},
                                     {"failure_domain", process.failure_domain},
                                     {"service", drafts ? "quince-drafts" : "order-desk"},
                                     {"agent_address", agent.address},
                                     {"agent_port", agent.port},
                                     {"upstream_address", process.address.address},
                                     {"upstream_port", process.address.port},
                                     {"cold_limit", plan_.cold_limit},
                                     {"full_limit", plan_.full_limit},
                                     {"queue_limit", plan_.queue_limit},
                                     {"warm_requests", plan_.warm_requests}});
  }
  for (int i = 0; i < plan_.ranks; ++i) {
    const std::string name = "rank-" + std::to_string(i);
    const endpoint agent = ReachedAt("agent-" + name);
    upstreams.push_back(json::object{{"name", name},
                                     {"host", "agent-" + name},
                                     {"failure_domain", DomainOf(i)},
                                     {"service", "quince-ranks"},
                                     {"agent_address", agent.address},
                                     {"agent_port", agent.port},
                                     {"upstream_address", AddressOf("ranks").address},
                                     {"upstream_port", AddressOf("ranks").port},
                                     {"cold_limit", plan_.cold_limit},
                                     {"full_limit", plan_.full_limit}});
  }
  json::array services{
      Service("quince-drafts", "model",
              {json::object{
                   {"method", "POST"}, {"path_prefix", "/v1/completions"}, {"repeatable", true}},
               json::object{{"method", "POST"},
                            {"path_prefix", "/v1/completions/once"},
                            {"repeatable", false}}}),
      Service("order-desk", "plain",
              {json::object{{"method", "POST"}, {"path_prefix", "/orders"}, {"repeatable", false}},
               json::object{{"method", "GET"}, {"path_prefix", "/orders"}, {"repeatable", true}}})};
  if (!plan_.hedging.empty())
    services[0].as_object()["hedging"] = json::parse(plan_.hedging);
  json::array groups;
  if (plan_.ranks > 0) {
    services.push_back(Service("quince-ranks", "model", json::array()));
    groups.push_back(ExpertGroup());
  }
  const json::object document{
      {"domains", Section("platform", "failure_domains", domains)},
      {"models",
       Section("models", "model_versions",
               {json::object{{"model", "quince"}, {"version", "1"}, {"adapters", json::array()}}})},
      {"services", Section("services", "services", services)},
      {"upstreams", Section("platform", "upstreams", upstreams)},
      {"groups", Section("models", "expert_groups", groups)},
      {"objectives", Section("operations", "objectives",
                             {json::object{{"service", "quince-drafts"},
                                           {"availability", 0.99},
                                           {"latency_threshold_ms", 1'200},
                                           {"latency_percent", 95}},
                              json::object{{"service", "order-desk"}, {"availability", 0.999}}})},
      {"workspaces", Section("accounts", "workspaces",
                             {json::object{{"name", "cafe-nord"}, {"weight", 1}},
                              json::object{{"name", "diner-sud"}, {"weight", 2}}})},
  };
  return json::serialize(document);
}

std::string deployment::HostList() const {
  json::array list;
  for (const process_plan& process : processes_) {
    if (!IsNode(process.name))
      continue;
    const auto found = listings_.find(process.name);
    const host_listing listing = found == listings_.end() ? host_listing::kLive : found->second;
    if (listing == host_listing::kAbsent)
      continue;
    const bool leaves = listing == host_listing::kLeaving;
    const bool entry = process.name.starts_with("entry-");
    const endpoint reached = plan_.two_regions ? ReachedAt(process.name) : process.address;
    list.push_back(json::object{{"targets", json::array{ToString(reached)}},
                                {"labels", json::object{{"host", process.name},
                                                        {"failure_domain", process.failure_domain},
                                                        {"role", entry ? "entry" : "upstream"},
                                                        {"state", leaves ? "leaving" : "live"}}}});
  }
  return json::serialize(list);
}

}  // namespace quincebank
