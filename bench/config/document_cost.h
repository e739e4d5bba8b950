#pragma once

namespace quincebank {

/// \brief Prints parse time, adoption time and memory, by number of workspaces.
void PrintDocumentCost();

}  // namespace quincebank
