#pragma once

#include <atomic>
#include <boost/intrusive/list.hpp>
#include <functional>
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
#include "quincebank/net/memory_budget.h"
#include "quincebank/placement/crash_blame.h"
#include "quincebank/placement/duration_estimate.h"
#include "quincebank/placement/max_wait.h"
#include "quincebank/placement/priority_admission.h"
#include "quincebank/placement/queue_wait_estimator.h"
#include "quincebank/placement/stop_schedule.h"
#include "quincebank/placement/wait_queue.h"
#include "quincebank/placement/work_estimate.h"

namespace quincebank {

/// \brief This entry's share of the retry budget of one service.
struct retry_budget_share {
  double entries = 0;  ///< Number of entries among which the budget was divided.
  std::unique_ptr<retry_budget> budget;
};

/// \brief Queue of the requests of one service that wait for an upstream with free capacity.
struct service_queue {
  explicit service_queue(std::size_t capacity) : requests(capacity) {}

  wait_queue requests;
  queue_wait_estimator wait_estimator;
  /// Why the last search found no capacity, for requests behind the one that searches.
  capacity_outlook outlook;
  /// An upstream may have capacity, or another request is first.
  fiber_broadcast capacity_changed;
};

/// \brief Admission by priority to one service, under one version of the configuration.
struct service_admission {
  std::uint64_t config_version = 0;
  priority_admission decision;
};

/// \brief Request that is being handled.
class running_request : public boost::intrusive::list_base_hook<> {
 public:
  virtual ~running_request() = default;

  /// \brief Ends the request since the process is about to exit: its client gets an error, or a
  /// stream that is visibly incomplete.
  virtual void Abort() = 0;
  /// \brief Logs the request unless its end is logged: the exit of the process cuts it off.
  virtual void LogUnfinished() = 0;
};

/// \brief State shared by all requests. Used by the traffic thread only, except for `rules`,
/// `log`, `snapshots` and `metrics`, which are thread-safe.
struct gateway_context {
  gateway_context(const gateway_settings& process_settings,
                  const exchange_codec& http_codec,
                  event_log& process_log,
                  std::uint64_t seed);

  /// \brief Returns the retry budget of one service, after reducing this entry's share if the
  /// number of entries has grown.
  [[nodiscard]] retry_budget& RetryBudgetFor(const std::string& service);
  [[nodiscard]] service_queue& QueueFor(const std::string& service);
  /// \brief Wakes the queued requests of a service since an upstream may have free capacity.
  void NotifyCapacity(std::string_view service);
  /// \brief Returns the admission by priority to a service; null if its priorities do not differ.
  [[nodiscard]] priority_admission* AdmissionFor(const service_catalog& catalog,
                                                 const service_rule& service);
  /// \brief How long requests are rejected because one of their prompt segments crashes upstreams;
  /// 0 if they are not.
  [[nodiscard]] milliseconds BlockedTime(const std::vector<std::string>& segments);

  const gateway_settings& settings;
  rules_holder rules;
  const exchange_codec& codec;
  event_log& log;
  fleet_snapshot_holder snapshots;
  gateway_metrics metrics;
  random_source random;
  const time_point process_started = Now();
  load_watch* engine_loads = nullptr;  ///< Null until the service has started.
  http_client* http = nullptr;
  std::map<std::string, retry_budget_share, std::less<>> retry_budgets;
  std::map<std::string, service_queue, std::less<>> queues;
  std::map<std::string, service_admission, std::less<>> admissions;
  crash_blame crashes;
  /// How long the answered requests of each route took, by its name.
  std::map<std::string, duration_estimate, std::less<>> durations;
  work_estimate estimate;  ///< Costs of requests; used by placement policies other than `kCount`.
  stop_schedule stop;
  boost::intrusive::list<running_request> running;
  /// Passes a report of this entry on to the others; empty until the service has started.
  std::function<void(const crash_report&)> share_crash;
  std::size_t buffered_bytes = 0;  ///< Total size of responses that are buffered until complete.
  memory_budget& memory = memory_budget::OfProcess();
};

/// \brief HTTP handlers for the platform-specific endpoints of a deployment.
struct platform_handlers {
  http_handler readiness;
  http_handler directory;
};

/// \brief Entry process that forwards client requests to upstreams.
class gateway_service {
 public:
  gateway_service(const gateway_settings& settings,
                  const exchange_codec& http_codec,
                  event_log& log,
                  std::uint64_t seed);
  ~gateway_service();
  gateway_service(const gateway_service&) = delete;
  gateway_service& operator=(const gateway_service&) = delete;

  /// \brief Opens the listeners and starts the control loops.
  /// \returns An error if an address can't be bound or a loop can't be started.
  [[nodiscard]] result<void> Start(const platform_handlers& handlers,
                                   const record_codec& records,
                                   std::unique_ptr<shared_store> store,
                                   std::unique_ptr<engine_port> engines);
  /// \brief Applies changed limits. Changed addresses only take effect after a restart.
  void Reload(const gateway_settings& updated);
  /// \brief Withdraws from look-ups, serves clients that still cache the address as far as their
  /// requests can end in time, and waits for running requests. Returns when all have ended or the
  /// grace period is over; what still runs then is aborted.
  void Shutdown();

  /// \brief Whether this entry can serve clients: it has a configuration and is not shutting down.
  [[nodiscard]] bool Ready() const;
  /// \brief Returns the addresses of entries for a client in random order, those in the client's
  /// failure domain first.
  [[nodiscard]] std::vector<endpoint> Lookup(std::string_view failure_domain);
  /// \brief How long a client may cache the result of a look-up.
  [[nodiscard]] milliseconds lookup_ttl() const noexcept;
  /// \brief Returns the HTTP client of the control thread.
  [[nodiscard]] http_client& control_http() noexcept { return *control_http_; }

 private:
  /// \brief Listens on the traffic thread; does nothing if the port is 0.
  [[nodiscard]] result<void> Listen(const endpoint& address, const http_handler& handler);
  /// \brief Returns the HTTP limits for clients from the current configuration, or the defaults
  /// without one.
  [[nodiscard]] http_limits ClientHttpLimits() const;
  /// \param divisor  the server's part of the connections.
  [[nodiscard]] http_limits InternalHttpLimits(std::size_t divisor) const;
  void ServeMetrics(http_exchange& exchange);
  /// \brief Blocks until all client connections have ended, at most until `deadline`.
  void AwaitDrained(time_point deadline) const;
  void AbortRunning();
  /// \brief Logs the requests that the exit of the process cuts off, such as answers to clients
  /// that read slowly.
  void LogUnfinished();

  const gateway_settings& settings_;
  event_log& log_;
  gateway_context shared_;
  const std::uint64_t incarnation_;
  std::atomic<bool> leaving_{false};
  std::unique_ptr<shared_store> store_;
  rpc_server rpc_;
  fiber_thread control_thread_;
  fiber_thread traffic_thread_;
  std::unique_ptr<http_client> control_http_;
  std::unique_ptr<http_client> traffic_http_;
  std::unique_ptr<rpc_client> rpc_client_;
  std::unique_ptr<fleet_sync> fleet_sync_;
  std::unique_ptr<engine_port> engines_;
  std::unique_ptr<expert_rebalancer> rebalancer_;
  std::unique_ptr<observation_sharing> observation_sharing_;
  std::unique_ptr<load_watch> load_watch_;
  std::unique_ptr<http_server> client_server_;
  std::vector<std::unique_ptr<http_server>> internal_servers_;
};

}  // namespace quincebank
