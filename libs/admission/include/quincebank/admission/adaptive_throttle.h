#pragma once

#include <cstdint>
#include <optional>

#include "quincebank/base/time.h"

namespace quincebank {

class random_source;

/// \brief Settings of a `backoff_after`.
struct adaptive_throttle_settings {
  /// Requests sent for each accepted one while a service refuses work. The surplus probes for
  /// returning capacity.
  double surplus = 1.25;
  milliseconds half_life{5000};        ///< Older answers count half after each window.
  milliseconds max_retry_after{5000};  ///< Longer waits asked for by upstreams are cut to this.
};

/// \brief Follows the limit of one service from the "not run" rejections that this node gets.
///
/// While a wait asked for by a rejection lasts, the node sends only about as much as the service
/// accepts, and rejects the rest itself. Needs no agreement between nodes: each one follows its own
/// answers. Not safe for use by several threads at once.
class adaptive_throttle {
 public:
  explicit adaptive_throttle(const adaptive_throttle_settings& settings = {}) noexcept;

  /// \brief Decides on a request before it is sent.
  /// \returns Nothing if it may be sent, else the wait to report in `Retry-After`.
  [[nodiscard]] std::optional<milliseconds> Check(time_point now, random_source& random) noexcept;
  void OnAccepted(time_point now) noexcept;
  /// \param retry_after  wait asked for by the rejection.
  void OnRejected(milliseconds retry_after, time_point now) noexcept;
  /// \brief Returns the share of requests that would be rejected locally now, 0 to 1.
  [[nodiscard]] double RejectionProbability(time_point now) const noexcept;

 private:
  void Decay(time_point now) noexcept;

  const adaptive_throttle_settings settings_;
  double sent_ = 0;
  double accepted_ = 0;
  time_point decayed_at_;
  time_point throttled_until_;
};

}  // namespace quincebank
