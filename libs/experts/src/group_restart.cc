#include "quincebank/experts/group_restart.h"

namespace quincebank {

std::optional<switch_decision> PlanGroupRestart(const switch_history& history,
                                                const std::vector<rank_condition>& ranks) {
  if (ranks.empty())
    return std::nullopt;
  switch_decision record;
  record.epoch = history.decided + 1;
  record.verdict = switch_verdict::kRestart;
  for (const rank_condition& rank : ranks) {
    const bool initial = rank.map == 0 && rank.pending == 0;
    if (!rank.engine_lost || !initial || rank.decided != history.decided)
      return std::nullopt;
    record.boots.push_back(rank.boot);
  }
  return record;
}

}  // namespace quincebank
