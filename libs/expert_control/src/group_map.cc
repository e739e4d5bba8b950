#include "quincebank/expert_control/group_map.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace quincebank {
namespace {

constexpr int kNoRank = -1;

/// \returns Some rank that holds each expert of a set, or `kNoRank`; an error unless all ranks hold
///     experts of the group, none of them twice.
result<std::vector<int>> FindHolders(const rollout_group& group, const rank_experts& holders) {
  if (holders.size() != group.ranks.size())
    return MakeError(error_code::kInvalidArgument, "a map of other ranks");
  std::vector<int> holder_of(static_cast<std::size_t>(group.shape.experts), kNoRank);
  for (std::size_t rank = 0; rank < holders.size(); ++rank) {
    for (const int expert : holders[rank]) {
      const bool known = expert >= 0 && expert < group.shape.experts;
      if (known && holder_of[static_cast<std::size_t>(expert)] != static_cast<int>(rank)) {
        holder_of[static_cast<std::size_t>(expert)] = static_cast<int>(rank);
        continue;
      }
      return MakeError(error_code::kInvalidArgument, group.ranks[rank]->id + " states expert " +
                                                         std::to_string(expert) +
                                                         (known ? " twice" : ", which is none"));
    }
  }
  return holder_of;
}

/// Gives each expert that no rank holds to the rank with the fewest experts.
/// \returns False if some don't fit.
bool PlaceMissing(const even_share_shape& shape,
                  const std::vector<int>& holder_of,
                  rank_experts& holders) {
  std::vector<int> added(holders.size(), 0);
  for (int expert = 0; expert < shape.experts; ++expert) {
    if (holder_of[static_cast<std::size_t>(expert)] != kNoRank)
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

result<void> CheckGroupMap(const rollout_group& group, const std::vector<rank_experts>& map) {
  if (map.size() != group.sets)
    return MakeError(error_code::kInvalidArgument, "a map with other sets");
  for (const rank_experts& holders : map) {
    BOOST_OUTCOME_TRY(const std::vector<int> holder_of, FindHolders(group, holders));
    const auto missing = std::find(holder_of.begin(), holder_of.end(), kNoRank);
    if (missing != holder_of.end())
      return MakeError(error_code::kInvalidArgument,
                       "no rank holds expert " + std::to_string(missing - holder_of.begin()));
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

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
  BOOST_OUTCOME_TRY(CheckGroupMap(group, map));
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
    BOOST_OUTCOME_TRY(const std::vector<int> holder_of, FindHolders(group, holders));
    if (!PlaceMissing(group.shape, holder_of, holders))
      return MakeError(error_code::kInvalidArgument, "the missing experts do not fit");
  }
  return map;
}

}  // namespace quincebank
