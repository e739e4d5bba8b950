#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "quincebank/base/clock.h"
#include "quincebank/base/verdict.h"
#include "quincebank/gateway/gateway_service.h"
#include "quincebank/net/call_cancellation.h"
#include "quincebank/net/sse.h"
#include "quincebank/placement/choose_upstream.h"
#include "quincebank/placement/waiting_line.h"

namespace quincebank {

/// \brief How one attempt at an upstream ended.
struct attempt_report {
  attempt_outcome outcome = attempt_outcome::kFailed;
  verdict ran = verdict::kMayHaveRun;
  bool delivered = false;      ///< The client has the whole answer.
  bool group_stalled = false;  ///< A rank of the upstream's group is gone.
  std::string reason;
  std::optional<http_response> failure;  ///< The upstream's own failure, to be passed on at last.
};

/// \brief Runs one request of a client. Lives in the fiber of its connection.
class forward_flow {
 public:
  forward_flow(gateway_context& shared, http_exchange& exchange);
  ~forward_flow();
  forward_flow(const forward_flow&) = delete;
  forward_flow& operator=(const forward_flow&) = delete;

  void Run();

 private:
  struct own_answer {
    int status = 503;
    std::string_view reason;
    milliseconds retry_after{0};
  };

  /// \brief Finds route, workspace and service.
  /// \returns An answer of this entry's own if the request can't be forwarded.
  [[nodiscard]] std::optional<own_answer> Resolve();
  /// \brief Sends the request until an upstream has answered it or nothing more may be sent.
  void Forward();
  /// \brief Looks once for an upstream with room.
  [[nodiscard]] std::optional<known_upstream> LookForUpstream();
  /// \brief How long the request may wait from now on, as far as is known.
  [[nodiscard]] milliseconds WaitFrom(time_point now, milliseconds turn_wait) const;
  /// \brief What decides the request's turn among those that wait.
  [[nodiscard]] line_request Turn() const;
  /// \brief Waits a moment for an upstream with room, in turn with other requests, unless it is
  /// known that the wait would be in vain.
  [[nodiscard]] std::optional<known_upstream> WaitForUpstream();
  /// \param among  upstreams to choose from; all of the service's if empty.
  [[nodiscard]] placement Place(const fleet_snapshot& snapshot,
                                std::vector<const known_upstream*>& candidates,
                                std::span<const known_upstream* const> among = {});
  /// \brief Adds what the agent beside an engine has told of it.
  void AddEngineLoad(const known_upstream& upstream, int others, placement_candidate& view) const;
  [[nodiscard]] attempt_report Send(const known_upstream& upstream);
  [[nodiscard]] attempt_report TakeAnswer(http_stream& stream);
  [[nodiscard]] attempt_report TakeStream(http_stream& stream);
  [[nodiscard]] attempt_report TakeWhole(http_stream& stream);
  [[nodiscard]] attempt_report LostAnswer(const error& failure) const;
  [[nodiscard]] bool MayRepeat(const attempt_report& report);
  /// \brief Whether an attempt of this request has stalled in the upstream's group.
  [[nodiscard]] bool StalledBefore(const upstream_record& record) const;
  /// \brief Lets the other ranks of an upstream's group rest.
  void RestGroup(const known_upstream& upstream) const;
  void Finish(const attempt_report& last);
  void Answer(const own_answer& answer);
  void LogEnd(std::string_view outcome, int status, std::string_view reason);
  void LogAttempt(const known_upstream& upstream, const attempt_report& report, milliseconds took);
  [[nodiscard]] milliseconds Left() const;
  [[nodiscard]] milliseconds Elapsed() const;
  /// \brief Time of one pass of the present upstream's group; 0 if unknown.
  [[nodiscard]] nanoseconds PassTime() const;
  /// \brief Whether another attempt may follow the present one.
  [[nodiscard]] bool MayFollow();

  gateway_context& shared_;
  http_exchange& exchange_;
  const time_point started_;
  const boot_time received_ = BootNow();
  client_request request_;
  ref_ptr<const fleet_snapshot> snapshot_;
  ref_ptr<const service_catalog> catalog_;  ///< Owner of `route_` and `service_`.
  const route_rule* route_ = nullptr;
  const service_rule* service_ = nullptr;
  std::string workspace_;
  int priority_ = 0;
  boot_time deadline_;
  ref_ptr<call_cancellation> cancellation_;
  bool client_gone_ = false;
  placement_obstacle obstacle_ = placement_obstacle::kNone;
  time_point opens_{};  ///< With an obstacle: no upstream takes the request before.
  std::vector<std::string> tried_;
  std::vector<std::string> stalled_groups_;  ///< Groups in which an attempt has stalled.
  ref_ptr<group_pulse> pulse_;               ///< Of the present attempt's group.
  placement_candidate sent_to_;  ///< What the last choice read of the chosen upstream ...
  milliseconds told_age_{0};     ///< ... and the age of its told load.
  int asked_ = 0;                ///< Engines that were asked for their loads, for all attempts.
  int sends_ = 0;
  int runs_ = 0;  ///< Attempts that may have run.
  verdict ran_ = verdict::kNotRun;
  bool head_sent_ = false;
  int status_ = 0;
  std::optional<std::uint64_t> last_event_;
  std::optional<time_point> first_byte_;
};

}  // namespace quincebank
