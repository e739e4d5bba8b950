#include "quincebank/catalog/service_catalog.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace quincebank {
namespace {

// Returns the hostname without its port, in lower case: hostnames are case-insensitive (RFC 9110,
// 4.2.3).
std::string LowerHost(std::string_view host) {
  std::string lower(host.substr(0, host.find(':')));
  std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) {
    return static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c);
  });
  return lower;
}

}  // namespace

service_catalog::service_catalog(std::uint64_t version,
                                 std::vector<route_rule> routes,
                                 std::vector<service_rule> services,
                                 std::vector<workspace_rule> workspaces,
                                 const client_limits& limits)
    : version_(version),
      routes_(std::move(routes)),
      services_(std::move(services)),
      workspaces_(std::move(workspaces)),
      limits_(limits) {
  for (const route_rule& route : routes_)
    by_host_[LowerHost(route.hostname)].push_back(&route);
  for (auto& [host, host_routes] : by_host_) {
    std::stable_sort(host_routes.begin(), host_routes.end(),
                     [](const route_rule* a, const route_rule* b) {
                       return a->path_prefix.size() > b->path_prefix.size();
                     });
  }
  for (const workspace_rule& workspace : workspaces_) {
    for (const std::string& key : workspace.api_keys)
      by_key_.emplace(key, &workspace);
  }
}

const route_rule* service_catalog::FindRoute(std::string_view host,
                                             std::string_view path) const noexcept {
  const auto found = by_host_.find(LowerHost(host));
  if (found == by_host_.end())
    return nullptr;
  for (const route_rule* const route : found->second) {
    if (path.starts_with(route->path_prefix))
      return route;
  }
  return nullptr;
}

const service_rule* service_catalog::FindService(std::string_view name) const noexcept {
  for (const service_rule& service : services_) {
    if (service.name == name)
      return &service;
  }
  return nullptr;
}

const workspace_rule* service_catalog::FindWorkspace(std::string_view api_key) const {
  const auto found = by_key_.find(api_key);
  return found == by_key_.end() ? nullptr : found->second;
}

const std::string& PickService(const route_rule& route, double draw) noexcept {
  const double total =
      std::accumulate(route.services.begin(), route.services.end(), 0.0,
                      [](double sum, const weighted_service& s) { return sum + s.weight; });
  double remaining = draw * total;
  for (const weighted_service& candidate : route.services) {
    remaining -= candidate.weight;
    if (remaining < 0)
      return candidate.service;
  }
  return route.services.back().service;
}

}  // namespace quincebank
