#pragma once

#include <array>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "quincebank/routing/routing.h"

namespace quincebank {

/// \brief Owns everything that one decision reads, with plain defaults.
struct routing_fixture {
  std::vector<upstream> upstreams;
  std::vector<upstream_load> loads;
  std::vector<std::uint64_t> prefix;
  std::vector<upstream_key> tried;
  prefix_hits hits;
  route_request request;
  route_settings settings;
  ref_ptr<const routing_table> table;

  /// \brief Adds `count` upstreams `u0`, `u1`, ... spread over three failure domains.
  void Add(std::size_t count, std::string_view region = "east", std::string_view version = "m1") {
    static constexpr std::array<std::string_view, 3> kDomains{"a", "b", "c"};
    for (std::size_t i = 0; i < count; ++i) {
      const std::size_t n = upstreams.size();
      const std::string domain = std::string(region) + "-" + std::string(kDomains[n % 3]);
      upstreams.push_back({.id = "u" + std::to_string(n),
                           .host = "host-" + std::to_string(n),
                           .failure_domain = domain,
                           .region = std::string(region),
                           .model_version = std::string(version)});
      loads.push_back({.limit = 8});
    }
  }

  /// \brief Builds the snapshot from `upstreams`. Call it again after a change.
  void Build() { table = routing_table::Build("drafts", upstreams).value(); }

  [[nodiscard]] route_input Input() {
    request.prefix = prefix;
    request.tried = tried;
    return {table, loads, request, hits, settings};
  }

  /// \brief Returns the id that the policy chooses, or the error's wire form.
  [[nodiscard]] std::string Decide(std::string_view policy = kDefaultRoutePolicy) {
    const auto decision = Choose(*FindRoutePolicy(policy), Input());
    if (!decision.has_value())
      return std::string(ToString(decision.error().code));
    return table->at(decision.value().index).id;
  }
};

}  // namespace quincebank
