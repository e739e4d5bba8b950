#include "quincebank/expert_control/group_map.h"

#include <optional>
#include <string>
#include <utility>

namespace quincebank {
namespace {

/// Gives each expert that no rank holds to the rank with the fewest experts.
/// \returns False if some don't fit.
bool PlaceMissing(const even_share_shape& shape, rank_experts& holders) {
  std::vector<bool> held(static_cast<std::size_t>(shape.experts), false);
  for (const std::vector<int>& experts : holders) {
    for (const int expert : experts) {
      if (expert >= 0 && expert < shape.experts)
        held[static_cast<std::size_t>(expert)] = true;
    }
  }
  std::vector<int> added(holders.size(), 0);
  for (int expert = 0; expert < shape.experts; ++expert) {
    if (held[static_cast<std::size_t>(expert)])
      continue;
    std::optional<std::size_t> chosen;
    for (std::size_t rank = 0; rank < holders.size(); ++rank) {
      const bool fits = holders[rank].size() < static_cast<std::size_t>(shape.places) &&
                        added[rank] < shape.new_per_set;
      if (fits && (!chosen || holders[rank].size() < holders[*chosen].size()))
        chosen = rank;
    }
    if (!chosen)
      return false;
    holders[*chosen].push_back(expert);
    ++added[*chosen];
  }
  return true;
}

}  // namespace

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

result<std::vector<rank_experts>> CompleteGroupMap(engine_port& port,
                                                   const rollout_group& group,
                                                   std::uint64_t epoch) {
  std::vector<rank_experts> map(group.sets, rank_experts(group.ranks.size()));
  auto held = port.Held(group.ranks);
  for (std::size_t rank = 0; rank < group.ranks.size(); ++rank) {
    if (!held[rank])
      return held[rank].error();
    held_experts& experts = held[rank].value();
    if (experts.epoch != epoch || experts.experts.size() != group.sets)
      return MakeError(error_code::kStale, group.ranks[rank]->id + " has formed anew");
    for (std::size_t set = 0; set < group.sets; ++set)
      map[set][rank] = std::move(experts.experts[set]);
  }
  for (rank_experts& holders : map) {
    if (!PlaceMissing(group.shape, holders))
      return MakeError(error_code::kInvalidArgument, "the missing experts do not fit");
  }
  return map;
}

}  // namespace quincebank
