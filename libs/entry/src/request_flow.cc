#include "request_flow.h"

#include <algorithm>
#include <array>
#include <boost/fiber/operations.hpp>
#include <utility>

#include "quincebank/base/clock.h"
#include "quincebank/messages/messages.h"
#include "refusal.h"
#include "target_chooser.h"

namespace quincebank {
namespace {

constexpr std::string_view kServicesPrefix = "/services/";
constexpr milliseconds kStatusTimeout{1'000};
// Told to callers when nothing better is known, such as during an outage of the key-value service.
constexpr milliseconds kDefaultRetryAfter{2'000};
// While the key-value service is out, a caller learns within this time that its order has not run.
constexpr milliseconds kClaimTimeout{3'000};

std::string NewRequestId(entry_shared& shared) {
  random_source random(Mix64(shared.seed) ^ ++shared.requests);
  return ToString(NewAttemptId(random));
}

// Without a configuration nothing is known of an earlier request with the same key.
error WithVerdictOfKey(error failure, const http_headers& headers) {
  const bool keyed = headers.Find(kIdempotencyKeyField) && headers.Get(kFirstSendField) != "true";
  if (failure.code == error_code::kUnavailable && keyed)
    failure.outcome = verdict::kMayHaveRun;
  return failure;
}

}  // namespace

std::optional<service_target> ParseServiceTarget(std::string_view target) {
  if (!target.starts_with(kServicesPrefix))
    return std::nullopt;
  target.remove_prefix(kServicesPrefix.size());
  const std::size_t slash = target.find('/');
  if (slash == 0 || slash == std::string_view::npos)
    return std::nullopt;
  return service_target{std::string(target.substr(0, slash)), std::string(target.substr(slash))};
}

request_flow::request_flow(entry_shared& shared, traffic_context& context, http_exchange& exchange)
    : shared_(shared),
      context_(context),
      exchange_(exchange),
      id_(NewRequestId(shared)),
      random_(random_source::FromSystem()),
      answer_(exchange, id_),
      started_(Now()) {}

void request_flow::Run(const service_target& target) {
  const result<void> prepared = Prepare(target);
  if (!prepared) {
    Refuse(exchange_, WithVerdictOfKey(prepared.error(), exchange_.request().headers), id_,
           kDefaultRetryAfter);
    return;
  }
  shared_.retries.OnRequest();
  keyed_request machine(spec_, random_source(random_.Next()));
  request_action action = machine.Start(Now(), WallNow());
  while (action.kind != action_kind::kFinish && !answer_.caller_gone())
    action = Perform(machine, action);
  if (action.kind == action_kind::kFinish)
    Finish(action.end);
}

request_action request_flow::Perform(keyed_request& machine, const request_action& action) {
  switch (action.kind) {
    case action_kind::kChoose:
      return ChooseTarget(machine, action);
    case action_kind::kClaim:
    case action_kind::kLook: {
      const claim_decision decision = AskClaims(action);
      RecordClaim(action, decision);
      return machine.OnClaim(action.step, decision, Now());
    }
    case action_kind::kSend:
      return machine.OnCopy(action.step, Send(machine, action), Now());
    case action_kind::kFetch:
      return machine.OnCopy(action.step, Fetch(action), Now());
    case action_kind::kAskState:
      return machine.OnState(action.step, AskAgent(action, "agent.attempt_status"), Now());
    case action_kind::kBlock:
      return machine.OnState(action.step, AskAgent(action, "agent.block_attempt"), Now());
    case action_kind::kAskRetry: {
      const bool granted = shared_.retries.TryTakeToken();
      if (granted)
        shared_.metrics.CountRetry();
      return machine.OnPermission(action.step, granted, Now());
    }
    case action_kind::kWait:
      boost::this_fiber::sleep_until(action.wake);
      return machine.OnWake(action.step, Now());
    case action_kind::kNone:
    case action_kind::kFinish:
      break;
  }
  return action;
}

request_action request_flow::ChooseTarget(keyed_request& machine, const request_action& action) {
  const auto wait = context_.throttles[service_->name].Check(Now(), random_);
  if (wait) {
    retry_after_ = std::max(retry_after_, *wait);
    refused_as_ = error_code::kOverloaded;
    return machine.OnTarget(action.step, std::nullopt,
                            "service '" + service_->name + "' refuses more work for now", Now(),
                            WallNow());
  }
  const choice_request wanted{id_, workspace_, priority_, deadline_, prefix_};
  target_chooser chooser(shared_, context_, *service_, *view_, wanted, random_.Next());
  const result<attempt_target> target = chooser.Choose(action.tried);
  if (target)
    return machine.OnTarget(action.step, target.value(), {}, Now(), WallNow());
  refused_as_ = target.error().code;
  return machine.OnTarget(action.step, std::nullopt, target.error().message, Now(), WallNow());
}

http_call request_flow::CallTo(const attempt_target& target) const {
  http_call call;
  const auto agent = ParseEndpoint(target.agent);
  if (agent)
    call.peer = agent.value();
  call.connect_timeout = service_->connect_timeout;
  call.response_timeout = kSilenceLimit;
  call.idle_timeout = kSilenceLimit;
  const upstream_slot* const slot = SlotOf(target.agent);
  if (slot != nullptr)
    call.reuse_after = slot->silent_since();
  call.request.headers.Set(kIncarnationField, ToString(target.life));
  call.request.headers.Set(kConfigVersionField, std::to_string(snapshot_->config->version()));
  return call;
}

upstream_slot* request_flow::SlotOf(const std::string& agent) const {
  for (const ref_ptr<upstream_slot>& slot : view_->slots) {
    if (ToString(slot->agent()) == agent)
      return slot.get();
  }
  return nullptr;
}

http_call request_flow::AttemptCall(const attempt_target& target, attempt_id attempt) const {
  const http_request& request = exchange_.request();
  http_call call = CallTo(target);
  call.request.method = request.method;
  call.request.target = "/attempt" + path_;
  call.body = request.body;
  for (const http_header& field : request.headers) {
    if (!IsHopByHop(field.name) && !call.request.headers.Find(field.name))
      call.request.headers.Add(field.name, field.value);
  }
  call.request.headers.Remove("Host");
  // Only an entry may say these; an order that counts as repeatable would lose its protection.
  call.request.headers.Remove(kHedgeField);
  call.request.headers.Remove(kRepeatableField);
  const auto left = std::chrono::duration_cast<milliseconds>(deadline_ - Now());
  call.request.headers.Set(kAttemptField, ToString(attempt));
  call.request.headers.Set(kServiceField, service_->name);
  if (spec_.kind == request_kind::kRepeatable)
    call.request.headers.Set(kRepeatableField, "true");
  call.request.headers.Set(kWorkspaceField, workspace_);
  call.request.headers.Set(kPriorityField, std::to_string(priority_));
  call.request.headers.Set(kDeadlineField,
                           std::to_string(std::max<milliseconds::rep>(left.count(), 0)));
  return call;
}

copy_result request_flow::RunCopyAt(const attempt_target& target,
                                    const http_call& call,
                                    answer_sink& answer) {
  upstream_slot* const slot = SlotOf(target.agent);
  if (slot != nullptr)
    slot->OnSent();
  copy_result copy = RunCopy(context_.http, call, answer, slot);
  if (slot != nullptr && copy.report.outcome == copy_outcome::kAnswered)
    view_->prompts->Note(slot->name(), prefix_.view());
  return copy;
}

void request_flow::TakeAccount(const attempt_target& target, const copy_result& copy) {
  adaptive_throttle& backoff = context_.throttles[service_->name];
  if (copy.report.outcome == copy_outcome::kAnswered)
    backoff.OnAccepted(Now());
  if (copy.refused_as == error_code::kOverloaded)
    backoff.OnRejected(copy.retry_after, Now());
  retry_after_ = std::max(retry_after_, copy.retry_after);
  refused_as_ = copy.refused_as;
  ReportContact(target.agent, copy.report);
}

copy_report request_flow::Send(keyed_request& machine, const request_action& action) {
  const bool first = !std::exchange(first_sent_, true);
  if (!first || !service_->hedging.enabled)
    return SendAlone(action);
  hedging_ = HedgeSettingsOf(service_->hedging);
  const auto delay = HedgeDelay(hedging_, shared_.hedges.LatencySummary(service_->name, hedging_),
                                spec_.kind == request_kind::kRepeatable);
  if (delay)
    return SendHedged(machine, action, *delay);
  const time_point sent = Now();
  copy_report report = SendAlone(action);
  if (answer_.taken() > 0 && spec_.kind == request_kind::kRepeatable)
    ObserveFirst(sent, answer_.first_byte_at());
  return report;
}

copy_report request_flow::SendAlone(const request_action& action) {
  const http_call call = AttemptCall(action.target, action.attempt);
  answer_.SetSource(call.peer, action.target.life, action.attempt, 0);
  const copy_result copy = RunCopyAt(action.target, call, answer_);
  TakeAccount(action.target, copy);
  return copy.report;
}

copy_report request_flow::Fetch(const request_action& action) {
  http_call call = CallTo(action.target);
  call.request.target =
      "/attempts/" + ToString(action.attempt) + "?offset=" + std::to_string(action.offset);
  answer_.SetSource(call.peer, action.target.life, action.attempt, action.offset);
  const copy_result copy = RunCopy(context_.http, call, answer_, SlotOf(action.target.agent));
  ReportContact(action.target.agent, copy.report);
  return copy.report;
}

void request_flow::ReportContact(const std::string& agent, const copy_report& report) {
  const upstream_slot* const slot = SlotOf(agent);
  if (slot == nullptr || answer_.caller_gone())
    return;
  if (report.outcome == copy_outcome::kNotSent)
    shared_.directory->Report(slot->name(), contact::kRefused);
  if (report.outcome == copy_outcome::kLost)
    shared_.directory->Report(slot->name(), contact::kSilent);
}

claim_decision request_flow::AskClaims(const request_action& action) {
  claim_request request;
  request.value = action.value;
  request.expected = action.expected;
  request.look = action.kind == action_kind::kLook;
  request.deadline = std::min(deadline_, Now() + kClaimTimeout);
  return shared_.claims->Decide(spec_.key, request);
}

state_report request_flow::AskAgent(const request_action& action, const std::string& method) {
  state_report report;
  const auto answer = context_.rpc.Call(
      CallTo(action.target).peer, method,
      {{"attempt", ToString(action.attempt)}, {"incarnation", ToString(action.target.life)}},
      kStatusTimeout);
  const boost::json::object* const object = answer ? answer.value().if_object() : nullptr;
  const boost::json::value* const state = object ? object->if_contains("state") : nullptr;
  if (state != nullptr && state->is_string())
    report.state = ParseAttemptState(std::string_view(state->get_string()));
  return report;
}

void request_flow::Finish(const request_end& end) {
  if (end.release)
    shared_.claims->Release(spec_.key, *end.release);
  RecordEnd(end);
  CountEnd(end);
  // Once the caller has a part of the answer, only a cut connection says that it is not whole.
  if (end.answered || answer_.started())
    return;
  error failure = end.failure;
  if (refused_as_ && failure.outcome == verdict::kNotRun)
    failure.code = *refused_as_;
  const bool retry = failure.code != error_code::kInvalidArgument &&
                     (failure.outcome == verdict::kNotRun || spec_.kind == request_kind::kKeyed);
  Refuse(exchange_, failure, id_,
         retry ? std::max(retry_after_, kDefaultRetryAfter) : milliseconds(0));
}

void request_flow::CountEnd(const request_end& end) {
  const time_point now = Now();
  request_outcome outcome;
  outcome.service = service_->name;
  outcome.workspace = workspace_;
  outcome.outcome = end.outcome;
  outcome.answered = end.answered;
  outcome.caller_fault = !end.answered && end.failure.code == error_code::kInvalidArgument;
  outcome.first_byte = (answer_.taken() > 0 ? answer_.first_byte_at() : now) - started_;
  outcome.total = now - started_;
  shared_.metrics.Record(outcome, snapshot_->objectives.get(), now);
}

void request_flow::RecordClaim(const request_action& action, const claim_decision& decision) {
  static constexpr std::array<std::string_view, 5> kOutcomes{"owned", "held", "absent", "used",
                                                             "not-run"};
  decision_record record;
  record.at = WallNow();
  record.request = id_;
  record.kind = "claim";
  record.input = {{"attempt", ToString(action.value.attempt)},
                  {"agent", action.value.target.agent},
                  {"look", action.kind == action_kind::kLook},
                  {"moved_from", action.expected ? ToString(*action.expected) : ""}};
  record.outcome = {{"claim", kOutcomes.at(static_cast<std::size_t>(decision.outcome))},
                    {"holder", ToString(decision.holder.attempt)},
                    {"reason", decision.failure.message}};
  shared_.records->Append(std::move(record));
}

void request_flow::RecordEnd(const request_end& end) {
  static constexpr std::array<std::string_view, 3> kKinds{"keyed", "plain", "repeatable"};
  decision_record record;
  record.at = WallNow();
  record.request = id_;
  record.kind = "request";
  record.input = {{"service", service_->name},
                  {"workspace", workspace_},
                  {"method", exchange_.request().method},
                  {"path", path_},
                  {"kind", kKinds.at(static_cast<std::size_t>(spec_.kind))},
                  {"config_version", snapshot_->config->version()}};
  record.outcome = {
      {"verdict", ToString(end.outcome)},
      {"answered", end.answered},
      {"status", answer_.status()},
      {"reason", end.failure.message},
      {"duration_ms", std::chrono::duration_cast<milliseconds>(Now() - started_).count()}};
  if (second_) {
    record.outcome["hedge"] = {{"won", second_->won},
                               {"attempt", ToString(second_->attempt)},
                               {"agent", second_->target.agent},
                               {"message", second_->result.report.message}};
  }
  shared_.records->Append(std::move(record));
}

}  // namespace quincebank
