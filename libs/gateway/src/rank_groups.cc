#include "quincebank/gateway/rank_groups.h"

#include <algorithm>

namespace quincebank {

std::map<std::string, rank_group> FindRankGroups(const ref_ptr<const fleet_snapshot>& snapshot) {
  std::map<std::string, rank_group> groups;
  if (!snapshot->catalog)
    return groups;
  for (const auto& [service, upstreams] : snapshot->upstreams) {
    const service_rule* const rule = snapshot->catalog->FindService(service);
    if (rule == nullptr || !rule->engine || rule->engine->expert_sets == 0)
      continue;
    for (const known_upstream& upstream : upstreams) {
      const auto& membership = upstream.record.group;
      if (!membership || membership->size <= 1 || upstream.superseded)
        continue;
      rank_group& group = groups[service + "/" + membership->group];
      group.snapshot = snapshot;
      group.profile = *rule->engine;
      group.ranks.resize(static_cast<std::size_t>(membership->size), nullptr);
      if (membership->open && membership->rank < membership->size)
        group.ranks[static_cast<std::size_t>(membership->rank)] = &upstream.record;
      group.epoch = std::max(group.epoch, membership->epoch);
    }
  }
  std::erase_if(groups, [](const auto& item) {
    const rank_group& group = item.second;
    return std::any_of(group.ranks.begin(), group.ranks.end(), [&](const upstream_record* rank) {
      return rank == nullptr || rank->group->epoch != group.epoch;
    });
  });
  return groups;
}

}  // namespace quincebank
