#pragma once

namespace quincebank::bench {

/// \brief Runs all scenarios with all policies and prints one line for each.
void PrintDriftTable(int layers);

}  // namespace quincebank::bench
