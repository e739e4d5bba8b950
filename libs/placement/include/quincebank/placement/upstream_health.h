#pragma once

#include <cstdint>
#include <optional>

#include "quincebank/base/ref_counted.h"
#include "quincebank/base/time.h"
#include "quincebank/placement/send_window.h"

namespace quincebank {

/// \brief How one attempt at an upstream ended, as far as it says something about the upstream.
enum class attempt_outcome : std::uint8_t {
  kServed,
  kFull,         ///< It refused for lack of room and has not run the request.
  kUnreachable,  ///< No connection; nothing was sent.
  kReplaced,     ///< Another upstream has the address.
  kFailed,       ///< Its own failure, a lost or a spoilt answer.
  kStalled,      ///< Silence, or a refusal because a rank of its group is gone.
  kAbandoned,    ///< The client left or the time was up; says nothing.
};

/// \brief What this entry's own requests have shown of one upstream. Used by one thread.
class upstream_health : public ref_counted<upstream_health> {
 public:
  void OnSend(const send_limit& limit, time_point now);
  void OnEnd(attempt_outcome outcome, time_point now);

  /// \brief The engine tells how many requests it has, from all entries.
  void OnLoad(int requests, time_point now) noexcept;
  /// \brief Requests of other entries as last told; nothing if that is too long ago.
  [[nodiscard]] std::optional<int> other_requests(time_point now) const noexcept;

  /// \brief When the engine last told its load.
  [[nodiscard]] time_point reported_at() const noexcept { return reported_at_; }

  /// \brief Another rank of its group is gone, so that it can't serve for a while.
  void OnGroupStalled(time_point now);

  [[nodiscard]] bool Allows(const send_limit& limit, time_point now) const noexcept {
    return window_.Allows(limit, now);
  }
  [[nodiscard]] time_point AllowedFrom(const send_limit& limit) const noexcept {
    return window_.AllowedFrom(limit);
  }
  [[nodiscard]] int in_flight() const noexcept { return in_flight_; }
  /// \brief Share of recent attempts that failed, 0 to 1; the newest weigh most.
  [[nodiscard]] double failure_share() const noexcept { return failure_share_; }
  /// \brief Until then the upstream is used only if there is no other.
  [[nodiscard]] time_point ejected_until() const noexcept { return ejected_until_; }
  [[nodiscard]] bool IsEjected(time_point now) const noexcept { return now < ejected_until_; }
  /// \brief After a rest one request at a time shows whether the upstream works again.
  [[nodiscard]] bool probing() const noexcept { return probing_; }

 private:
  void Eject(milliseconds initial, time_point now);

  send_window window_;
  int in_flight_ = 0;
  int other_requests_ = 0;
  time_point reported_at_{};  ///< When `others_` was told.
  int consecutive_ejections_ = 0;
  double failure_share_ = 0;
  time_point ejected_until_{};
  bool probing_ = false;
};

}  // namespace quincebank
