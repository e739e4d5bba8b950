#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include "quincebank/base/event_log.h"
#include "quincebank/expert_control/load_messages.h"
#include "quincebank/gateway/fleet_snapshot.h"
#include "quincebank/gateway/observation_sharing.h"
#include "quincebank/net/datagram_socket.h"
#include "quincebank/net/fiber_event.h"
#include "quincebank/net/fiber_thread.h"

namespace quincebank {

/// \brief Subscribes to load reports of the engines to which this entry may send, from the agents
/// on their hosts. Runs on the traffic thread.
///
/// An entry knows only its own requests; with many entries, most of an engine's load comes from the
/// others. Load reports are hints: datagrams may be lost, and outdated reports are ignored.
class load_watch {
 public:
  /// \param agent_port  UDP port of the agents; 0 if there are none, which disables the watch.
  /// \param on_load  called with the name of an engine's service whenever it reports its load.
  /// \param sharing  sends and applies observations of engines; null to share none.
  load_watch(const fleet_snapshot_holder& snapshots,
             std::uint16_t agent_port,
             event_log& log,
             std::function<void(const std::string&)> on_load,
             observation_sharing* sharing = nullptr);
  ~load_watch();
  load_watch(const load_watch&) = delete;
  load_watch& operator=(const load_watch&) = delete;

  /// \brief Binds the socket and starts the loops.
  /// \param address  local address at which load reports arrive.
  /// \returns An error if the socket can't be bound.
  [[nodiscard]] result<void> Start(fiber_thread& thread, const endpoint& address);

  /// \brief Whether there are agents.
  [[nodiscard]] bool enabled() const noexcept { return agent_port_ != 0; }
  /// \brief Has observations that are due sent now, instead of within 100 ms.
  void SendObservations() { observation_event_.Set(); }

  /// \brief Queries the current loads of engines and suspends the fiber until all have answered,
  /// for at most 15 ms. Engines that do not answer keep their last reported load.
  void QueryLoads(std::span<const known_upstream* const> upstreams);

 private:
  void SubscribeLoop();
  void ReceiveLoop();
  void ObservationLoop();
  void ApplyLoad(const engine_load& load);

  const fleet_snapshot_holder& snapshots_;
  const std::uint16_t agent_port_;
  event_log& log_;
  const std::function<void(const std::string&)> on_load_;
  observation_sharing* const sharing_;
  fiber_event observation_event_;
  std::unique_ptr<datagram_socket> socket_;
  fiber_broadcast load_received_;
  stop_signal stop_;
  std::atomic<int> running_loops_{0};  ///< Number of loops that have not ended.
};

/// \brief Returns the interval between two load reports of one engine. It grows with the number of
/// engines, which bounds the rate of reports that one entry receives.
/// \param engines  number of engines to which the entry subscribes.
[[nodiscard]] milliseconds LoadReportPeriod(std::size_t engines) noexcept;

}  // namespace quincebank
