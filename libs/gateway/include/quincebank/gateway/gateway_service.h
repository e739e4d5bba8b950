#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/admission/retry_budget.h"
#include "quincebank/base/clock.h"
#include "quincebank/base/event_log.h"
#include "quincebank/base/random.h"
#include "quincebank/gateway/exchange_codec.h"
#include "quincebank/gateway/expert_rebalancer.h"
#include "quincebank/gateway/fleet_snapshot.h"
#include "quincebank/gateway/fleet_sync.h"
#include "quincebank/gateway/gateway_metrics.h"
#include "quincebank/gateway/gateway_settings.h"
#include "quincebank/gateway/load_watch.h"
#include "quincebank/net/fiber_event.h"
#include "quincebank/net/http_client.h"
#include "quincebank/net/http_server.h"
#include "quincebank/placement/turn_pace.h"
#include "quincebank/placement/waiting_line.h"

namespace quincebank {

/// \brief This entry's share of the repeats that a service bears from all entries.
struct repeat_share {
  double entries = 0;  ///< Entries among which the budget was divided.
  std::unique_ptr<retry_budget> budget;
};

/// \brief Requests of one service that wait for an upstream with room.
struct service_line {
  explicit service_line(std::size_t capacity) : line(capacity) {}

  waiting_line line;
  turn_pace pace;
  fiber_broadcast changed;  ///< An upstream may have room, or a turn has passed on.
};

/// \brief What the handling of requests shares. Used by the traffic thread, but for the snapshots.
struct gateway_shared {
  gateway_shared(const gateway_settings& process,
                 const exchange_codec& exchanges,
                 event_log& lines,
                 std::uint64_t seed);

  /// \brief Budget of repeats of one service; divided anew when there are more entries.
  [[nodiscard]] retry_budget& RepeatsOf(const std::string& service);
  [[nodiscard]] service_line& LineOf(const std::string& service);
  /// \brief Wakes the requests that wait; an upstream of the service may have room.
  void OnRoom(std::string_view service);

  const gateway_settings& settings;
  rules_box rules;
  const exchange_codec& codec;
  event_log& log;
  fleet_snapshot_box snapshots;
  gateway_metrics metrics;
  random_source random;
  const time_point process_started = Now();
  load_watch* loads = nullptr;  ///< Null if engines have no agents.
  http_client* http = nullptr;
  std::map<std::string, repeat_share, std::less<>> repeats;
  std::map<std::string, service_line, std::less<>> lines;
  std::size_t held_bytes = 0;  ///< Of answers that are not known to be complete yet.
};

/// \brief Handlers for the calls of one deployment's platform.
struct platform_handlers {
  http_handler readiness;
  http_handler directory;
};

/// \brief Entry process that sends requests to upstreams itself.
class gateway_service {
 public:
  gateway_service(const gateway_settings& settings,
                  const exchange_codec& exchanges,
                  event_log& log,
                  std::uint64_t seed);
  ~gateway_service();
  gateway_service(const gateway_service&) = delete;
  gateway_service& operator=(const gateway_service&) = delete;

  /// \brief Starts the control loops and listens.
  [[nodiscard]] result<void> Start(const platform_handlers& handlers,
                                   const record_codec& records,
                                   std::unique_ptr<shared_store> store,
                                   std::unique_ptr<engine_port> engines);
  /// \brief Puts changed bounds in force; addresses need a new process.
  void Reload(const gateway_settings& changed);
  /// \brief Leaves the look-ups, serves clients that still hold the address, and waits for running
  /// requests. Returns when all have ended or the grace period is over.
  void Shutdown();

  /// \brief Whether clients should come here.
  [[nodiscard]] bool Ready() const;
  /// \brief Addresses for a client, in random order, those of its failure domain first.
  [[nodiscard]] std::vector<endpoint> Lookup(std::string_view failure_domain);
  /// \brief How long a client may keep a look-up.
  [[nodiscard]] milliseconds lookup_ttl() const noexcept;
  /// \brief HTTP client of the control thread.
  [[nodiscard]] http_client& control_http() noexcept { return *control_http_; }

 private:
  [[nodiscard]] result<void> Listen(const endpoint& address, const http_handler& handler);
  /// \brief What the operators' configuration lets clients send.
  [[nodiscard]] http_limits LimitsOfClients() const;
  void ServeMetrics(http_exchange& exchange);

  const gateway_settings& settings_;
  event_log& log_;
  gateway_shared shared_;
  const std::uint64_t incarnation_;
  std::atomic<bool> leaving_{false};
  std::unique_ptr<shared_store> store_;
  rpc_server rpc_;
  fiber_thread control_;
  fiber_thread traffic_;
  std::unique_ptr<http_client> control_http_;
  std::unique_ptr<http_client> traffic_http_;
  std::unique_ptr<rpc_client> rpc_client_;
  std::unique_ptr<fleet_sync> sync_;
  std::unique_ptr<engine_port> engines_;
  std::unique_ptr<expert_rebalancer> rebalancer_;
  std::unique_ptr<load_watch> loads_;
  std::unique_ptr<http_server> clients_;
  std::vector<std::unique_ptr<http_server>> servers_;
};

}  // namespace quincebank
