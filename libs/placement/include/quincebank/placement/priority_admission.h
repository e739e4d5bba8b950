#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "quincebank/base/time.h"
#include "quincebank/catalog/service_catalog.h"
#include "quincebank/placement/choose_upstream.h"
#include "quincebank/placement/engine_limit.h"

namespace quincebank {

/// \brief Priorities and objectives of the requests that one service may receive.
struct service_priorities {
  std::vector<int> present;             ///< Ascending, thus the highest priority (0) first.
  milliseconds latency_objective{0};    ///< Shortest of the routes to the service.
  milliseconds event_gap_objective{0};  ///< Shortest one; 0 if no route has one.

  /// \brief Whether capacity has to be divided among priorities.
  [[nodiscard]] bool differ() const noexcept { return present.size() > 1; }
};

/// \brief Collects what the routes to a service and the workspaces state.
[[nodiscard]] service_priorities FindPriorities(const service_catalog& catalog,
                                                std::string_view service);

/// \brief Pass times between which requests of one priority are rejected in proportion.
struct pass_time_band {
  nanoseconds from{0};  ///< No request is rejected below it.
  nanoseconds full{0};  ///< The largest share is rejected above it; 0 if none ever is.
};

/// \brief Two random numbers in [0, 1), drawn once for each request.
struct admission_draws {
  double pass_time = 0;
  double headroom = 0;
};

/// \brief What one request may use at an engine.
struct engine_allowance {
  int limit = 0;               ///< Requests at the engine below which the request may be sent.
  double rejected_share = 0;   ///< Share of such requests that is rejected for the pass time.
  bool pass_too_long = false;  ///< The request is among that share.

  /// \brief Limit of the engine for this request; 0 if its passes take too long.
  [[nodiscard]] int EffectiveLimit() const noexcept { return pass_too_long ? 0 : limit; }
};

/// \brief What a gateway has decided about one request; holds for all engines of the service.
struct priority_claim {
  latency_goal goal;  ///< Strictest one among the routes of the service.
  bool is_highest = true;
  /// The request is exempt from headroom and from the limit on the pass time, since too few of the
  /// recent requests of its priority, or of a lower one, have been admitted.
  bool is_guaranteed = false;
  double headroom_share = 0;  ///< Share of an engine's slots left to higher priorities.
  pass_time_band band;
  admission_draws draws;

  /// \brief Whether the request may wait for capacity instead of being rejected at once.
  [[nodiscard]] bool may_wait() const noexcept { return is_highest || is_guaranteed; }
  /// \brief Applies the claim to an engine.
  [[nodiscard]] engine_allowance At(const engine_profile& profile,
                                    const group_pass_stats& pass_stats) const noexcept;
};

/// \brief Decides which requests of a service a gateway may send while requests of different
/// priorities compete for too little capacity. Not thread-safe.
///
/// Load conditions: a burst of one priority, engines that are evacuated, and groups whose passes
/// are slow. Three rules apply, each in proportion, since all gateways act on the same reports:
///  - Capacity: a lower priority leaves headroom in the slots of each engine. It grows with the
///    share of higher priorities in the recent arrivals. Only the highest priority uses the queue
///    of an engine.
///  - Pass time: while the passes of a group take nearly as long as the strictest event gap
///    objective, requests of the lowest priority are rejected, then those of the next one.
///  - Guarantee: a request is exempt from both if otherwise less than half of the recent requests
///    of its priority were admitted at this gateway. Higher priorities are then exempt as well, so
///    that they may use every slot that a lower one may use.
///
/// Without recent requests of a higher priority there is nothing to save, so that no request is
/// rejected for the pass time.
class priority_admission {
 public:
  explicit priority_admission(service_priorities priorities);

  [[nodiscard]] const service_priorities& priorities() const noexcept { return priorities_; }
  /// \brief Applies a new configuration; the recent requests stay counted.
  void SetPriorities(service_priorities priorities) { priorities_ = std::move(priorities); }

  /// \brief Counts a new request and decides what it may use.
  [[nodiscard]] priority_claim OnArrival(int priority,
                                         const admission_draws& draws,
                                         time_point now) noexcept;
  /// \brief Counts a request that is sent to an engine; not called for its further attempts.
  void OnAdmitted(int priority, time_point now) noexcept;
  /// \brief Whether several priorities have a considerable part of the recent arrivals. Otherwise a
  /// route that is hardly used would make all requests of the service yield to it.
  [[nodiscard]] bool HasCompetition(time_point now) const noexcept;
  /// \brief Returns the band of pass times in which requests of this priority are rejected.
  [[nodiscard]] pass_time_band PassTimeBand(int priority) const noexcept;

 private:
  /// Counts of one priority in one part of the sliding window.
  struct recent_counts {
    std::int64_t period = 0;
    int arrived = 0;
    int admitted = 0;
  };
  /// The window is longer than a stream runs, and shorter than the usual burst. At a 32nd of the
  /// normal load, it contains about six requests of the rarest priority.
  static constexpr std::size_t kWindowPeriods = 10;
  static constexpr milliseconds kPeriod{500};
  static constexpr std::size_t kPriorities = 10;

  [[nodiscard]] recent_counts& CountsAt(int priority, time_point now) noexcept;
  [[nodiscard]] recent_counts Sum(std::size_t priority, time_point now) const noexcept;
  /// \brief Whether less than half of the recent requests would be admitted without the next one.
  [[nodiscard]] bool IsShort(std::size_t priority, time_point now) const noexcept;

  service_priorities priorities_;
  std::array<std::array<recent_counts, kWindowPeriods>, kPriorities> windows_{};
};

/// \brief Sets the limit of an engine for one request, and from which load on its current load is
/// queried: below a low limit, reports are too old to keep gateways from exceeding it together.
void ApplyAllowance(const engine_allowance& allowance, placement_candidate& candidate) noexcept;

/// \brief Returns the time after which a request that was rejected may find capacity: until the
/// streams that run now have ended.
[[nodiscard]] milliseconds CapacityRetryAfter(const engine_profile& profile,
                                              nanoseconds pass_time) noexcept;

}  // namespace quincebank
