#pragma once

#include <chrono>

namespace quincebank {

/// \brief Monotonic instant. Decision modules take it as a parameter and never read a clock.
using time_point = std::chrono::steady_clock::time_point;
/// \brief Wall-clock instant, only for what people read or other hosts compare.
using wall_time = std::chrono::system_clock::time_point;

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

}  // namespace quincebank
