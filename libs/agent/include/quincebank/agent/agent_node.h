#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/agent/agent_service.h"
#include "quincebank/expert_group/expert_group_service.h"
#include "quincebank/net/fiber_thread.h"
#include "quincebank/net/http_server.h"
#include "quincebank/node/node_control.h"
#include "quincebank/rpc/rpc_server.h"

namespace quincebank {

/// \brief Settings of an agent.
struct agent_settings {
  node_settings node;
  std::string upstream;                 ///< Name of its upstream in the configuration.
  milliseconds shutdown_linger{2'000};  ///< Held answers can still be fetched this long.
  /// At all limits at once, the ledger takes about 35 MB; with the configuration of 50,000
  /// workspaces the agent stays below 64 MB.
  ledger_limits ledger{.max_records = 30'000, .max_total_bytes = std::size_t{12} << 20U};
};

/// \brief Reads and checks the settings file of an agent.
[[nodiscard]] result<agent_settings> ParseAgentSettings(std::string_view text);

/// \brief The agent process: configuration, the agent of one upstream, and its HTTP server.
class agent_node {
 public:
  agent_node(const agent_settings& settings, fiber_thread& control, incarnation self);
  ~agent_node();
  agent_node(const agent_node&) = delete;
  agent_node& operator=(const agent_node&) = delete;

  /// \brief Starts the control loops and listens.
  [[nodiscard]] result<void> Start();
  /// \brief Refuses new attempts and waits until the running ones have ended.
  void Shutdown();

 private:
  void Handle(http_exchange& exchange);
  void OnConfig(const ref_ptr<const effective_config>& config);
  void OnHosts(const std::vector<host_entry>& hosts);
  /// Refuses new attempts while the failure domain is out or the host list says that the host
  /// leaves.
  void UpdateDraining();

  const agent_settings settings_;
  fiber_thread traffic_{"traffic"};
  node_control node_;
  agent_service agent_;
  expert_group_service experts_;
  rpc_server rpc_;
  std::unique_ptr<http_server> server_;
  // Both belong to the control thread.
  bool drained_ = true;
  bool listed_leaving_ = false;
  std::atomic<bool> known_{false};  ///< The configuration names the upstream.
  std::atomic<bool> leaving_{false};
};

}  // namespace quincebank
