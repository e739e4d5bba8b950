#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/random.h"
#include "quincebank/routing/routing.h"

namespace quincebank {

/// Virtual time since the start of a run.
using sim_time = std::chrono::microseconds;

/// \brief Stand-in for a model engine with continuous batching and a limited prefix cache.
struct engine_model {
  std::uint32_t limit = 48;           ///< Requests that run at once.
  std::uint32_t queue = 24;           ///< Requests that wait at the agent; more are rejected.
  std::uint32_t cache_blocks = 1500;  ///< Least recently used blocks are evicted.
  sim_time block_prefill{20'000};     ///< Prompts are computed one after the other.
  sim_time step{25'000};              ///< Time between tokens with an empty batch.
  sim_time step_per_request{600};     ///< Added time between tokens for each running request.
  std::uint32_t cold_limit = 4;       ///< Limit after a start; it doubles in each `cold_step`.
  sim_time cold_step{8'000'000};
  std::uint32_t cold_slowdown = 2;  ///< Factor on prefill time while cold.
};

/// \brief Conversations whose prompts start with a template of their workspace and grow each turn.
struct workload_model {
  std::uint32_t workspaces = 10;
  bool few_large = true;  ///< Three workspaces make up 70%; otherwise popularity is 1/rank.
  double requests_per_second = 48;
  double mean_turns = 3;
  sim_time mean_think{10'000'000};
  std::uint32_t mean_tokens = 204;
  milliseconds deadline{5'000};  ///< For the first token.
};

/// \brief How entries learn of load and cache contents.
struct feed_model {
  sim_time report_every{500'000};       ///< Engines refresh the load they report this often.
  std::uint32_t polls_per_second = 16;  ///< Agents polled by each entry.
  bool cache_events = false;
  sim_time event_batch{500'000};
  sim_time event_lag{1'000'000};
  std::uint32_t event_loss_percent = 2;
  std::size_t index_blocks = 65'536;
  bool note_served = false;  ///< Entries remember which upstream computed a prompt for them.
};

/// \brief Change of one failure domain.
struct domain_event {
  enum class kind : std::uint8_t { kDrain, kLose, kReturn };

  sim_time at{0};
  kind what = kind::kDrain;
  std::uint32_t domain = 0;
};

/// \brief Span of virtual time over which results are summed, by the arrival of requests.
struct sim_phase {
  std::string_view name;
  sim_time begin{0};
  sim_time end{0};
};

struct sim_config {
  std::string_view policy = kDefaultRoutePolicy;
  std::string_view model_version = "m1";
  std::uint32_t replicas = 16;
  std::uint32_t entries = 8;
  std::uint32_t domains = 3;  ///< In all; they are split evenly between the regions.
  std::uint32_t regions = 1;
  sim_time domain_latency{1'000};
  sim_time region_latency{30'000};
  engine_model engine;
  workload_model workload;
  feed_model feed;
  route_settings settings;
  sim_time client_latency{0};  ///< One way between callers and entries.
  bool correct_load = true;    ///< Entries add their own requests to the last hint.
  bool use_prefix = true;      ///< Decisions see the prompt.
  bool repeatable = true;      ///< Requests cut off by a lost upstream are run again.
  bool tell_entries = true;    ///< Entries learn of drains; otherwise only agents reject.
  bool suspect = true;         ///< Entries avoid an upstream after a failed connection.
  std::vector<domain_event> changes;
  std::vector<sim_phase> phases;
  sim_time end{150'000'000};
  std::uint64_t seed = 1;
};

/// \brief Sums over one phase.
struct phase_result {
  std::uint64_t requests = 0;
  std::uint64_t succeeded = 0;  ///< First token within the deadline, and the whole answer.
  std::uint64_t rejected = 0;   ///< No upstream took the request.
  std::uint64_t late = 0;       ///< Answered, but the first token missed the deadline.
  std::uint64_t hops = 0;       ///< "Not run" rejections by agents and failed connections.
  std::uint64_t reruns = 0;     ///< Answers cut off by a lost upstream and computed again.
  std::uint64_t unknown = 0;    ///< Cut off and not repeatable: they may have run.
  std::uint64_t blocks = 0;
  std::uint64_t cached_blocks = 0;
  double imbalance = 0;  ///< Mean over time of the highest load over the mean load.
  double burst = 0;      ///< Mean over 0.5 s windows of the most arrivals over the mean arrivals.
  std::vector<std::uint32_t> first_token_us;

  /// \brief Adds the sums of a run with another seed.
  void Add(const phase_result& other);
  /// \returns The quantile of the time to the first token, in milliseconds.
  [[nodiscard]] double FirstTokenMs(double quantile) const;
};

struct sim_result {
  std::vector<phase_result> phases;
  double event_bytes_per_second = 0;  ///< Cache events received by each entry, 8 bytes a block.
};

/// \brief Runs one simulation with the real decision code.
[[nodiscard]] sim_result Simulate(const sim_config& config);

}  // namespace quincebank
