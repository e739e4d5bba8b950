#pragma once

#include <cstddef>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"

namespace quincebank {

class json_reader;

/// \brief How the concurrency limit follows the service times of an upstream.
struct ramp_settings {
  /// Finished work at or under this service time is evidence for a higher limit.
  milliseconds good_service_time{2000};
  /// A service time above `good_service_time * spike_factor` is a spike.
  double spike_factor = 4.0;
  /// Spikes in a row that send the limit back to the cold limit. One lone slow request is no
  /// evidence of a cold upstream, since request sizes differ.
  std::size_t spike_count = 2;
  /// Good requests that must have finished since the last fallback before the limit leaves the cold
  /// limit. Good times at the cold limit do not show that an upstream is warm.
  std::size_t warm_requests = 0;
  /// Factor on the limit after one full round of good work.
  double growth = 2.0;
  /// Factor on the limit after one round in which most work was slow.
  double decrease = 0.7;
};

/// \brief Settings of one `admission_gate`.
struct admission_settings {
  std::size_t cold_limit = 2;   ///< Requests that a cold upstream handles at once.
  std::size_t full_limit = 32;  ///< Upper bound of the concurrency limit.
  /// Queued requests at the full limit. A queue as long as the full limit is a wait of about one
  /// service time. A longer one raises nothing but the wait, and work then starts too late.
  std::size_t queue_limit = 32;
  /// Workspaces without queued work whose recent use is remembered.
  std::size_t idle_workspace_limit = 1024;
  milliseconds expected_service_time{1000};  ///< Estimate until work has finished.
  milliseconds min_retry_after{100};
  milliseconds max_retry_after{5000};
  ramp_settings ramp;
};

/// \brief Reads the settings from a JSON object; absent keys keep their defaults. The caller
/// calls `Finish` on the reader.
[[nodiscard]] admission_settings ReadAdmissionSettings(json_reader& reader);

/// \brief Returns the settings with every value moved into its permitted range.
[[nodiscard]] admission_settings Normalized(admission_settings settings) noexcept;

}  // namespace quincebank
