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

/// \brief What may be repeated after a request may have run.
enum class repeat_rule : std::uint8_t {
  kSafe,    ///< Any request of the route.
  kUnsafe,  ///< Nothing: at most one upstream runs the request.
  kStream,  ///< Nothing, unless the stream may be resumed.
};

/// \brief Service that gets a share of a route's requests.
struct weighted_service {
  std::string service;
  std::uint32_t weight = 1;
};

struct route_rule {
  std::string name;
  std::string hostname;
  std::string path_prefix;  ///< Begins and ends with a slash.
  repeat_rule repeats = repeat_rule::kUnsafe;
  milliseconds timeout{10'000};           ///< Longest time from the request to its last byte.
  milliseconds latency_objective{1'000};  ///< To the answer, or to a stream's first event.
  milliseconds event_gap_objective{0};    ///< Between events of a stream.
  int priority = 0;                       ///< 0 is the most urgent.
  std::vector<weighted_service> services;
  int max_attempts = 1;    ///< Upstreams that may run one request.
  bool anonymous = false;  ///< Needs no API key.
  bool resumable = false;  ///< A stream may go on at another upstream after its last event.

  /// \brief Whether a request may be sent again after it may have run.
  [[nodiscard]] bool MayRepeat() const noexcept {
    return repeats == repeat_rule::kSafe || (repeats == repeat_rule::kStream && resumable);
  }
};

/// \brief How the engines of a model service work, as their operators state it.
struct engine_profile {
  int batch_slots = 1;              ///< Requests that decode at once.
  std::int64_t memory_tokens = 0;   ///< Tokens of all running requests together.
  double step_ms = 0;               ///< One decoding step.
  double step_ms_per_request = 0;   ///< Added for each running request.
  double prompt_tokens_per_ms = 1;  ///< Speed of reading prompts.
  int tokens_per_event = 1;         ///< Decoding steps of one pass.
  double mean_answer_tokens = 0;    ///< Mean length of an answer; 0 if not stated.
  int expert_sets = 0;              ///< Sets of layers with experts; 0 without expert parallelism.
  int experts_per_set = 0;
  int places_per_rank = 0;           ///< Experts of one set that a rank can hold.
  int new_experts_per_plan = 0;      ///< Experts of one set that a rank can load beside its own.
  milliseconds expert_load_time{0};  ///< For one expert of one set.
  milliseconds report_lag{0};        ///< Age of what the engines report.
};

struct service_rule {
  std::string name;
  std::string health_path;
  int max_connections = 0;         ///< For each upstream, from all entries together; 0: no bound.
  milliseconds cold_period{0};     ///< After its start an upstream is cold for this time.
  double cold_requests_per_s = 0;  ///< What a cold upstream can take; 0: no bound.
  std::optional<engine_profile> engine;
};

/// \brief Bounds on what a client may send.
struct client_limits {
  std::uint32_t header_bytes = 16U * 1024U;
  std::uint64_t body_bytes = 8ULL * 1024U * 1024U;
  milliseconds header_timeout{10'000};
  milliseconds idle_timeout{60'000};
};

struct workspace_rule {
  std::string name;
  std::vector<std::string> api_keys;
  std::optional<int> priority;  ///< Replaces the priority of the route.
};

/// \brief One version of the operators' configuration. Immutable once built.
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
  [[nodiscard]] const client_limits& limits() const noexcept { return limits_; }
  /// \brief Whether requests need an API key.
  [[nodiscard]] bool HasWorkspaces() const noexcept { return !workspaces_.empty(); }

  /// \brief Returns the route with the longest prefix of the path; null if none fits.
  /// \param host  value of the Host field; its port is ignored.
  /// \param path  path without query.
  [[nodiscard]] const route_rule* FindRoute(std::string_view host,
                                            std::string_view path) const noexcept;
  [[nodiscard]] const service_rule* FindService(std::string_view name) const noexcept;
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

/// \brief Chooses one of a route's services by weight.
/// \param draw  uniform in [0, 1).
[[nodiscard]] const std::string& PickService(const route_rule& route, double draw) noexcept;

}  // namespace quincebank
