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
  role_lease(milliseconds life, milliseconds patience) : life_(life), patience_(patience) {}

  /// \brief A claim or renewal that was sent then has succeeded.
  void OnHeld(boot_time sent) noexcept {
    renewed_ = sent;
    watched_ = std::max(watched_, sent);
    paused_ = false;
  }
  /// \brief The process is about to renew the lease.
  void OnWatch(boot_time now) noexcept {
    paused_ = paused_ || now - watched_ >= life_;
    watched_ = now;
  }
  [[nodiscard]] bool MayAct(boot_time now) const noexcept {
    if (now - renewed_ < life_)
      return true;
    return !paused_ && now - watched_ < life_ && now - renewed_ < patience_;
  }

 private:
  const milliseconds life_;
  const milliseconds patience_;
  boot_time renewed_{};
  boot_time watched_{};
  bool paused_ = true;  ///< The process stood still for longer than the lease lasts.
};

}  // namespace quincebank
