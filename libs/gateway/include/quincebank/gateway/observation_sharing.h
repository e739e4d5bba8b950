#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/event_log.h"
#include "quincebank/base/random.h"
#include "quincebank/gateway/fleet_snapshot.h"
#include "quincebank/gateway/gateway_metrics.h"
#include "quincebank/placement/upstream_observations.h"

namespace quincebank {

/// \brief Returns the part of its interval after which this entry first sends under a stated limit.
/// \param random  number from 0 to 1.
[[nodiscard]] double LimitPhaseOf(const fleet_snapshot& snapshot,
                                  std::string_view entry,
                                  std::string_view upstream,
                                  double random);

/// \brief Sends what this entry observes of upstreams to the agents beside them, and applies what
/// the agents pass on of the others. Used by the traffic thread only.
class observation_sharing {
 public:
  /// Sends an observation to the agent of an upstream; returns whether it was handed over.
  using sender = std::function<bool(const upstream_record& upstream, std::string_view payload)>;

  /// \param entry  name of this entry.
  observation_sharing(std::string entry,
                      event_log& log,
                      gateway_metrics& metrics,
                      std::uint64_t seed);

  /// \brief The agent of an upstream has sent a load.
  /// \param upstreams  all upstreams of the service.
  /// \param summary  what the entries report; nothing if nothing is reported, or by agents of older
  /// versions.
  void OnReport(const fleet_snapshot& snapshot,
                std::span<const known_upstream> upstreams,
                const known_upstream& upstream,
                const std::optional<observation_summary>& summary,
                time_point now);
  /// \brief Sends the observations that are due, and ends what others report no longer.
  void SendDue(const fleet_snapshot& snapshot, const sender& send, time_point now);

 private:
  /// Upstream that this entry avoids because of others.
  struct avoidance {
    time_point since;
    // Inputs of the last decision.
    report_decision last = report_decision::kAccepted;
    std::optional<observation_summary> summary;
    service_upstreams service;
  };

  /// \brief Logs that an avoidance begins or ends, with the inputs of the last decision.
  void LogAvoidance(std::string_view event,
                    const known_upstream& upstream,
                    const avoidance& avoided,
                    time_point now);
  /// \brief Follows or ends the stated limit that others report.
  void ApplyLimit(const fleet_snapshot& snapshot, const known_upstream& upstream, time_point now);

  const std::string entry_;
  event_log& log_;
  gateway_metrics& metrics_;
  random_source random_;
  std::map<std::string, avoidance, std::less<>> avoided_;  ///< By id of the upstream.
};

}  // namespace quincebank
