#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/random.h"
#include "quincebank/base/time.h"
#include "quincebank/idempotency/claim_writer.h"
#include "quincebank/idempotency/request_action.h"
#include "quincebank/idempotency/request_key.h"
#include "quincebank/idempotency/retention.h"

namespace quincebank {

enum class request_kind : std::uint8_t {
  kKeyed,       ///< Not repeatable, with an idempotency key.
  kPlain,       ///< Not repeatable, without a key: one attempt.
  kRepeatable,  ///< May run several times.
};

struct request_spec {
  request_kind kind = request_kind::kPlain;
  request_key key;                   ///< For `kKeyed`.
  std::uint64_t request_digest = 0;  ///< For `kKeyed`.
  /// The caller says that it sends this key for the first time, so no earlier request can have run.
  bool first_send = false;
  seconds retention = kKeyRetention;  ///< For `kKeyed`: how long the key can be retried.
  time_point deadline;
  std::uint32_t max_attempts = 3;  ///< Attempts that this request sends.
  milliseconds poll{100};          ///< Between two questions to an agent that does not answer.
  /// \brief Time for another entry to send what it has claimed; doubled each time that the claim
  /// has moved.
  milliseconds block_grace{100};
  std::uint32_t max_questions = 8;  ///< To one agent about one attempt.
  std::uint32_t max_follows = 8;    ///< Changes to another request's claim.
};

/// \brief Decides what an entry does for one request until its verdict is known.
///
/// Each event returns the next action. An entry performs the action, and gives the result back
/// with the action's `step`. Every attempt is sent only by the request that created it.
///
/// \example
///   keyed_request request(spec, seed);
///   request_action action = request.Start(now, wall);
///   while (action.kind != action_kind::kFinish) action = Perform(request, action);
class keyed_request {
 public:
  keyed_request(request_spec spec, random_source random);

  [[nodiscard]] request_action Start(time_point now, wall_time wall);
  /// \param target  nothing if no upstream can take the request; `reason` says why.
  [[nodiscard]] request_action OnTarget(std::uint32_t step,
                                        const std::optional<attempt_target>& target,
                                        std::string reason,
                                        time_point now,
                                        wall_time wall);
  [[nodiscard]] request_action OnClaim(std::uint32_t step,
                                       const claim_decision& decision,
                                       time_point now);
  [[nodiscard]] request_action OnCopy(std::uint32_t step,
                                      const copy_report& report,
                                      time_point now);
  /// \brief Reports a second copy that was sent beside the pending one of a repeatable request, as
  /// an attempt of its own. Call it before `OnCopy`.
  ///
  /// \param won  the caller has its answer from this copy, and `OnCopy` reports on it; the first
  ///     copy may have run.
  /// \param outcome  if it has not won: what is known of it.
  void OnHedge(std::uint32_t step,
               attempt_id attempt,
               const attempt_target& target,
               bool won,
               verdict outcome);
  [[nodiscard]] request_action OnState(std::uint32_t step,
                                       const state_report& report,
                                       time_point now);
  [[nodiscard]] request_action OnPermission(std::uint32_t step, bool granted, time_point now);
  [[nodiscard]] request_action OnWake(std::uint32_t step, time_point now);

  [[nodiscard]] bool finished() const noexcept { return finished_; }
  [[nodiscard]] std::uint32_t attempts() const noexcept { return attempts_; }

 private:
  /// \brief What a wait or a permission is followed by.
  enum class next_step : std::uint8_t { kAskState, kNewAttempt, kResend };

  [[nodiscard]] bool Late(std::uint32_t step, action_kind kind) const noexcept;
  [[nodiscard]] request_action Guard(request_action next, time_point now);
  [[nodiscard]] request_action Act(action_kind kind);
  [[nodiscard]] request_action Choose();
  [[nodiscard]] request_action Claim();
  [[nodiscard]] request_action Look();
  [[nodiscard]] request_action Fetch();
  [[nodiscard]] request_action Follow(const claim& holder);
  [[nodiscard]] request_action AskRetry(next_step then, std::string reason);
  [[nodiscard]] request_action AskAgain(time_point now, std::string reason);
  [[nodiscard]] request_action OnSent(const copy_report& report, time_point now);
  [[nodiscard]] request_action OnFetched(const copy_report& report, time_point now);
  [[nodiscard]] request_action OnLooked(const claim_decision& decision);
  [[nodiscard]] request_action RefuseKeyed(error refusal);
  [[nodiscard]] request_action OnKnownState(attempt_state state, bool blocking, time_point now);
  [[nodiscard]] request_action OnNeverSeen(bool blocking, time_point now);
  [[nodiscard]] request_action OnBlocked(bool by_us);
  [[nodiscard]] request_action OnUncertain(std::string reason);
  [[nodiscard]] request_action NewAttempt(std::string reason);
  /// \brief Goes on with an attempt whose connection was lost, since no other one takes over.
  [[nodiscard]] request_action GoOn();
  [[nodiscard]] request_action Gone();
  [[nodiscard]] request_action Used(std::string_view reason);
  [[nodiscard]] request_action Finish(error_code code, std::string message);
  [[nodiscard]] verdict Verdict() const noexcept;
  [[nodiscard]] bool Keyed() const noexcept { return spec_.kind == request_kind::kKeyed; }
  [[nodiscard]] bool MayRestart() const noexcept;

  const request_spec spec_;
  random_source random_;

  std::uint32_t step_ = 0;
  action_kind waiting_for_ = action_kind::kNone;
  next_step then_ = next_step::kAskState;
  bool finished_ = false;

  attempt_id attempt_;     ///< Attempt that the request deals with.
  attempt_target target_;  ///< Where `attempt_` runs.
  claim claimed_;          ///< Claim that this request last asked for.
  bool own_ = false;       ///< `attempt_` was created by this request.
  bool resent_ = false;
  bool restarted_ = false;  ///< The agent of `attempt_` rejected it as another incarnation.
  bool lost_ = false;       ///< Its agent may go on with `attempt_`, and was not asked about it.
  bool grace_over_ = false;
  bool foreign_ = false;                ///< Another request's claim may still run the order.
  bool claim_known_ = false;            ///< The store has told whether the key was claimed before.
  std::optional<error> refusal_;        ///< Reported once the claim of an earlier request is known.
  bool releasable_ = false;             ///< `claimed_` may be in the store.
  verdict copies_ = verdict::kNotRun;   ///< Over all copies of `attempt_` sent by this request.
  verdict earlier_ = verdict::kNotRun;  ///< Over all earlier attempts of this request.
  std::optional<attempt_id> expected_;  ///< Attempt named by the claim that will be moved.
  std::uint64_t delivered_ = 0;
  std::uint32_t attempts_ = 0;
  std::uint32_t follows_ = 0;
  std::uint32_t questions_ = 0;
  std::vector<std::string> tried_;
  std::string reason_;
};

}  // namespace quincebank
