#pragma once

#include <cstdint>
#include <string>

#include "quincebank/base/time.h"

namespace quincebank::scenario {

struct schedule_options {
  std::size_t entries = 3;
  std::size_t agents = 3;
  std::size_t orders = 12;
  std::size_t faults = 10;
  milliseconds span{8000};
  /// \brief Draws keys that are hours old, changes of the retention, and sweeps of old claims.
  bool retention = false;
};

/// \brief Draws orders, retries and faults from a seed, as the text of a script.
///
/// The text of a failing seed can be kept as a script and cut down by hand.
[[nodiscard]] std::string DrawSchedule(std::uint64_t seed, const schedule_options& options);

}  // namespace quincebank::scenario
