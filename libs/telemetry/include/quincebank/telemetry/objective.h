#pragma once

#include <cstdint>
#include <string>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Service-level objective of a service, for all of its workspaces together or for one.
struct objective {
  std::string service;
  std::string workspace;        ///< Empty for all workspaces together.
  double availability = 0.999;  ///< Share of requests that must not fail.
  milliseconds latency_threshold{1'000};
  double latency_share = 0.95;  ///< Share of answered requests within the threshold.
};

/// \brief Windows and alert thresholds of burn rates.
struct burn_settings {
  /// Counts are kept in slots of this length; the short window is the current slot and the one
  /// before it.
  seconds short_window{300};
  /// Rounded up to whole slots. The error budget left is that of this window.
  seconds long_window{3600};
  /// Burn rate in both windows from which the budget of 30 days loses 2% an hour.
  double fast_burn = 14.4;
  /// Burn rate in both windows that uses up the budget of 30 days in 10 days.
  double slow_burn = 3.0;
  /// With fewer requests in the short window, one failure would look like an outage.
  std::uint64_t least_requests = 20;
};

}  // namespace quincebank
