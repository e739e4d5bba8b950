#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "quincebank/admission/settings.h"
#include "quincebank/base/ids.h"
#include "quincebank/base/time.h"
#include "quincebank/idempotency/attempt_ledger.h"
#include "quincebank/messages/agent_load.h"
#include "quincebank/net/endpoint.h"
#include "quincebank/net/net_fwd.h"
#include "quincebank/node/node_control.h"
#include "quincebank/rpc/rpc_server.h"

namespace quincebank {

/// \brief What an agent takes from the configuration about its upstream.
struct upstream_settings {
  endpoint upstream;
  admission_settings admission;
  milliseconds connect_timeout{500};
  milliseconds first_byte_timeout{10'000};
  seconds claim_retention = kKeyRetention;  ///< Of its service.
  milliseconds silence_timeout{60'000};     ///< Between two reads of the upstream's answer.
  /// Its answers are streams of tokens, whose pace shows how loaded it is.
  bool streams_tokens = false;
  /// A longer time between tokens counts as slow; callers are promised 75 ms for 95 in 100.
  milliseconds good_token_interval{75};
  /// Short against the shortest restart of an upstream, so that one between two requests is seen.
  milliseconds probe_interval{100};
};

/// \brief Share of one workspace, as the configuration gives it.
struct workspace_rank {
  std::uint32_t weight = 1;
  std::uint8_t priority = 5;
};

/// \brief Reads the configuration for the agent; called on its traffic thread.
class agent_directory {
 public:
  virtual ~agent_directory() = default;
  [[nodiscard]] virtual workspace_rank RankOf(std::string_view workspace) const = 0;
  [[nodiscard]] virtual std::uint64_t version() const = 0;
};

/// \brief Sole authority on one upstream: what it can bear, and which attempts it has seen.
///
/// All state belongs to the traffic thread; the methods may be called from any thread.
class agent_service {
 public:
  /// \param traffic  thread that serves the agent's HTTP requests; must outlive the service.
  agent_service(fiber_thread& traffic,
                incarnation self,
                const upstream_settings& settings,
                const ledger_limits& limits);
  ~agent_service();
  agent_service(const agent_service&) = delete;
  agent_service& operator=(const agent_service&) = delete;

  /// \brief Answers `/attempt/...` and `/attempts/<id>`. Called by fibers of the traffic thread.
  void Handle(http_exchange& exchange);
  /// \brief Adds `agent.status`, `agent.attempt_status`, `agent.block_attempt` and
  /// `agent.cancel_attempt`.
  void AddMethods(rpc_server& rpc);

  void SetDirectory(std::shared_ptr<const agent_directory> directory);
  /// \brief Changes the upstream's address, limits or timeouts.
  void SetUpstream(const upstream_settings& settings);
  /// \brief Whether the upstream's failure domain is out of service.
  void SetDraining(bool draining);
  /// \brief Takes no new attempt from now on; running ones go on.
  void SetLeaving();
  [[nodiscard]] agent_load Load();
  /// \brief Like `Load`, for fibers of the traffic thread.
  [[nodiscard]] agent_load LoadHere() const;
  /// \brief Text exposition of the agent's metrics, for fibers of the traffic thread.
  [[nodiscard]] std::string MetricsHere(const control_bytes& bytes);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace quincebank
