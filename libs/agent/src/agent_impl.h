#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "attempt_request.h"
#include "attempt_signal.h"
#include "quincebank/admission/gate.h"
#include "quincebank/agent/agent_service.h"
#include "quincebank/idempotency/attempt_ledger.h"
#include "quincebank/messages/attempt_event.h"
#include "quincebank/net/fiber_thread.h"
#include "quincebank/net/http_client.h"
#include "quincebank/net/http_server.h"
#include "quincebank/platform/upstream_probe.h"
#include "quincebank/telemetry/metrics.h"
#include "stream_pace.h"

namespace quincebank {

/// \brief State of the agent; every member function runs on the traffic thread.
class agent_service::impl {
 public:
  impl(fiber_thread& traffic,
       incarnation self,
       const upstream_settings& settings,
       const ledger_limits& limits);

  void Start();
  void RunAttempt(http_exchange& exchange);
  /// \brief Answers `GET /attempts/<id>?offset=N`.
  void ReadAttempt(http_exchange& exchange);
  [[nodiscard]] result<boost::json::value> AttemptStatus(const boost::json::object& params);
  [[nodiscard]] result<boost::json::value> BlockAttempt(const boost::json::object& params);
  /// \brief Stops a repeatable attempt whose answer nobody needs any more, and frees its place.
  [[nodiscard]] result<boost::json::value> CancelAttempt(const boost::json::object& params);

  void SetDirectory(std::shared_ptr<const agent_directory> directory);
  void SetUpstream(const upstream_settings& settings);
  void SetDraining(bool draining);
  void SetLeaving();
  [[nodiscard]] agent_load Load() const;
  [[nodiscard]] std::string Metrics(const control_bytes& bytes);

  stop_signal stop;
  fiber_thread& traffic;
  std::atomic<int> fibers{0};  ///< Fibers of this object that have not returned.

 private:
  struct admission_wait {
    bool admitted = false;
    rejection refused;
    attempt_signal signal;
    bool decided = false;
    attempt_id attempt;
    bool repeatable = false;
  };
  struct running_attempt {
    ref_ptr<attempt_signal> signal;
    ref_ptr<call_cancellation> cancellation;
    bool repeatable = false;
    admission_ticket ticket;
    bool streaming = false;  ///< The answer is a stream of tokens.
    stream_pace pace;
  };

  void Spawn(std::function<void()> task);
  /// \brief Runs a loop that ends with the agent; begins it anew after an exception.
  void SpawnLoop(std::string what, void (impl::*loop)());
  void ProbeLoop();
  void SweepLoop();
  void ApplyQueue();
  /// \brief Tells the gate how fast the tokens of running streams come.
  void ReportProgress();
  /// \brief Waits in the queue with heartbeats.
  /// \returns Nothing if admitted, else why not.
  std::optional<rejection> WaitForSlot(http_exchange& exchange,
                                       admission_ticket ticket,
                                       admission_wait& wait);
  /// \returns Whether the attempt was waiting in the queue.
  [[nodiscard]] result<bool> CancelWaiting(attempt_id attempt);
  void FinishCancelled(const attempt_request& request,
                       admission_ticket ticket,
                       milliseconds service_time);
  void Start(const attempt_request& request, admission_ticket ticket);
  void RunUpstream(const attempt_request& request, admission_ticket ticket);
  /// \brief Reads the upstream's answer into the ledger.
  [[nodiscard]] result<void> CopyAnswer(const attempt_request& request,
                                        time_point started,
                                        milliseconds& first_byte);
  void Tail(http_exchange& exchange, attempt_id attempt, std::uint64_t offset);
  bool SendNew(http_exchange& exchange,
               const answer_part& part,
               bool& head_sent,
               std::uint64_t& offset);
  void Reject(http_exchange& exchange, const attempt_failure& failure) const;
  [[nodiscard]] attempt_failure FailureOf(attempt_state state) const;
  [[nodiscard]] attempt_failure Refusal(const rejection& refused) const;

  const incarnation self_;
  upstream_settings settings_;
  http_client http_;
  std::unique_ptr<upstream_probe> probe_;
  std::unique_ptr<admission_gate> gate_;
  attempt_ledger ledger_;
  std::shared_ptr<const agent_directory> directory_;
  std::uint64_t boot_ = 0;
  bool draining_ = false;
  bool leaving_ = false;
  metrics_registry metrics_;
  latency_histogram& service_times_ = metrics_.AddHistogram(
      {"quincebank_agent_first_byte_seconds", "Time to the upstream's first byte.", {}});
  counter& served_ = metrics_.AddCounter(
      {"quincebank_agent_attempts_total", "Attempts that ended.", {{"outcome", "served"}}});
  counter& failed_ = metrics_.AddCounter(
      {"quincebank_agent_attempts_total", "Attempts that ended.", {{"outcome", "failed"}}});
  counter& cancelled_ = metrics_.AddCounter(
      {"quincebank_agent_attempts_total", "Attempts that ended.", {{"outcome", "cancelled"}}});
  counter& refused_ =
      metrics_.AddCounter({"quincebank_agent_refusals_total", "Attempts refused as not run.", {}});
  std::unordered_map<std::uint64_t, admission_wait*> waiting_;  // By ticket.
  std::unordered_map<attempt_id, running_attempt> running_;
};

}  // namespace quincebank
