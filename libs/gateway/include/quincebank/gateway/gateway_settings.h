#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/base/parsed_settings.h"
#include "quincebank/base/time.h"
#include "quincebank/net/endpoint.h"
#include "quincebank/net/process_limits.h"
#include "quincebank/placement/placement_policy.h"

namespace quincebank {

/// \brief Limits set by the operators. They can be reloaded while the process runs.
struct gateway_rules {
  double cold_factor = 1;          ///< Factor on the configured request rate of a cold upstream.
  double cold_allowance = 0;       ///< Requests per second added to that rate.
  double retry_ratio = 0.1;        ///< Retries per request, over all entries.
  double retry_allowance = 0;      ///< Retries beyond the ratio, over all entries.
  milliseconds stop_grace{8'000};  ///< Time from SIGTERM to SIGKILL.
  /// Upper limit on how long clients cache a looked-up address.
  milliseconds max_lookup_ttl{5'000};
  /// Time after which a group that lost a rank abandons its work.
  milliseconds engine_stall_time{1'500};

  [[nodiscard]] bool operator==(const gateway_rules&) const = default;
};

/// \brief Passes the current limits from the thread that reads the settings to the others.
/// Thread-safe.
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
  double cores = 0;  ///< Processor cores of the host; 0 if unknown.

  endpoint clients;    ///< Listening address for client requests.
  endpoint readiness;  ///< Readiness checks of the platform; not served with port 0.
  endpoint directory;  ///< Look-ups of entry addresses.
  endpoint peers;      ///< Calls of other entries over TCP, and load reports of agents over UDP.
  /// Announcements of store revisions by other entries; with port 0 it receives none.
  endpoint announcements;
  endpoint metrics;
  endpoint store;  ///< Address of the shared store.

  gateway_rules rules;
  /// How upstreams are compared. Takes effect with a restart.
  placement_policy policy = placement_policy::kCount;
  process_limits limits;  ///< Of the host.

  milliseconds store_timeout{600};   ///< For each call; the wait of a watch is added.
  milliseconds engine_timeout{400};  ///< For each call to an engine.
  /// Upper limit on the age of reports that engines send to other hosts.
  milliseconds max_engine_report_age{300};
  std::uint16_t agent_port = 0;  ///< Of the agents on engine hosts; 0 if there are none.
  /// Upper limit on the wait of one watch call. A watch that does not return by then shows that its
  /// connection has gone silent, so this bounds the age of the view.
  milliseconds max_watch_wait{1'000};
  /// Interval of reads from peers while the store does not answer.
  milliseconds peer_poll_interval{500};
  milliseconds lease{3'000};  ///< Lifetime of this entry's registration in the store.
  /// Lifetime of the coordinator role. If the coordinator freezes while it holds back a pass of a
  /// group, the pass stays blocked until this lease ends.
  milliseconds coordinator_lease{1'000};
  /// Upper limit on the queued requests of one service: more than can be served within half a
  /// latency objective.
  std::size_t max_waiting_requests = 256;
  /// Largest response that is not streamed; it is buffered until it is complete.
  std::size_t max_response_bytes = std::size_t{4} * 1024 * 1024;
  /// Upper limit on the bytes of all buffered responses: a part of the smallest host's memory.
  std::size_t max_buffered_bytes = std::size_t{48} * 1024 * 1024;
  /// Largest event of a stream: thousands of times the usual size.
  std::size_t max_event_bytes = std::size_t{256} * 1024;
  /// Upper limit on buffered log lines that are not yet written.
  std::size_t max_log_lines = 2'000;
};

/// \brief Parses and validates a settings file (JSON with comments).
///
/// A value that cannot be used is reported, and the other ones are used: the platform starts an
/// ended process again with the same file, so that one figure would keep the gateway down.
///
/// \param running  settings of the running process, whose values take the place of unusable ones;
/// if null, the defaults do.
/// \returns The settings, or all errors, each with the path of the invalid value, if the name or an
/// address without which the gateway cannot work is missing.
[[nodiscard]] result<parsed_settings<gateway_settings>> ParseGatewaySettings(
    std::string_view text,
    const gateway_settings* running = nullptr);

}  // namespace quincebank
