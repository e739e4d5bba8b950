#pragma once

namespace quincebank::bench {

/// \brief Prints how plans follow popularity that shifts, for several group sizes.
void PrintShiftTable();

}  // namespace quincebank::bench
