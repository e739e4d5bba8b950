#pragma once

#include <cstdint>

#include "quincebank/base/time.h"
#include "quincebank/experts/expert_map.h"

namespace quincebank {

/// \brief Bytes that a coordinator may receive in a second for token counts, those of the requests
/// included: half of the 16 KB/s that control may use on a node.
inline constexpr std::int64_t kCountBytesPerSecond = 8'192;

/// \brief Bytes of one call for a report without the report itself, headers of both ways included.
inline constexpr std::int64_t kCountCallBytes = 448;

/// \brief How often a coordinator asks all ranks for a report, and how large each may be.
struct count_budget {
  milliseconds window{0};
  std::int64_t report_bytes = 0;  ///< Before the text form (base64).
};

/// \brief Returns the budget that keeps `kCountBytesPerSecond`. A report has room for the slots of
/// one rank in all layers, up to a size at which windows would become too long.
[[nodiscard]] count_budget BudgetFor(const group_shape& shape) noexcept;

}  // namespace quincebank
