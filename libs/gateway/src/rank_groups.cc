#include "quincebank/gateway/rank_groups.h"

#include <algorithm>
#include <utility>

namespace quincebank {
namespace {

// Most expert counters of one rank; more than any engine has.
constexpr std::int64_t kMaxCounters = std::int64_t{1} << 20U;

/// Open ranks that state the same group and the same size. Memory depends on the number of records,
/// not on what they state.
struct stated_group {
  std::map<int, const upstream_record*> ranks;
  std::uint64_t epoch = 0;
};

bool HasExperts(const service_rule* rule) {
  if (rule == nullptr || !rule->engine || rule->engine->expert_sets <= 0)
    return false;
  return std::int64_t{rule->engine->expert_sets} * rule->engine->experts_per_set <= kMaxCounters;
}

bool IsComplete(const stated_group& group, int size) {
  return group.ranks.size() == static_cast<std::size_t>(size) &&
         std::all_of(group.ranks.begin(), group.ranks.end(),
                     [&](const auto& rank) { return rank.second->group->epoch == group.epoch; });
}

}  // namespace

std::map<std::string, rank_group> FindRankGroups(const ref_ptr<const fleet_snapshot>& snapshot) {
  std::map<std::string, rank_group> groups;
  if (!snapshot->catalog)
    return groups;
  for (const auto& [service, upstreams] : snapshot->upstreams) {
    const service_rule* const rule = snapshot->catalog->FindService(service);
    if (!HasExperts(rule))
      continue;
    std::map<std::pair<std::string, int>, stated_group> stated;
    for (const known_upstream& upstream : upstreams) {
      const auto& membership = upstream.record.group;
      if (!membership || membership->size <= 1 || upstream.superseded)
        continue;
      stated_group& group = stated[{membership->group, membership->size}];
      group.epoch = std::max(group.epoch, membership->epoch);
      if (membership->open && membership->rank >= 0 && membership->rank < membership->size)
        group.ranks[membership->rank] = &upstream.record;
    }
    for (const auto& [name, group] : stated) {
      if (!IsComplete(group, name.second))
        continue;
      rank_group& found = groups[service + "/" + name.first];
      found = {snapshot, {}, *rule->engine, group.epoch};
      for (const auto& [rank, record] : group.ranks)
        found.ranks.push_back(record);
    }
  }
  return groups;
}

}  // namespace quincebank
