#pragma once

#include <optional>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief How long a request may still take.
struct remaining_time {
  milliseconds limit{0};  ///< Time to its deadline.
  /// Time that it is expected to take; nothing if unknown.
  std::optional<milliseconds> expected;
  bool repeatable = false;  ///< Clients may send it again after it was cut off.
};

/// \brief Decides which requests an entry that is stopping still forwards.
///
/// A request that is still running when the process ends is cut off, so one that may not end in
/// time is rejected while no upstream has seen it, and its client turns to another entry.
class stop_schedule {
 public:
  /// \brief The process begins to stop.
  /// \param lookups_end  until then, clients connect that have a current look-up.
  /// \param end  when running requests are cut off.
  void Begin(boot_time lookups_end, boot_time end) noexcept;
  [[nodiscard]] bool stopping() const noexcept { return end_ != boot_time::max(); }
  /// \brief Whether a request may be sent to an upstream at `now`.
  ///
  /// While clients with current look-ups still connect, a repeatable request is admitted by its
  /// expected duration: rejecting all of them would load the other entries with repeats at once.
  /// Any other request must be sure to end in time.
  [[nodiscard]] bool Admits(const remaining_time& request, boot_time now) const noexcept;

 private:
  boot_time lookups_end_ = boot_time::max();
  boot_time end_ = boot_time::max();  ///< The maximum while the process is not stopping.
};

}  // namespace quincebank
