#pragma once

#include <cstdint>
#include <optional>

#include "quincebank/base/time.h"

namespace quincebank {

class random_source;

/// \brief Settings of an `adaptive_throttle`.
struct adaptive_throttle_settings {
  /// Requests sent per accepted request while the service rejects work. The excess over 1 detects
  /// returning capacity.
  double accepts_multiplier = 1.25;
  milliseconds half_life{5000};        ///< Half-life of the request counts.
  milliseconds max_retry_after{5000};  ///< Longer `Retry-After` times are capped at this.
};

/// \brief Client-side throttle that adapts to the "not run" rejections of one service.
///
/// Until the `Retry-After` time of the latest rejection has passed, the node sends only slightly
/// more requests than the service accepts, and rejects the others locally at random. Nodes do not
/// coordinate: each one uses only the answers to its own requests. Not thread-safe.
class adaptive_throttle {
 public:
  explicit adaptive_throttle(const adaptive_throttle_settings& settings = {}) noexcept;

  /// \brief Decides whether a request is sent or rejected locally. A rejection is counted here; a
  /// request that is sent is counted by `OnAccepted` or `OnRejected`.
  /// \returns Nothing if the request may be sent, else the time to report in `Retry-After`.
  [[nodiscard]] std::optional<milliseconds> Check(time_point now, random_source& random) noexcept;
  /// \brief Records a request that the service accepted.
  void OnAccepted(time_point now) noexcept;
  /// \brief Records a request that the service rejected as "not run".
  /// \param retry_after  `Retry-After` time of the rejection; starts or prolongs the throttling.
  void OnRejected(milliseconds retry_after, time_point now) noexcept;
  /// \brief Returns the probability that a request is rejected locally now, 0 to 1.
  [[nodiscard]] double RejectionProbability(time_point now) const noexcept;

 private:
  /// Applies the exponential decay to the request counts.
  void Decay(time_point now) noexcept;

  const adaptive_throttle_settings settings_;
  double sent_ = 0;      ///< Decayed count of all requests, local rejections included.
  double accepted_ = 0;  ///< Decayed count of accepted requests.
  time_point decayed_at_;
  time_point throttled_until_;
};

}  // namespace quincebank
