#pragma once

#include <cstdint>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/expert_control/engine_port.h"
#include "quincebank/experts/even_share_plan.h"

namespace quincebank {

/// \brief Group whose map is to be read or changed.
struct rollout_group {
  std::vector<const upstream_record*> ranks;  ///< All ranks, in their order.
  even_share_shape shape;
  std::size_t sets = 0;  ///< Sets of layers.
};

/// \brief Reads the map that a group uses from its ranks.
/// \param epoch  formation of the group that is asked for.
/// \returns Experts by set and rank; an error if a rank does not answer, or if the ranks are not
///     all in this formation and of one version.
[[nodiscard]] result<std::vector<rank_experts>> ReadGroupMap(engine_port& port,
                                                             const rollout_group& group,
                                                             std::uint64_t epoch);

/// \brief Returns a map that keeps what each rank holds, whatever its version, and places the
/// experts that no rank holds.
/// \returns An error if a rank does not answer, or if the missing experts do not fit.
[[nodiscard]] result<std::vector<rank_experts>> CompleteGroupMap(engine_port& port,
                                                                 const rollout_group& group,
                                                                 std::uint64_t epoch);

}  // namespace quincebank
