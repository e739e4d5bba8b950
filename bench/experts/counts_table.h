#pragma once

namespace quincebank::bench {

/// \brief Compares ways to bring the token counts of all ranks to the coordinator.
void PrintCountsTable();

}  // namespace quincebank::bench
