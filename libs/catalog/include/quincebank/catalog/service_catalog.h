#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "quincebank/base/ref_counted.h"
#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Which requests may be sent again after an upstream may have run them.
enum class retry_rule : std::uint8_t {
  kSafe,    ///< Any request of the route.
  kUnsafe,  ///< None: at most one upstream runs a request.
  kStream,  ///< None, unless the stream may be resumed.
};

/// \brief Service that receives a share of the requests of a route, in proportion to its weight.
struct weighted_service {
  std::string service;
  std::uint32_t weight = 1;
};

/// \brief Route: selects requests by hostname and path, and sets how they are served.
struct route_rule {
  std::string name;
  std::string hostname;
  std::string path_prefix;  ///< Begins and ends with a slash.
  retry_rule retries = retry_rule::kUnsafe;
  milliseconds timeout{10'000};           ///< From the request to the last byte of the answer.
  milliseconds latency_objective{1'000};  ///< Until the answer, or the first event of a stream.
  milliseconds event_gap_objective{0};    ///< Between two events of a stream.
  int priority = 0;                       ///< 0 is the most urgent.
  std::vector<weighted_service> services;
  int max_attempts = 1;    ///< Maximum number of upstreams that run one request.
  bool anonymous = false;  ///< Requests need no API key.
  bool resumable = false;  ///< Another upstream may continue a stream after its last event.

  /// \brief Whether a request may be sent again after it may have run.
  [[nodiscard]] bool MayRetry() const noexcept {
    return retries == retry_rule::kSafe || (retries == retry_rule::kStream && resumable);
  }
};

/// \brief Performance and capacity of the engines of a model service, as configured by operators.
struct engine_profile {
  int batch_slots = 1;              ///< Requests that decode concurrently.
  std::int64_t memory_tokens = 0;   ///< Capacity in tokens of all running requests.
  double step_ms = 0;               ///< Duration of one decoding step without requests, in ms.
  double step_ms_per_request = 0;   ///< Added to a step by each running request, in ms.
  double prompt_tokens_per_ms = 1;  ///< Prompt processing speed.
  int tokens_per_event = 1;         ///< Decoding steps in one pass, which sends one event.
  double mean_answer_tokens = 0;    ///< Mean length of an answer; 0 if not configured.
  int expert_sets = 0;              ///< Sets of expert layers; 0 without expert parallelism.
  int experts_per_set = 0;
  int places_per_rank = 0;           ///< Capacity of a rank in experts of one set.
  int new_experts_per_plan = 0;      ///< Experts of one set loadable in addition to own ones.
  milliseconds expert_load_time{0};  ///< Time to load one expert of one set.
  milliseconds report_lag{0};        ///< Age of the values that engines report.
};

/// \brief Service: a set of interchangeable upstreams.
struct service_rule {
  std::string name;
  std::string health_path;
  int max_connections = 0;         ///< To each upstream, from all entries; 0: no limit.
  milliseconds cold_period{0};     ///< Time that an upstream is cold after its start.
  double cold_requests_per_s = 0;  ///< Rate limit of a cold upstream; 0: no limit.
  std::optional<engine_profile> engine;
};

/// \brief Limits on the requests and connections of clients.
struct client_limits {
  std::uint32_t header_bytes = 16U * 1024U;
  std::uint64_t body_bytes = 8ULL * 1024U * 1024U;
  milliseconds header_timeout{10'000};
  milliseconds idle_timeout{60'000};
};

/// \brief Workspace: owner of API keys.
struct workspace_rule {
  std::string name;
  std::vector<std::string> api_keys;
  std::optional<int> priority;  ///< Replaces the priority of the route.
};

/// \brief One version of the configuration. Immutable.
class service_catalog : public ref_counted<service_catalog> {
 public:
  service_catalog(std::uint64_t version,
                  std::vector<route_rule> routes,
                  std::vector<service_rule> services,
                  std::vector<workspace_rule> workspaces,
                  const client_limits& limits);
  service_catalog(const service_catalog&) = delete;
  service_catalog& operator=(const service_catalog&) = delete;

  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
  [[nodiscard]] const std::vector<route_rule>& routes() const noexcept { return routes_; }
  [[nodiscard]] const std::vector<service_rule>& services() const noexcept { return services_; }
  [[nodiscard]] const std::vector<workspace_rule>& workspaces() const noexcept {
    return workspaces_;
  }
  [[nodiscard]] const client_limits& limits() const noexcept { return limits_; }
  /// \brief Whether there are workspaces, so that requests to routes that are not anonymous need an
  /// API key.
  [[nodiscard]] bool HasWorkspaces() const noexcept { return !workspaces_.empty(); }

  /// \brief Returns the route of the host with the longest matching path prefix.
  /// \param host  value of the Host header; case and port are ignored.
  /// \param path  path without the query.
  /// \returns Null if no route matches.
  [[nodiscard]] const route_rule* FindRoute(std::string_view host,
                                            std::string_view path) const noexcept;
  /// \brief Returns the service of this name; null if there is none.
  [[nodiscard]] const service_rule* FindService(std::string_view name) const noexcept;
  /// \brief Returns the workspace that the API key belongs to; null if there is none.
  [[nodiscard]] const workspace_rule* FindWorkspace(std::string_view api_key) const;

 private:
  const std::uint64_t version_;
  const std::vector<route_rule> routes_;
  const std::vector<service_rule> services_;
  const std::vector<workspace_rule> workspaces_;
  const client_limits limits_;
  std::unordered_map<std::string_view, const workspace_rule*> by_key_;
  /// Routes of each hostname, longest prefix first.
  std::unordered_map<std::string, std::vector<const route_rule*>> by_host_;
};

/// \brief Chooses one of the services of a route by weight.
/// \param route  route with at least one service.
/// \param draw  uniformly distributed random number in [0, 1).
[[nodiscard]] const std::string& PickService(const route_rule& route, double draw) noexcept;

}  // namespace quincebank
