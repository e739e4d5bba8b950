#pragma once

namespace quincebank::bench {

/// \brief Prints the cost of planning for growing groups, and its slope.
void PrintCapacityTable();

}  // namespace quincebank::bench
