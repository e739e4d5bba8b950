#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

#include "quincebank/base/ref_counted.h"
#include "quincebank/base/time.h"
#include "quincebank/placement/observation_exchange.h"
#include "quincebank/placement/outstanding_work.h"
#include "quincebank/placement/send_window.h"
#include "quincebank/placement/stated_limit.h"

namespace quincebank {

/// \brief How an attempt at an upstream ended, as seen by health tracking.
enum class attempt_outcome : std::uint8_t {
  kServed,
  kFull,         ///< Refused for lack of capacity; the request has not run.
  kUnreachable,  ///< No connection; nothing was sent.
  kReplaced,     ///< Another upstream has the address now.
  kFailed,       ///< Failure of the upstream, or a lost or corrupt answer.
  kStalled,      ///< No data until a timeout, or a refusal because a rank of its group is down.
  kAbandoned,    ///< The client left or the deadline passed; not held against the upstream.
};

/// \brief Health, load and rate limit of one upstream, as seen by one entry (instance of the load
/// balancer). Not thread-safe.
///
/// An upstream that fails is ejected for a while (outlier ejection), then probed: it gets one
/// request at a time until one is served. After a refusal or a replacement, or if another rank has
/// failed, it is ejected without being probed.
class upstream_health : public ref_counted<upstream_health> {
 public:
  /// \brief An attempt is sent.
  void OnSend(const send_limit& limit, time_point now);
  /// \brief An attempt has ended. May eject the upstream.
  void OnEnd(attempt_outcome outcome, time_point now);

  /// \brief The engine reports its requests, running and queued, from all entries.
  void OnLoad(int requests, time_point now) noexcept;
  /// \brief Requests of other entries, as last reported; nothing if there is no recent report.
  [[nodiscard]] std::optional<int> other_requests(time_point now) const noexcept;

  /// \brief Whether the engine has ever reported its load.
  [[nodiscard]] bool has_reported() const noexcept { return reported_at_ != time_point{}; }
  /// \brief When the engine last reported its load.
  [[nodiscard]] time_point reported_at() const noexcept { return reported_at_; }

  /// \brief An attempt has received nothing for its timeout and goes on. Ejects the upstream
  /// without probing: whether the attempt has failed is not known yet.
  void OnSilent(time_point now);

  /// \brief Ejects the upstream because another rank of its group is down.
  void OnGroupStalled(time_point now);

  /// \brief A newer instance has answered at the upstream's address.
  void OnReplaced(time_point now) noexcept;
  /// \brief Whether another instance has lately answered at the upstream's address.
  [[nodiscard]] bool IsReplaced(time_point now) const noexcept { return now < replaced_until_; }

  /// \brief The upstream has stated that it is shutting down. Holds until it ends.
  void OnLeaving() noexcept { leaving_ = true; }
  [[nodiscard]] bool leaving() const noexcept { return leaving_; }
  /// \brief The upstream has asked for no requests until then.
  void OnPause(time_point until) noexcept { paused_until_ = std::max(paused_until_, until); }
  [[nodiscard]] time_point paused_until() const noexcept { return paused_until_; }

  /// \brief The upstream states a limit on the requests of all entries; see `stated_limit`.
  bool OnStatedLimit(double per_second,
                     std::size_t entries,
                     double phase,
                     time_point now) noexcept {
    return stated_limit_.OnStated(per_second, entries, phase, now);
  }
  bool OnStatedLimitWithdrawn() noexcept { return stated_limit_.OnWithdrawn(); }
  /// \brief The upstream states a limit that can't be read.
  /// \returns Whether this is the first time.
  bool OnUnreadableLimit() noexcept { return !std::exchange(unreadable_limit_, true); }

  /// \brief Other entries report a stated limit, which this one follows until it ends.
  bool OnReportedLimit(double per_second,
                       std::size_t entries,
                       double phase,
                       time_point now) noexcept {
    return reported_limit_.OnStated(per_second, entries, phase, now);
  }
  bool OnReportedLimitEnd() noexcept { return reported_limit_.OnWithdrawn(); }

  /// \brief What this entry shares with the others about the upstream.
  [[nodiscard]] observation_exchange& observations() noexcept { return observations_; }
  [[nodiscard]] const observation_exchange& observations() const noexcept { return observations_; }

  /// \brief Whether the rate limits allow a request now.
  [[nodiscard]] bool Allows(const send_limit& limit, time_point now) const noexcept {
    return now >= AllowedFrom(limit);
  }
  /// \brief When the rate limits allow the next request, that of cold upstreams and the stated one;
  /// see `send_window::AllowedFrom`.
  [[nodiscard]] time_point AllowedFrom(const send_limit& limit) const noexcept {
    return std::max(
        {window_.AllowedFrom(limit), stated_limit_.AllowedFrom(), reported_limit_.AllowedFrom()});
  }
  /// \brief Attempts of this entry that have not ended.
  [[nodiscard]] int in_flight() const noexcept { return in_flight_; }
  /// \brief Work of the requests at the upstream. Kept only for placement policies that use it.
  [[nodiscard]] outstanding_work& work() noexcept { return work_; }
  /// \brief Moving average of failed attempts, 0 to 1; the newest attempts weigh most.
  [[nodiscard]] double failure_share() const noexcept { return failure_share_; }
  /// \brief End of the ejection. Until then the upstream is used only if there is no other one.
  [[nodiscard]] time_point ejected_until() const noexcept { return ejected_until_; }
  [[nodiscard]] bool IsEjected(time_point now) const noexcept { return now < ejected_until_; }
  /// \brief Whether the upstream has been ejected for failures and has not served a request since.
  /// After the ejection it gets one request at a time.
  [[nodiscard]] bool probing() const noexcept { return probing_; }

 private:
  /// Ejects the upstream for failures, unless it is ejected already.
  /// \param initial  duration of the first of consecutive ejections; it doubles with each one.
  void Eject(milliseconds initial, time_point now);

  outstanding_work work_;
  send_window window_;
  stated_limit stated_limit_;
  stated_limit reported_limit_;  ///< As other entries report it.
  observation_exchange observations_;
  bool unreadable_limit_ = false;
  int in_flight_ = 0;
  int other_requests_ = 0;
  time_point reported_at_{};  ///< When `other_requests_` was reported.
  int consecutive_ejections_ = 0;
  double failure_share_ = 0;
  time_point ejected_until_{};
  bool probing_ = false;
  time_point replaced_until_{};
  bool leaving_ = false;
  time_point paused_until_{};
};

}  // namespace quincebank
