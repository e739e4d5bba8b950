#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/net/endpoint.h"

namespace quincebank {

/// \brief Bounds that the operators set. They may change while the process runs.
struct gateway_rules {
  double cold_factor = 1;              ///< Tolerance on the rate of a cold upstream.
  double cold_allowance = 0;           ///< Requests that a cold upstream takes beyond it.
  double retry_ratio = 0.1;            ///< Repeats per request, over all entries.
  double retry_allowance = 0;          ///< Repeats beyond it, over all entries.
  milliseconds stop_grace{8'000};      ///< From SIGTERM to the kill.
  milliseconds max_lookup_ttl{5'000};  ///< Longest time that clients keep a looked-up address.
  milliseconds engine_stall_time{
      1'500};  ///< After this time without a rank a group gives up its work.

  [[nodiscard]] bool operator==(const gateway_rules&) const = default;
};

/// \brief Hands the bounds in force from the thread that reads the settings to the others.
class rules_holder {
 public:
  explicit rules_holder(const gateway_rules& rules) : rules_(rules) {}

  void Set(const gateway_rules& rules) {
    const std::lock_guard lock(mutex_);
    rules_ = rules;
  }
  [[nodiscard]] gateway_rules Get() const {
    const std::lock_guard lock(mutex_);
    return rules_;
  }

 private:
  mutable std::mutex mutex_;
  gateway_rules rules_;
};

/// \brief Settings of a gateway process.
struct gateway_settings {
  std::string name;
  std::string failure_domain;
  std::string region;
  double cores = 0;  ///< Processor time of the host, in cores; 0 if unknown.

  endpoint clients;        ///< Requests of clients.
  endpoint readiness;      ///< Health checks of the platform.
  endpoint directory;      ///< Look-ups of entry addresses.
  endpoint peers;          ///< Other entries.
  endpoint announcements;  ///< News of the store from other entries; port 0: this entry gets none.
  endpoint metrics;
  endpoint store;

  gateway_rules rules;

  milliseconds store_timeout{600};          ///< For each call, beside a watch's own wait.
  milliseconds engine_timeout{400};         ///< For each report, count or order.
  milliseconds max_engine_report_age{300};  ///< Age of what engines tell other hosts.
  std::uint16_t agent_port = 0;             ///< Of the agents beside engines; 0 if there are none.
  milliseconds max_watch_wait{10'000};      ///< Longest blocking watch.
  milliseconds peer_poll_interval{
      500};                   ///< Between reads from peers while the store does not answer.
  milliseconds lease{3'000};  ///< Of this entry's registration.
  /// Of the coordinator's role: a pass that a frozen coordinator holds waits until it has ended.
  milliseconds coordinator_lease{1'000};
  /// Requests of one service that may wait for room at the same time: more than can be served
  /// within half a latency objective.
  std::size_t max_waiting_requests = 256;
  /// Longest answer of a plain service; it is held until it is known to be complete.
  std::size_t max_response_bytes = std::size_t{4} * 1024 * 1024;
  /// Answers held at the same time, all together: a part of the smallest host's memory.
  std::size_t max_buffered_bytes = std::size_t{48} * 1024 * 1024;
  /// Longest event of a stream: thousands of times a usual one.
  std::size_t max_event_bytes = std::size_t{256} * 1024;
  std::size_t max_log_lines = 2'000;  ///< Most log lines that wait for their reader.
};

/// \brief Reads and checks a settings file (JSON with comments).
/// \returns The settings, or all errors, each with its path.
[[nodiscard]] result<gateway_settings> ParseGatewaySettings(std::string_view text);

}  // namespace quincebank
