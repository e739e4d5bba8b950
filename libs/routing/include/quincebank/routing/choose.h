#pragma once

#include <span>
#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/base/ref_counted.h"
#include "quincebank/routing/decision.h"
#include "quincebank/routing/load.h"
#include "quincebank/routing/prefix_index.h"
#include "quincebank/routing/request.h"
#include "quincebank/routing/settings.h"
#include "quincebank/routing/table.h"

namespace quincebank {

/// \brief All that a decision reads.
struct route_input {
  ref_ptr<const routing_table> table;
  load_view loads;  ///< One per upstream of the table; missing ones count as "no hint".
  route_request request;
  prefix_hits hits;  ///< From `prefix_index::Find`; may be empty.
  route_settings settings;
};

/// \brief One way to choose, with the name that configuration and records use.
struct route_policy {
  using strategy = result<route_decision> (*)(const route_input& input);

  std::string_view name;
  strategy choose = nullptr;
};

/// Name of the policy that deployments use.
inline constexpr std::string_view kDefaultRoutePolicy = "quincebank";

/// \brief Returns all policies: `quincebank`, `round-robin`, `least-loaded`, `two-random`.
[[nodiscard]] std::span<const route_policy> RoutePolicies() noexcept;
/// \returns The policy, or null if the name is unknown.
[[nodiscard]] const route_policy* FindRoutePolicy(std::string_view name) noexcept;

/// \brief Chooses an upstream by the default policy.
///
/// The call reads no clock and, unless it fails, allocates no memory.
///
/// \returns The decision, or an error with verdict "not run" that says why there is none:
///     `kNotFound` if no upstream serves the version or adapter, `kDraining` if those that do take
///     no new work, `kOverloaded` if all are full, `kTimeout` if none can meet the deadline,
///     `kUnavailable` if all were tried or are suspected.
///
/// \example
///   const auto decision = Choose({table, loads, request, index.Find(request.prefix), {}});
///   if (decision.has_value())
///     Send(table->at(decision.value().index));
[[nodiscard]] result<route_decision> Choose(const route_input& input);
/// \brief Chooses by the given policy.
[[nodiscard]] result<route_decision> Choose(const route_policy& policy, const route_input& input);

}  // namespace quincebank
