#pragma once

#include <algorithm>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Decides whether this process may still act in a role that it holds under a lease of the
/// store.
///
/// A process that was paused for longer than the lease must stop acting: the lease may have expired
/// and another process may hold the role. While the store is down, no process can take over the
/// role, so a process that has attempted its renewals without such a pause may go on for a limited
/// time although they fail.
class role_lease {
 public:
  /// \param lifetime  time to live of the lease.
  /// \param max_unrenewed  longest time that the process may act after its last successful renewal.
  role_lease(milliseconds lifetime, milliseconds max_unrenewed)
      : lifetime_(lifetime), max_unrenewed_(max_unrenewed) {}

  /// \brief Records a claim or renewal that succeeded.
  /// \param sent  time just before it was sent; the lease counts from then, so never for too long.
  void OnRenewed(boot_time sent) noexcept {
    renewal_sent_ = sent;
    last_attempt_ = std::max(last_attempt_, sent);
    paused_ = false;
  }
  /// \brief Records that the process is about to attempt a renewal; detects pauses of the process.
  void OnRenewalAttempt(boot_time now) noexcept {
    paused_ = paused_ || now - last_attempt_ >= lifetime_;
    last_attempt_ = now;
  }
  /// \brief Records that the lease is gone although its time has not passed.
  void OnLost() noexcept {
    renewal_sent_ = {};
    paused_ = true;
  }
  /// \brief Whether the process may act in the role now.
  [[nodiscard]] bool MayAct(boot_time now) const noexcept {
    if (now - renewal_sent_ < lifetime_)
      return true;
    return !paused_ && now - last_attempt_ < lifetime_ && now - renewal_sent_ < max_unrenewed_;
  }

 private:
  const milliseconds lifetime_;
  const milliseconds max_unrenewed_;
  boot_time renewal_sent_{};  ///< Sending of the last successful claim or renewal.
  boot_time last_attempt_{};  ///< Last renewal attempt, successful or not.
  /// Whether attempts have been at least a lease apart since the last renewal, or none succeeded
  /// yet.
  bool paused_ = true;
};

}  // namespace quincebank
