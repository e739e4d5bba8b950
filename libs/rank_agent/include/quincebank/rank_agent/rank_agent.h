#pragma once

#include <array>
#include <atomic>
#include <boost/json/object.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/event_log.h"
#include "quincebank/base/parsed_settings.h"
#include "quincebank/expert_control/count_window.h"
#include "quincebank/expert_control/engine_port.h"
#include "quincebank/expert_control/load_messages.h"
#include "quincebank/net/datagram_socket.h"
#include "quincebank/net/fiber_event.h"
#include "quincebank/net/fiber_thread.h"
#include "quincebank/net/http_client.h"
#include "quincebank/net/http_server.h"
#include "quincebank/net/process_limits.h"
#include "quincebank/placement/upstream_observations.h"
#include "quincebank/rank_agent/expected_arrivals.h"
#include "quincebank/rpc/rpc.h"

namespace quincebank {

/// \brief Settings of a `rank_agent`.
struct rank_agent_settings {
  std::string name;  ///< Name of the agent.
  endpoint address;  ///< Listens here, for HTTP calls of the coordinator and datagrams of entries.
  endpoint engine;   ///< Address of the engine on the same host.
  milliseconds engine_timeout{300};  ///< For one call of the engine.
  std::size_t log_lines = 500;       ///< Most log lines that are buffered until they are read.
  process_limits limits;             ///< Of the host.
};

/// \brief Parses and validates a settings file (JSON with comments).
///
/// A value that cannot be used is reported, and its default is used.
///
/// \returns The settings, or all errors if the JSON is malformed, or the name or an address is
/// missing.
[[nodiscard]] result<parsed_settings<rank_agent_settings>> ParseRankAgentSettings(
    std::string_view text);

/// \brief Agent on the host of an engine. Serves reports, expert counts and held experts of the
/// engine to the coordinator of the expert groups, and sends its load to entries.
///
/// Reading the engine from its own host is fast and does not pause its group. The agent makes no
/// decisions and persists nothing. The coordinator sends orders to the engine directly, so
/// that an agent that hangs cannot delay one.
class rank_agent {
 public:
  /// \param log  for counts of observations; may be null.
  explicit rank_agent(const rank_agent_settings& settings, event_log* log = nullptr);
  ~rank_agent();
  rank_agent(const rank_agent&) = delete;
  rank_agent& operator=(const rank_agent&) = delete;

  /// \brief Starts to listen and to serve. Call it once.
  /// \param engine  client of the engine on this host.
  /// \returns An error if the address cannot be bound.
  [[nodiscard]] result<void> Start(std::unique_ptr<engine_port> engine);
  /// \brief Returns the address that the agent listens on, with the actual port if port 0 was
  /// configured. Valid after `Start`.
  [[nodiscard]] const endpoint& address() const noexcept { return server_->address(); }
  /// \brief Returns the client for calls of the engine from the agent's thread.
  [[nodiscard]] http_client& http() noexcept { return *http_; }

 private:
  /// Parameters of a call of the coordinator.
  struct rank_request {
    upstream_record rank;  ///< Engine that the coordinator expects on this host.
    count_question counts;
  };
  using handler = result<boost::json::value> (rank_agent::*)(const rank_request& request);
  struct named_handler {
    std::string_view name;
    handler run;
  };

  /// Entry that has subscribed to the engine's load.
  struct subscriber {
    std::string upstream;       ///< Engine that the entry expects on this host.
    milliseconds period{0};     ///< Between two loads.
    time_point pushed_at{};     ///< When the last load was sent.
    time_point next_push_at{};  ///< When the next load is due.
    time_point expires_at{};    ///< When the subscription ends unless renewed.
  };

  /// \brief Receives subscriptions and single queries.
  void ReceiveLoop();
  /// \brief Sends the load to subscribers that are due.
  void PushLoop();
  /// \brief Replies to entries that query the load once. Queries that arrive while the engine is
  /// being read share its next report.
  void ReplyLoop();
  /// \brief Sends the load to the entries that queried it, each one with the expected arrivals
  /// caused by the replies before it.
  void Reply(const std::string& upstream, const std::vector<endpoint>& senders);
  /// \brief Stores an observation of a subscribed entry, and has it passed on at once if it may
  /// change what the others do.
  void Observe(const endpoint& sender, const upstream_observation& observed, time_point now);
  /// \brief Sends observations that have changed to all subscribers without reading the engine,
  /// which may hang.
  void AnnounceLoop();
  void CountReception(std::size_t reception);
  /// \brief Returns the last load together with what entries report, for an engine that cannot be
  /// read; nothing if the load is too old.
  [[nodiscard]] std::optional<engine_load> RepeatedLoad(const std::string& upstream);
  /// \brief Logs how many observations were received, by what became of them, if that has changed.
  void LogReceptions();
  /// \returns Nothing if the engine cannot be read.
  [[nodiscard]] std::optional<engine_load> ReadLoad(const std::string& upstream);
  /// \brief Sends the load of one engine to the subscribers that are due.
  void Push(const std::string& upstream, const std::vector<endpoint>& receivers);
  [[nodiscard]] result<boost::json::value> Report(const rank_request& request);
  [[nodiscard]] result<boost::json::value> Counts(const rank_request& request);
  [[nodiscard]] result<boost::json::value> Held(const rank_request& request);
  /// \brief Registers an RPC method.
  void AddMethod(const named_handler& named);

  const rank_agent_settings settings_;
  rpc_server rpc_;
  fiber_thread thread_;
  std::unique_ptr<http_client> http_;
  std::unique_ptr<engine_port> engine_;
  std::unique_ptr<http_server> server_;
  std::unique_ptr<datagram_socket> socket_;
  count_recorder counts_;
  std::map<endpoint, subscriber> subscribers_;
  std::map<std::string, std::vector<endpoint>> pending_queries_;  ///< Senders, by engine.
  fiber_event query_event_;
  expected_arrivals expected_;
  upstream_observations observations_;
  std::optional<engine_load> last_load_;  ///< As last read.
  time_point read_at_{};                  ///< When it was read.
  fiber_event announce_event_;
  /// Observations by what became of them; the last two are from others than subscribers, and
  /// datagrams that cannot be read.
  std::array<std::uint64_t, kObservationReceptions + 2> receptions_{};
  bool receptions_changed_ = false;
  time_point receptions_logged_at_{};
  event_log* const log_;  ///< May be null.
  stop_signal stop_;
  std::atomic<int> running_loops_{0};  ///< Loops that have not returned.
};

}  // namespace quincebank
