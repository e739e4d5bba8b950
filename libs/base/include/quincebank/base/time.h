#pragma once

#include <time.h>

#include <chrono>
#include <ctime>

namespace quincebank {

/// \brief Monotonic instant. Decision modules take it as a parameter and never read a clock.
using time_point = std::chrono::steady_clock::time_point;
/// \brief Wall-clock instant, only for what people read or other hosts compare.
using wall_time = std::chrono::system_clock::time_point;

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

/// \brief Monotonic clock that also counts the time in which the host was suspended. Permissions
/// that others let run out meanwhile, such as leases and deadlines, are measured with it.
struct boot_clock {
  using duration = nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  // The standard names this member of a clock.
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)

  [[nodiscard]] static time_point now() noexcept {
    std::timespec time{};
    // Fails only for a clock that the kernel does not know.
    (void)::clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(seconds(time.tv_sec) + nanoseconds(time.tv_nsec));
  }
};

using boot_time = boot_clock::time_point;

}  // namespace quincebank
