#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include "quincebank/base/event_log.h"
#include "quincebank/expert_control/load_messages.h"
#include "quincebank/gateway/fleet_snapshot.h"
#include "quincebank/net/datagram_socket.h"
#include "quincebank/net/fiber_event.h"
#include "quincebank/net/fiber_thread.h"

namespace quincebank {

/// \brief Subscribes to the loads of all engines at the agents beside them. Lives on the traffic
/// thread.
///
/// An entry sees only its own requests; with many entries most of an engine's load comes from the
/// others. Loads are hints: they are lost without notice, and an old one is not used.
class load_watch {
 public:
  /// \param agent_port  of the agents; 0 if there are none.
  /// \param on_load  called with the service of an engine that has told its load.
  load_watch(const fleet_snapshot_holder& box,
             std::uint16_t agent_port,
             event_log& log,
             std::function<void(const std::string&)> on_load);
  ~load_watch();
  load_watch(const load_watch&) = delete;
  load_watch& operator=(const load_watch&) = delete;

  /// \param address  where loads arrive.
  [[nodiscard]] result<void> Start(fiber_thread& thread, const endpoint& address);

  /// \brief Asks engines for their present loads and suspends the fiber until they have told them,
  /// for some milliseconds at most. Those that are silent keep what they told last.
  void QueryLoads(std::span<const known_upstream* const> upstreams);

 private:
  void SubscribeLoop();
  void ReceiveLoop();
  void ApplyLoad(const engine_load& load);

  const fleet_snapshot_holder& box_;
  const std::uint16_t agent_port_;
  event_log& log_;
  const std::function<void(const std::string&)> on_load_;
  std::unique_ptr<datagram_socket> socket_;
  fiber_broadcast told_;
  stop_signal stop_;
  std::atomic<int> running_{0};  ///< Loops that have not ended.
};

/// \brief Time between two loads of one engine, so that their number for one entry is bounded.
/// \param engines  engines that the entry watches.
[[nodiscard]] milliseconds LoadReportPeriod(std::size_t engines) noexcept;

}  // namespace quincebank
