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

/// \brief Checks a map that ranks have stated. Plans use its numbers as indexes.
/// \param map  experts by set and rank.
/// \returns An error unless the map has the group's sets and ranks, each rank holds experts of the
///     group, none of them twice, and each expert is on some rank.
[[nodiscard]] result<void> CheckGroupMap(const rollout_group& group,
                                         const std::vector<rank_experts>& map);

/// \brief Reads the map that a group uses from its ranks.
/// \param epoch  formation of the group that is asked for.
/// \returns Experts by set and rank; an error if a rank does not answer, if the ranks are not all
///     in this formation and of one version, or if what they state is no map of the group.
[[nodiscard]] result<std::vector<rank_experts>> ReadGroupMap(engine_port& port,
                                                             const rollout_group& group,
                                                             std::uint64_t epoch);

/// \brief Returns a map that keeps what each rank holds, whatever its version, and places the
/// experts that no rank holds.
/// \returns An error if a rank does not answer or states experts that the group does not have, or
///     if the missing experts do not fit.
[[nodiscard]] result<std::vector<rank_experts>> CompleteGroupMap(engine_port& port,
                                                                 const rollout_group& group,
                                                                 std::uint64_t epoch);

}  // namespace quincebank
