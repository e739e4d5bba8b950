#pragma once

namespace quincebank {

/// \brief Prints what a day of changes leaves in the key-value service, with and without a
/// collector, and the calls that it costs.
void PrintCollection();

}  // namespace quincebank
