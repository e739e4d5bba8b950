#pragma once

#include <algorithm>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Whether this process may act in a role that it holds under a lease of the store.
///
/// Answers a process that was paused or delayed for seconds: its lease may have run out, and
/// another process may have the role. While the store is down for all, nobody can take the role
/// over, so a process that has watched over its lease without a pause goes on for a while.
class role_lease {
 public:
  /// \param life  of the lease.
  /// \param patience  longest time without a renewal.
  role_lease(milliseconds lifetime, milliseconds max_unrenewed)
      : lifetime_(lifetime), max_unrenewed_(max_unrenewed) {}

  /// \brief A claim or renewal that was sent then has succeeded.
  void OnRenewed(boot_time sent) noexcept {
    renewal_sent_ = sent;
    last_attempt_ = std::max(last_attempt_, sent);
    paused_ = false;
  }
  /// \brief The process is about to renew the lease.
  void OnRenewalAttempt(boot_time now) noexcept {
    paused_ = paused_ || now - last_attempt_ >= lifetime_;
    last_attempt_ = now;
  }
  [[nodiscard]] bool MayAct(boot_time now) const noexcept {
    if (now - renewal_sent_ < lifetime_)
      return true;
    return !paused_ && now - last_attempt_ < lifetime_ && now - renewal_sent_ < max_unrenewed_;
  }

 private:
  const milliseconds lifetime_;
  const milliseconds max_unrenewed_;
  boot_time renewal_sent_{};
  boot_time last_attempt_{};
  bool paused_ = true;  ///< The process stood still for longer than the lease lasts.
};

}  // namespace quincebank
