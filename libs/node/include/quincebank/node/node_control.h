#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "quincebank/base/record.h"
#include "quincebank/config/effective_config.h"
#include "quincebank/config/holder.h"
#include "quincebank/membership/config_exchange.h"
#include "quincebank/net/fiber_thread.h"
#include "quincebank/net/http_client.h"
#include "quincebank/node/node_settings.h"
#include "quincebank/platform/host_list.h"
#include "quincebank/platform/kv_store.h"
#include "quincebank/rpc/rpc_client.h"
#include "quincebank/rpc/rpc_server.h"
#include "quincebank/telemetry/metrics.h"

namespace quincebank {

/// \brief Bytes of control messages, headers included, since the start.
struct control_bytes {
  std::uint64_t peers = 0;     ///< With entries and agents.
  std::uint64_t platform = 0;  ///< With the key-value service and the host list.
};

/// \brief Adds the gauges of both counts to a registry, or sets them.
void SetControlGauges(metrics_registry& metrics, const control_bytes& bytes);

/// \brief Control state of a process: configuration, host list and the exchange with peers.
///
/// All of it runs on one control thread. Other threads read immutable snapshots.
class node_control {
 public:
  /// Called on the control thread.
  struct observers {
    std::function<void(const ref_ptr<const effective_config>&)> on_config;
    std::function<void(const std::vector<host_entry>&)> on_hosts;
  };

  node_control(fiber_thread& control, const node_settings& settings, peer_role role);
  ~node_control();
  node_control(const node_control&) = delete;
  node_control& operator=(const node_control&) = delete;

  /// \brief Starts the exchange and the host list's polls.
  void Start(observers callbacks);
  /// \brief Ends both; waits until their fibers have returned.
  void Stop();
  /// \brief Adds `config.root`, `config.section`, `config.offer` and `config.status`.
  void AddMethods(rpc_server& rpc);

  /// \brief Returns the configuration in force, or null. May be called from any thread.
  [[nodiscard]] ref_ptr<const effective_config> config() const;

  /// \brief Bytes of control messages that this node has exchanged as a client.
  [[nodiscard]] control_bytes bytes() const noexcept {
    return {http_.bytes_moved(), platform_http_.bytes_moved()};
  }

  // For code on the control thread.
  /// \brief Whether a configuration is in force and known to be recent.
  [[nodiscard]] holder_status StatusHere() const;
  [[nodiscard]] fiber_thread& thread() noexcept { return control_; }
  [[nodiscard]] http_client& http() noexcept { return http_; }
  [[nodiscard]] kv_store& kv() noexcept { return *kv_; }
  /// \brief Runs a task in a fiber that `Stop` waits for.
  void SpawnTracked(std::function<void()> task);
  /// \brief The same for a task that is meant to go on until the node stops; begins it anew after
  /// an exception.
  void SpawnTrackedLoop(std::string what, std::function<void()> task);
  /// \brief Suspends the fiber. \returns True if the node stops.
  bool WaitOrStop(milliseconds duration) { return stop_.WaitFor(duration); }

 private:
  void ExchangeLoop();
  void HostListLoop();
  void RunDue();
  void Run(const exchange_action& action);
  void AskPeer(const exchange_action& action);
  void FetchFromPeer(const exchange_action& action);
  void FetchFromService(const exchange_action& action);
  void ReadRoot(const exchange_action& action);
  void OnHosts(const std::vector<host_entry>& hosts);
  void PublishConfig();
  [[nodiscard]] result<boost::json::value> Offer(const boost::json::object& params);

  fiber_thread& control_;
  const node_settings settings_;
  http_client http_;           ///< To peers and agents.
  http_client platform_http_;  ///< To the key-value service and the host list.
  rpc_client rpc_;
  std::unique_ptr<kv_store> kv_;
  std::unique_ptr<host_list> host_list_;
  config_holder holder_;
  config_exchange exchange_;
  observers observers_;
  std::vector<host_entry> hosts_;
  stop_signal stop_;
  std::atomic<int> fibers_{0};
  mutable std::mutex config_mutex_;
  ref_ptr<const effective_config> config_;
};

}  // namespace quincebank
