#pragma once

namespace quincebank::bench {

/// \brief Compares estimated with equal and known speeds while a straggler comes and goes.
void PrintStragglerTable(int layers);

}  // namespace quincebank::bench
