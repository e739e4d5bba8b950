#pragma once

#include <cstddef>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"

namespace quincebank {

class json_reader;

/// \brief Settings of the adaptive concurrency limit: how it follows the service times of an
/// upstream.
struct ramp_settings {
  /// Requests that finish within this service time count towards raising the limit.
  milliseconds good_service_time{2000};
  /// A service time above `good_service_time * spike_factor` is a spike.
  double spike_factor = 4.0;
  /// Consecutive spikes that reset the limit to the cold limit. A single slow request doesn't
  /// indicate a cold upstream, since request sizes differ.
  std::size_t spike_count = 2;
  /// Requests with a good service time that must finish after a reset before the limit rises above
  /// the cold limit. Good service times at the cold limit don't prove that an upstream is warm.
  std::size_t warm_requests = 0;
  /// Factor applied to the limit after a full round of requests with good service times.
  double growth = 2.0;
  /// Factor applied to the limit, or to the requests in flight if these are fewer, after a round in
  /// which most requests were slow.
  double decrease = 0.7;
};

/// \brief Settings of one `admission_gate`.
struct admission_settings {
  std::size_t cold_limit = 2;   ///< Concurrent requests that a cold upstream can handle.
  std::size_t full_limit = 32;  ///< Upper bound of the concurrency limit.
  /// Maximum number of queued requests at the full limit; proportionally fewer below it and none
  /// while cold. A queue as long as the full limit means a wait of about one service time. A longer
  /// one only adds wait, and requests then start too late.
  std::size_t queue_limit = 32;
  /// Maximum number of workspaces without queued requests whose recent use is remembered.
  std::size_t idle_workspace_limit = 1024;
  milliseconds expected_service_time{1000};  ///< Initial estimate.
  milliseconds min_retry_after{100};         ///< Lower bound of `rejection::retry_after`.
  milliseconds max_retry_after{5000};        ///< Upper bound; also the value while draining.
  ramp_settings ramp;
};

/// \brief Reads the settings from a JSON object. Absent keys keep their defaults; errors are
/// reported to the reader. The caller must call `Finish` on the reader.
[[nodiscard]] admission_settings ReadAdmissionSettings(json_reader& reader);

/// \brief Returns the settings with out-of-range values clamped to the permitted range.
[[nodiscard]] admission_settings Normalized(admission_settings settings) noexcept;

}  // namespace quincebank
