#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "switch_world.h"

namespace quincebank::test {

/// \brief What an enumeration found.
struct exploration {
  std::size_t states = 0;
  std::size_t transitions = 0;
  bool complete = false;           ///< All reachable states were visited.
  std::string violation;           ///< Empty if no state violates an invariant.
  std::vector<std::string> trace;  ///< Shortest sequence of events to the violation.
  std::size_t stuck = 0;           ///< States from which the group can't settle any more.
  std::vector<std::string> stuck_trace;
  std::size_t new_map_used = 0;          ///< States in which a rank has run a step with a new map.
  std::size_t new_map_after_reboot = 0;  ///< The same after all engines have restarted.
  std::size_t aborted = 0;               ///< States with an abort record of a change.
};

/// \brief Visits every reachable state, breadth first.
///
/// States are told apart by 128-bit hashes of their content.
[[nodiscard]] exploration Explore(const limits& bounds,
                                  const protocol& rules,
                                  std::size_t max_states);

}  // namespace quincebank::test
