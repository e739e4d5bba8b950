#pragma once

#include "quincebank/base/time.h"

namespace quincebank {

// Only daemons and drivers read clocks; decision modules take the time as a parameter.

[[nodiscard]] inline time_point Now() noexcept {
  return std::chrono::steady_clock::now();
}

[[nodiscard]] inline boot_time BootNow() noexcept {
  return boot_clock::now();
}

[[nodiscard]] inline wall_time WallNow() noexcept {
  return std::chrono::system_clock::now();
}

}  // namespace quincebank
