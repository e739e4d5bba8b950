// The part of a request flow that sends a second copy of a slow request.

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/fixedsize_stack.hpp>
#include <memory>
#include <utility>

#include "quincebank/admission/hedge_record.h"
#include "quincebank/base/clock.h"
#include "quincebank/idempotency/timed_attempt.h"
#include "quincebank/messages/messages.h"
#include "quincebank/net/fiber_thread.h"
#include "request_flow.h"
#include "target_chooser.h"

namespace quincebank {
namespace {

constexpr milliseconds kCancelTimeout{1'000};
// As for all fibers that use the HTTP client and the JSON codecs.
constexpr std::size_t kStackBytes = std::size_t{128} * 1024;

verdict VerdictOf(const copy_report& copy) {
  switch (copy.outcome) {
    case copy_outcome::kNotSent:
    case copy_outcome::kRejected:
    case copy_outcome::kWrongIncarnation:
    case copy_outcome::kBlocked:
      return verdict::kNotRun;
    case copy_outcome::kAnswered:
    case copy_outcome::kGone:
      return verdict::kRan;
    case copy_outcome::kDuplicate:
    case copy_outcome::kFailed:
    case copy_outcome::kLost:
      break;
  }
  return verdict::kMayHaveRun;
}

}  // namespace

copy_report request_flow::SendHedged(keyed_request& machine,
                                     const request_action& action,
                                     milliseconds delay) {
  http_call call = AttemptCall(action.target, action.attempt);
  answer_race race(answer_);
  racing_copy first(race, call.peer, action.target.life, action.attempt);
  call.cancellation = first.cancellation();
  second_copy second;
  second.first_sent = Now();
  second.delay = delay;
  boost::fibers::fiber beside(
      boost::fibers::launch::post, std::allocator_arg, boost::fibers::fixedsize_stack(kStackBytes),
      [&] { RunGuarded("second copy", [&] { RunSecond(race, action, second); }); });
  copy_result result;
  // The second fiber refers to this one's stack, so an exception must not leave it here.
  RunGuarded("first copy", [&] { result = RunCopyAt(action.target, call, first); });
  const bool beaten = race.winner() != nullptr && !first.won();
  race.EndFirst();
  if (beaten && result.report.outcome == copy_outcome::kLost)
    CancelAtAgent(action.target, action.attempt);
  if (beaten) {
    ObserveFirst(second.first_sent, Now());
  } else {
    TakeAccount(action.target, result);
  }
  beside.join();
  if (first.won())
    ObserveFirst(second.first_sent, answer_.first_byte_at());
  if (!second.sent)
    return result.report;
  second_ = second;
  machine.OnHedge(action.step, second.attempt, second.target, second.won,
                  VerdictOf(second.result.report));
  if (!second.won)
    return result.report;
  shared_.metrics.CountHedgeWon();
  // A refusal of the first copy no longer describes the request.
  refused_as_.reset();
  return second.result.report;
}

bool request_flow::DecideSecond(const request_action& first, second_copy& second) {
  const choice_request wanted{id_, workspace_, priority_, deadline_, prefix_};
  target_chooser chooser(shared_, context_, *service_, *view_, wanted, random_.Next());
  const result<attempt_target> target = chooser.ChooseHedge({first.target.agent});
  hedge_input input;
  input.settings = hedging_;
  input.latency = shared_.hedges.LatencySummary(service_->name, hedging_);
  // The decision is about the delay that was waited for; the observed one may have grown since.
  input.latency.quantile = second.delay;
  input.repeatable = spec_.kind == request_kind::kRepeatable;
  input.elapsed = std::chrono::duration_cast<milliseconds>(Now() - second.first_sent);
  input.other_upstream = target.has_value();
  input.budget_granted = target.has_value() && shared_.retries.TryTakeToken();
  if (target) {
    second.target = target.value();
    second.attempt = NewTimedAttemptId(random_, WallNow());
  }
  second.sent = DecideHedge(input) == hedge_reason::kSend;
  if (!second.sent && input.budget_granted)
    shared_.retries.ReturnToken();
  shared_.records->Append(
      MakeHedgeRecord(id_, WallNow(), input, {ToString(first.attempt), first.target.agent},
                      {target ? ToString(second.attempt) : "", second.target.agent}));
  if (second.sent) {
    shared_.metrics.CountHedgeSent();
  } else {
    shared_.metrics.CountHedgeRefused();
  }
  return second.sent;
}

void request_flow::RunSecond(answer_race& race, const request_action& first, second_copy& second) {
  if (!race.WaitUntil(second.first_sent + second.delay) || !DecideSecond(first, second))
    return;
  http_call call = AttemptCall(second.target, second.attempt);
  call.request.headers.Set(kHedgeField, "true");
  racing_copy copy(race, call.peer, second.target.life, second.attempt);
  call.cancellation = copy.cancellation();
  second.result = RunCopyAt(second.target, call, copy);
  second.won = copy.won();
  const copy_outcome outcome = second.result.report.outcome;
  if (race.winner() != nullptr && !copy.won()) {
    if (outcome == copy_outcome::kLost)
      CancelAtAgent(second.target, second.attempt);
  } else {
    ReportContact(second.target.agent, second.result.report);
  }
}

void request_flow::CancelAtAgent(const attempt_target& target, attempt_id attempt) {
  // The agent may have ended the attempt, or be gone; nothing depends on the answer.
  (void)context_.rpc.Call(CallTo(target).peer, "agent.cancel_attempt",
                          {{"attempt", ToString(attempt)}, {"incarnation", ToString(target.life)}},
                          kCancelTimeout);
}

void request_flow::ObserveFirst(time_point sent, time_point until) {
  shared_.hedges.Observe(service_->name, hedging_,
                         std::chrono::duration_cast<milliseconds>(until - sent));
}

}  // namespace quincebank
