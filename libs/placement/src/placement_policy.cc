#include "quincebank/placement/placement_policy.h"

#include <array>

namespace quincebank {
namespace {

/// Names of the policies, in the order of `placement_policy`.
constexpr std::array<std::string_view, 3> kNames{"count", "tokens", "predicted_finish"};

}  // namespace

std::string_view ToString(placement_policy policy) noexcept {
  return kNames.at(static_cast<std::size_t>(policy));
}

std::optional<placement_policy> ParsePlacementPolicy(std::string_view name) noexcept {
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (kNames.at(i) == name)
      return static_cast<placement_policy>(i);
  }
  return std::nullopt;
}

}  // namespace quincebank
