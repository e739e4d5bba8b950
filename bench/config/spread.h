#pragma once

namespace quincebank {

/// \brief Prints the time until the last node holds a change, by fleet size and fault.
void PrintSpread();

/// \brief Prints messages, bytes and key-value calls at 1,400 changes a day, by fleet size.
void PrintSteadyTraffic();

}  // namespace quincebank
