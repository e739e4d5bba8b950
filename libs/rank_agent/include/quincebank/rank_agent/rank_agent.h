#pragma once

#include <atomic>
#include <boost/json/object.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/expert_control/count_window.h"
#include "quincebank/expert_control/engine_port.h"
#include "quincebank/expert_control/load_messages.h"
#include "quincebank/net/datagram_socket.h"
#include "quincebank/net/fiber_event.h"
#include "quincebank/net/fiber_thread.h"
#include "quincebank/net/http_client.h"
#include "quincebank/net/http_server.h"
#include "quincebank/rank_agent/expected_arrivals.h"
#include "quincebank/rpc/rpc.h"

namespace quincebank {

/// \brief Settings of an agent beside an engine.
struct rank_agent_settings {
  std::string name;
  endpoint address;  ///< Where the coordinator of the expert groups calls.
  endpoint engine;   ///< Engine on the same host.
  milliseconds engine_timeout{300};
  std::size_t log_lines = 500;  ///< Most log lines that wait for their reader.
};

/// \brief Reads and checks a settings file (JSON with comments).
[[nodiscard]] result<rank_agent_settings> ParseRankAgentSettings(std::string_view text);

/// \brief Passes reports and counts of the engine beside it to the coordinator, and its load to the
/// entries that have subscribed.
///
/// From its own host an engine tells its state without delay and does not pause its group to be
/// read. The agent decides nothing and keeps nothing; orders come from the coordinator itself, so
/// that an agent that freezes can't hold one back.
class rank_agent {
 public:
  explicit rank_agent(const rank_agent_settings& settings);
  ~rank_agent();
  rank_agent(const rank_agent&) = delete;
  rank_agent& operator=(const rank_agent&) = delete;

  /// \param engines  reaches the engine on this host.
  [[nodiscard]] result<void> Start(std::unique_ptr<engine_port> engine);
  /// \brief Where it listens; its port is set even if port 0 was asked for.
  [[nodiscard]] const endpoint& address() const noexcept { return server_->address(); }
  [[nodiscard]] http_client& http() noexcept { return *http_; }

 private:
  /// What a coordinator asks.
  struct rank_request {
    upstream_record rank;  ///< Engine that it believes to be here.
    count_question counts;
  };
  using handler = result<boost::json::value> (rank_agent::*)(const rank_request& request);
  struct named_handler {
    std::string_view name;
    handler run;
  };

  /// Entry that wants to know the engine's load.
  struct subscriber {
    std::string upstream;
    milliseconds period{0};
    time_point next_push_at{};  ///< When the next load is due.
    time_point expires_at{};    ///< When the subscription lapses.
  };

  void ReceiveLoop();
  void PushLoop();
  /// \brief Answers entries that ask for the present load. Those that ask while the engine is being
  /// read share the next report.
  void ReplyLoop();
  void Reply(const std::string& upstream, const std::vector<endpoint>& senders);
  /// \returns Nothing if the engine can't be read.
  [[nodiscard]] std::optional<engine_load> ReadLoad(const std::string& upstream);
  /// \brief Sends the load of one engine to the subscribers that are due.
  void Push(const std::string& upstream, const std::vector<endpoint>& receivers);
  [[nodiscard]] result<boost::json::value> Report(const rank_request& request);
  [[nodiscard]] result<boost::json::value> Counts(const rank_request& request);
  [[nodiscard]] result<boost::json::value> Held(const rank_request& request);
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
  std::map<std::string, std::vector<endpoint>> pending_queries_;  ///< By engine.
  fiber_event query_event_;
  expected_arrivals expected_;
  stop_signal stop_;
  std::atomic<int> running_loops_{0};  ///< Loops that have not ended.
};

}  // namespace quincebank
