#include "quincebank/expert_control/group_map.h"

#include <string>
#include <utility>

namespace quincebank {

result<std::vector<rank_experts>> ReadGroupMap(engine_port& port,
                                               const rollout_group& group,
                                               std::uint64_t epoch) {
  if (group.ranks.empty())
    return MakeError(error_code::kInvalidArgument, "a group without ranks");
  const std::span<const upstream_record* const> ranks(group.ranks);
  BOOST_OUTCOME_TRY(const held_experts first, std::move(port.Held(ranks.first(1)).front()));
  if (first.epoch != epoch)
    return MakeError(error_code::kStale, "the group has formed anew");
  std::vector<rank_experts> map(group.sets, rank_experts(ranks.size()));
  // A group that has just formed uses the initial map.
  if (first.version == 0) {
    map.assign(group.sets, InitialExperts(group.shape));
    return map;
  }
  auto held = port.Held(ranks);
  for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
    if (!held[rank])
      return MakeError(held[rank].error().code,
                       ranks[rank]->id + ": " + held[rank].error().message);
    held_experts& experts = held[rank].value();
    if (experts.epoch != epoch || experts.version != first.version ||
        experts.experts.size() != group.sets)
      return MakeError(error_code::kStale, ranks[rank]->id + " has another map");
    for (std::size_t set = 0; set < group.sets; ++set)
      map[set][rank] = std::move(experts.experts[set]);
  }
  return map;
}

}  // namespace quincebank
