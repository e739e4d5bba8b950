#pragma once

#include <optional>
#include <string>
#include <vector>

#include "answer_race.h"
#include "attempt_copy.h"
#include "caller_answer.h"
#include "quincebank/entry/entry_service.h"
#include "quincebank/idempotency/keyed_request.h"
#include "quincebank/routing/choose.h"
#include "quincebank/routing/prefix.h"

namespace quincebank {

/// \brief Path of a forwarded request: `/services/<service>/<path>`.
struct service_target {
  std::string service;
  std::string path;  ///< With its query, from the slash on.
};

/// \brief Splits a request target; nothing if it does not name a service.
[[nodiscard]] std::optional<service_target> ParseServiceTarget(std::string_view target);

/// \brief Second copy of a slow request.
struct second_copy {
  time_point first_sent;
  milliseconds delay{0};
  bool sent = false;
  bool won = false;
  attempt_id attempt;
  attempt_target target;
  copy_result result;
};

/// \brief Runs one forwarded request: performs the actions of its state machine.
class request_flow {
 public:
  request_flow(entry_shared& shared, traffic_context& context, http_exchange& exchange);

  void Run(const service_target& target);

 private:
  [[nodiscard]] result<void> Prepare(const service_target& target);
  [[nodiscard]] result<request_spec> MakeSpec(const route_config& route);
  [[nodiscard]] result<void> ReadCallerFields();
  [[nodiscard]] request_action Perform(keyed_request& machine, const request_action& action);
  [[nodiscard]] request_action ChooseTarget(keyed_request& machine, const request_action& action);
  [[nodiscard]] copy_report Send(keyed_request& machine, const request_action& action);
  [[nodiscard]] copy_report SendAlone(const request_action& action);
  /// \brief Sends a copy, and a second one to another upstream if it is slow. The first of which a
  /// byte of the body has come answers the caller.
  [[nodiscard]] copy_report SendHedged(keyed_request& machine,
                                       const request_action& action,
                                       milliseconds delay);
  /// \brief Runs in a fiber beside the first copy: waits, decides, and runs the second one.
  void RunSecond(answer_race& race, const request_action& first, second_copy& second);
  [[nodiscard]] bool DecideSecond(const request_action& first, second_copy& second);
  void CancelAtAgent(const attempt_target& target, attempt_id attempt);
  [[nodiscard]] http_call AttemptCall(const attempt_target& target, attempt_id attempt) const;
  [[nodiscard]] copy_result RunCopyAt(const attempt_target& target,
                                      const http_call& call,
                                      answer_sink& answer);
  void TakeAccount(const attempt_target& target, const copy_result& copy);
  void ObserveFirst(time_point sent, time_point until);
  [[nodiscard]] copy_report Fetch(const request_action& action);
  [[nodiscard]] claim_decision AskClaims(const request_action& action);
  [[nodiscard]] state_report AskAgent(const request_action& action, const std::string& method);
  [[nodiscard]] http_call CallTo(const attempt_target& target) const;
  [[nodiscard]] upstream_slot* SlotOf(const std::string& agent) const;
  void ReportContact(const std::string& agent, const copy_report& report);
  void Finish(const request_end& end);
  void RecordEnd(const request_end& end);
  void CountEnd(const request_end& end);
  void RecordClaim(const request_action& action, const claim_decision& decision);

  entry_shared& shared_;
  traffic_context& context_;
  http_exchange& exchange_;
  const std::string id_;
  random_source random_;
  caller_answer answer_;
  ref_ptr<const entry_snapshot> snapshot_;
  const service_config* service_ = nullptr;
  const service_view* view_ = nullptr;
  std::string path_;
  std::string workspace_;
  int priority_ = 5;
  time_point started_;
  time_point deadline_;
  request_spec spec_;
  prefix_hashes prefix_;
  milliseconds retry_after_{0};
  std::optional<error_code> refused_as_;
  hedge_settings hedging_;
  bool first_sent_ = false;            ///< Only the first attempt of a request is hedged.
  std::optional<second_copy> second_;  ///< For the record.
};

}  // namespace quincebank
