#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "quincebank/experts/switch_messages.h"

namespace quincebank {

/// \brief What the agent of one rank reports about its engine.
struct rank_condition {
  bool engine_lost = false;  ///< The engine has another map than the records say.
  map_epoch decided = 0;     ///< Highest epoch that the agent knows to be decided.
  std::uint64_t boot = 0;
  map_epoch map = 0;
  map_epoch pending = 0;
};

/// \brief Decides whether a group whose engines have all restarted may go on with their initial
/// map.
///
/// An engine that has restarted alone doesn't count: the others still use the committed map. The
/// record names the engines by their boot numbers, so it says nothing about an engine that restarts
/// once more after it has reported.
///
/// \param history  read after the reports.
/// \returns The record to create for the next epoch, or nothing if the group can't go on yet.
[[nodiscard]] std::optional<switch_decision> PlanGroupRestart(
    const switch_history& history,
    const std::vector<rank_condition>& ranks);

}  // namespace quincebank
