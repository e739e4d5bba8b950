#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "quincebank/base/time.h"
#include "quincebank/catalog/service_catalog.h"
#include "quincebank/placement/work_estimate.h"

namespace quincebank {

/// \brief How upstreams are compared for a request.
enum class placement_policy : std::uint8_t {
  kCount,            ///< By the number of their requests.
  kTokens,           ///< By the work of their requests.
  kPredictedFinish,  ///< By the expected end of the request there.
};

[[nodiscard]] std::string_view ToString(placement_policy policy) noexcept;
/// \returns Nothing if there is no policy of this name.
[[nodiscard]] std::optional<placement_policy> ParsePlacementPolicy(std::string_view name) noexcept;

/// \brief Request for which an upstream is chosen.
struct placement_request {
  placement_policy policy = placement_policy::kCount;
  /// \name Not used by `placement_policy::kCount`.
  /// @{
  work_prediction predicted;
  const engine_profile* engine = nullptr;  ///< Of the service; null without engines.
  /// @}
};

}  // namespace quincebank
