#include <array>

#include "weigh.h"

namespace quincebank {
namespace {

constexpr std::array<route_policy, 4> kPolicies{{
    {kDefaultRoutePolicy, ChooseByScore},
    {"round-robin", ChooseByTurn},
    {"least-loaded", ChooseLeastLoaded},
    {"two-random", ChooseOfTwo},
}};

}  // namespace

std::span<const route_policy> RoutePolicies() noexcept {
  return kPolicies;
}

const route_policy* FindRoutePolicy(std::string_view name) noexcept {
  for (const route_policy& policy : kPolicies) {
    if (policy.name == name)
      return &policy;
  }
  return nullptr;
}

result<route_decision> Choose(const route_input& input) {
  return Choose(kPolicies.front(), input);
}

result<route_decision> Choose(const route_policy& policy, const route_input& input) {
  return policy.choose(input);
}

}  // namespace quincebank
