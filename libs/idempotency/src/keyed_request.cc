#include "quincebank/idempotency/keyed_request.h"

#include <algorithm>
#include <utility>

#include "quincebank/idempotency/retention.h"
#include "quincebank/idempotency/timed_attempt.h"

namespace quincebank {
namespace {
constexpr std::uint32_t kMaxGraceDoublings = 5;
}

keyed_request::keyed_request(request_spec spec, random_source random)
    : spec_(spec), random_(random) {}

bool keyed_request::Late(std::uint32_t step, action_kind kind) const noexcept {
  return finished_ || step != step_ || kind != waiting_for_;
}

request_action keyed_request::Act(action_kind kind) {
  request_action action;
  action.kind = kind;
  action.step = ++step_;
  action.attempt = attempt_;
  action.target = target_;
  waiting_for_ = kind;
  return action;
}

request_action keyed_request::Guard(request_action next, time_point now) {
  if (next.kind == action_kind::kFinish || next.kind == action_kind::kNone || now < spec_.deadline)
    return next;
  return Finish(error_code::kTimeout, "the deadline has passed");
}

verdict keyed_request::Verdict() const noexcept {
  // An earlier request with this key may have run unless the store or the caller rules it out.
  const bool unknown = Keyed() && !claim_known_ && !spec_.first_send;
  const verdict others = foreign_ || unknown ? verdict::kMayHaveRun : verdict::kNotRun;
  return Combine(Combine(earlier_, copies_), others);
}

request_action keyed_request::Finish(error_code code, std::string message) {
  request_action action = Act(action_kind::kFinish);
  action.end.outcome = Verdict();
  action.end.failure = MakeError(code, std::move(message), action.end.outcome);
  if (releasable_ && own_ && copies_ == verdict::kNotRun)
    action.end.release = claimed_;
  finished_ = true;
  return action;
}

request_action keyed_request::Start(time_point now, wall_time wall) {
  if (finished_ || step_ != 0)
    return {};
  if (Keyed() && spec_.key.issued && *spec_.key.issued < wall - spec_.retention)
    return Used("Idempotency-Key is older than the claim retention of the service");
  return Guard(Choose(), now);
}

request_action keyed_request::Choose() {
  request_action action = Act(action_kind::kChoose);
  action.tried = tried_;
  return action;
}

request_action keyed_request::OnTarget(std::uint32_t step,
                                       const std::optional<attempt_target>& target,
                                       std::string reason,
                                       time_point now,
                                       wall_time wall) {
  if (Late(step, action_kind::kChoose))
    return {};
  if (!target && lost_)
    return Guard(GoOn(), now);
  if (!target)
    return RefuseKeyed(MakeError(error_code::kOverloaded, std::move(reason)));
  earlier_ = Combine(earlier_, copies_);
  copies_ = verdict::kNotRun;
  attempt_ = NewTimedAttemptId(random_, wall);
  target_ = *target;
  own_ = true;
  resent_ = false;
  restarted_ = false;
  lost_ = false;
  grace_over_ = false;
  releasable_ = false;
  delivered_ = 0;
  questions_ = 0;
  if (!Keyed()) {
    ++attempts_;
    return Guard(Act(action_kind::kSend), now);
  }
  claimed_ = claim{spec_.key.digest, spec_.request_digest, attempt_, target_,
                   wall + ClaimLifetime(spec_.retention)};
  return Guard(Claim(), now);
}

request_action keyed_request::Claim() {
  request_action action = Act(action_kind::kClaim);
  action.value = claimed_;
  action.expected = expected_;
  return action;
}

request_action keyed_request::Look() {
  request_action action = Act(action_kind::kLook);
  action.value.key = spec_.key.digest;
  return action;
}

request_action keyed_request::OnClaim(std::uint32_t step,
                                      const claim_decision& decision,
                                      time_point now) {
  if (!Late(step, action_kind::kLook))
    return Guard(OnLooked(decision), now);
  if (Late(step, action_kind::kClaim))
    return {};
  releasable_ = true;
  claim_known_ = claim_known_ || decision.outcome != claim_outcome::kNotRun;
  if (decision.outcome == claim_outcome::kOwned) {
    foreign_ = false;
    expected_ = attempt_;
    ++attempts_;
    return Guard(Act(action_kind::kSend), now);
  }
  if (decision.outcome == claim_outcome::kHeld)
    return Guard(Follow(decision.holder), now);
  if (decision.outcome == claim_outcome::kUsed)
    return Used("the claim of Idempotency-Key is no longer on record");
  return Finish(decision.failure.code, decision.failure.message);
}

request_action keyed_request::RefuseKeyed(error refusal) {
  if (!Keyed() || claim_known_ || spec_.first_send)
    return Finish(refusal.code, std::move(refusal.message));
  refusal_ = std::move(refusal);
  return Look();
}

request_action keyed_request::OnLooked(const claim_decision& decision) {
  claim_known_ = claim_known_ || decision.outcome != claim_outcome::kNotRun;
  if (decision.outcome == claim_outcome::kUsed)
    return Used("the claim of Idempotency-Key is no longer on record");
  if (refusal_) {
    const error refusal = *std::exchange(refusal_, std::nullopt);
    if (decision.outcome == claim_outcome::kHeld)
      return Follow(decision.holder);
    return Finish(refusal.code, refusal.message);
  }
  if (decision.outcome == claim_outcome::kHeld && decision.holder.attempt != attempt_)
    return Follow(decision.holder);
  // Whoever blocked the attempt may move the claim and run the request, unless we move it first.
  foreign_ = true;
  if (decision.outcome != claim_outcome::kNotRun)
    return NewAttempt("the attempt was blocked");
  return Finish(decision.failure.code, decision.failure.message);
}

request_action keyed_request::Follow(const claim& holder) {
  if (holder.request_digest != spec_.request_digest) {
    foreign_ = false;
    return Finish(error_code::kInvalidArgument,
                  "Idempotency-Key was used before for a different request");
  }
  earlier_ = Combine(earlier_, copies_);
  copies_ = verdict::kNotRun;
  own_ = false;
  foreign_ = true;
  grace_over_ = false;
  questions_ = 0;
  attempt_ = holder.attempt;
  target_ = holder.target;
  expected_ = holder.attempt;
  if (++follows_ > spec_.max_follows)
    return Finish(error_code::kConflict, "other requests with this key keep moving its claim");
  return Act(action_kind::kAskState);
}

bool keyed_request::MayRestart() const noexcept {
  return spec_.kind == request_kind::kRepeatable && delivered_ == 0;
}

request_action keyed_request::OnCopy(std::uint32_t step,
                                     const copy_report& report,
                                     time_point now) {
  const bool sent = !Late(step, action_kind::kSend);
  if (!sent && Late(step, action_kind::kFetch))
    return {};
  if (report.delivered > delivered_) {
    delivered_ = report.delivered;
    questions_ = 0;
  }
  if (report.outcome == copy_outcome::kAnswered) {
    request_action action = Act(action_kind::kFinish);
    action.end.outcome = verdict::kRan;
    action.end.answered = true;
    finished_ = true;
    return action;
  }
  return Guard(sent ? OnSent(report, now) : OnFetched(report, now), now);
}

void keyed_request::OnHedge(std::uint32_t step,
                            attempt_id attempt,
                            const attempt_target& target,
                            bool won,
                            verdict outcome) {
  if (Late(step, action_kind::kSend) || spec_.kind != request_kind::kRepeatable)
    return;
  if (!won) {
    earlier_ = Combine(earlier_, outcome);
    tried_.push_back(target.agent);
    return;
  }
  earlier_ = Combine(earlier_, Combine(copies_, verdict::kMayHaveRun));
  copies_ = verdict::kNotRun;
  tried_.push_back(target_.agent);
  attempt_ = attempt;
  target_ = target;
}

request_action keyed_request::OnSent(const copy_report& report, time_point now) {
  switch (report.outcome) {
    case copy_outcome::kNotSent:
    case copy_outcome::kRejected:
    case copy_outcome::kWrongIncarnation:
      // A restarted agent may be chosen again, since its rejection corrects the hint.
      restarted_ = report.outcome == copy_outcome::kWrongIncarnation;
      if (copies_ == verdict::kNotRun)
        return NewAttempt(report.message);
      // The rejection covers this copy only; an earlier one may still arrive.
      if (report.outcome == copy_outcome::kWrongIncarnation)
        return OnUncertain("the agent restarted after the request was sent");
      return AskAgain(now, report.message);
    case copy_outcome::kBlocked:
      return OnBlocked(false);
    case copy_outcome::kGone:
      return Gone();
    case copy_outcome::kDuplicate:
      copies_ = verdict::kMayHaveRun;
      return Act(action_kind::kAskState);
    case copy_outcome::kFailed:
      copies_ = verdict::kMayHaveRun;
      return OnUncertain(report.message);
    case copy_outcome::kLost:
    case copy_outcome::kAnswered:
      break;
  }
  copies_ = verdict::kMayHaveRun;
  lost_ = MayRestart();
  if (lost_)
    return NewAttempt("the connection to the agent was lost");
  return Act(action_kind::kAskState);
}

request_action keyed_request::OnFetched(const copy_report& report, time_point now) {
  switch (report.outcome) {
    case copy_outcome::kGone:
      return Gone();
    case copy_outcome::kBlocked:
      return OnBlocked(false);
    case copy_outcome::kFailed:
    case copy_outcome::kWrongIncarnation:
      return OnUncertain(report.message);
    default:
      return AskAgain(now, report.message);
  }
}

request_action keyed_request::OnState(std::uint32_t step,
                                      const state_report& report,
                                      time_point now) {
  const bool blocking = !Late(step, action_kind::kBlock);
  if (!blocking && Late(step, action_kind::kAskState))
    return {};
  if (!report.state)
    return Guard(AskAgain(now, "the agent can't be reached"), now);
  return Guard(OnKnownState(*report.state, blocking, now), now);
}

request_action keyed_request::OnKnownState(attempt_state state, bool blocking, time_point now) {
  // The caller has a part of the answer, so the agent has only forgotten a repeatable attempt.
  const bool unknown = state == attempt_state::kNeverSeen || state == attempt_state::kBlocked;
  if (delivered_ > 0 && unknown)
    return Gone();
  switch (state) {
    case attempt_state::kRunning:
    case attempt_state::kDone:
      return Fetch();
    case attempt_state::kAnswerGone:
      return Gone();
    case attempt_state::kBlocked:
      return OnBlocked(blocking);
    case attempt_state::kNeverSeen:
      return OnNeverSeen(blocking, now);
    case attempt_state::kWrongIncarnation:
      return OnUncertain("the agent restarted after the request was claimed");
    case attempt_state::kMayHaveRun:
    case attempt_state::kForgotten:
      break;
  }
  return OnUncertain("the agent can't tell whether the request ran");
}

request_action keyed_request::OnNeverSeen(bool blocking, time_point now) {
  if (blocking)
    return AskAgain(now, "the agent has no room to block the attempt");
  if (own_) {
    if (MayRestart())
      return NewAttempt("the connection to the agent was lost");
    if (Keyed() && !resent_)
      return AskRetry(next_step::kResend, "the connection to the agent was lost");
    return Act(action_kind::kBlock);
  }
  if (grace_over_)
    return Act(action_kind::kBlock);
  grace_over_ = true;
  // Two entries that found each other's claims would block each other in lock-step; each time the
  // claim has moved, the other entry gets longer to send.
  const milliseconds grace = spec_.block_grace * (1U << std::min(follows_ - 1, kMaxGraceDoublings));
  const auto spread = static_cast<std::uint64_t>(grace.count()) + 1;
  request_action action = Act(action_kind::kWait);
  action.wake = now + grace + milliseconds(random_.Below(spread));
  then_ = next_step::kAskState;
  return action;
}

request_action keyed_request::OnBlocked(bool by_us) {
  copies_ = verdict::kNotRun;
  // Another request that blocked our attempt is about to move the claim, or has moved it.
  if (own_ && Keyed() && !by_us)
    return Look();
  if (!own_ || spec_.kind != request_kind::kPlain)
    return NewAttempt("the attempt was blocked");
  return Finish(error_code::kUnavailable, "the connection to the agent was lost");
}

request_action keyed_request::OnUncertain(std::string reason) {
  if (MayRestart())
    return NewAttempt(std::move(reason));
  return Finish(error_code::kUnavailable, std::move(reason));
}

request_action keyed_request::Gone() {
  copies_ = verdict::kRan;
  return Finish(error_code::kTruncated, "the request ran, but its answer is no longer held");
}

request_action keyed_request::Used(std::string_view reason) {
  foreign_ = true;
  return Finish(error_code::kStale,
                std::string(reason) + "; an earlier request with this key may have run");
}

request_action keyed_request::Fetch() {
  request_action action = Act(action_kind::kFetch);
  action.offset = delivered_;
  return action;
}

request_action keyed_request::AskAgain(time_point now, std::string reason) {
  const time_point wake = now + spec_.poll;
  if (++questions_ >= spec_.max_questions || wake >= spec_.deadline)
    return OnUncertain(std::move(reason));
  then_ = next_step::kAskState;
  request_action action = Act(action_kind::kWait);
  action.wake = wake;
  return action;
}

request_action keyed_request::OnWake(std::uint32_t step, time_point now) {
  if (Late(step, action_kind::kWait))
    return {};
  return Guard(Act(action_kind::kAskState), now);
}

request_action keyed_request::NewAttempt(std::string reason) {
  if (own_ && !restarted_)
    tried_.push_back(target_.agent);
  if (attempts_ >= spec_.max_attempts)
    return lost_ ? GoOn() : Finish(error_code::kUnavailable, std::move(reason));
  // The first attempt that is sent is not a retry, even if it takes over another request's claim.
  if (attempts_ == 0)
    return Choose();
  return AskRetry(next_step::kNewAttempt, std::move(reason));
}

request_action keyed_request::GoOn() {
  lost_ = false;
  return Act(action_kind::kAskState);
}

request_action keyed_request::AskRetry(next_step then, std::string reason) {
  then_ = then;
  reason_ = std::move(reason);
  return Act(action_kind::kAskRetry);
}

request_action keyed_request::OnPermission(std::uint32_t step, bool granted, time_point now) {
  if (Late(step, action_kind::kAskRetry))
    return {};
  if (then_ == next_step::kResend) {
    resent_ = true;
    return Guard(Act(granted ? action_kind::kSend : action_kind::kBlock), now);
  }
  if (!granted && lost_)
    return Guard(GoOn(), now);
  if (!granted)
    return Finish(error_code::kOverloaded, reason_ + "; the retry budget is used up");
  return Guard(Choose(), now);
}

}  // namespace quincebank
