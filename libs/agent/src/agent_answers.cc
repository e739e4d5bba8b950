// The part of the agent that sends answers and refusals to entries.

#include <array>
#include <charconv>

#include "agent_impl.h"
#include "quincebank/base/clock.h"
#include "quincebank/messages/header_names.h"

namespace quincebank {
void agent_service::impl::Tail(http_exchange& exchange, attempt_id attempt, std::uint64_t offset) {
  const auto found = running_.find(attempt);
  const ref_ptr<attempt_signal> signal = found == running_.end() ? nullptr : found->second.signal;
  bool head_sent = false;
  std::uint64_t seen = 0;
  for (;;) {
    const answer_part part = ledger_.Read(attempt, offset, Now());
    const bool complete = part.complete;
    const bool failed = part.state != attempt_state::kRunning && part.state != attempt_state::kDone;
    if (failed || !part.available) {
      exchange.Write(Encode(FailureOf(failed ? part.state : attempt_state::kAnswerGone)));
      exchange.Finish();
      return;
    }
    if (!SendNew(exchange, part, head_sent, offset))
      return;
    if (complete) {
      if (exchange.Write(Encode(attempt_end{Load()})))
        exchange.Finish();
      return;
    }
    const std::uint64_t before = seen;
    seen = signal ? signal->WaitFor(seen, kHeartbeatInterval) : seen;
    if (seen == before && !exchange.Write(Encode(attempt_heartbeat{Load()})))
      return;
  }
}

bool agent_service::impl::SendNew(http_exchange& exchange,
                                  const answer_part& part,
                                  bool& head_sent,
                                  std::uint64_t& offset) {
  std::string text;
  if (!head_sent && part.status != 0) {
    text = "event: head\ndata: " + std::string(part.headers) + "\n\n";
    head_sent = true;
  }
  if (!part.bytes.empty()) {
    offset += part.bytes.size();
    text += Encode(attempt_body{std::string(part.bytes)});
  }
  if (text.empty())
    return true;
  return exchange.Write(text);
}

void agent_service::impl::ReadAttempt(http_exchange& exchange) {
  const auto target = ParseTarget(exchange.request().target);
  constexpr std::string_view kPrefix = "/attempts/";
  const auto attempt =
      target ? ParseAttemptId(std::string_view(target->path).substr(kPrefix.size())) : std::nullopt;
  const auto wanted = ParseIncarnation(exchange.request().headers.Get(kIncarnationField));
  const std::string_view digits = target ? target->Query("offset").value_or("0") : "";
  std::uint64_t offset = 0;
  const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), offset);
  if (!attempt || !wanted || ec != std::errc()) {
    Reject(exchange, {MakeError(error_code::kInvalidArgument,
                                "expected /attempts/<id>?offset=N and an incarnation")});
    return;
  }
  const attempt_state state = ledger_.Status(*attempt, *wanted, Now());
  if (state != attempt_state::kRunning && state != attempt_state::kDone) {
    Reject(exchange, FailureOf(state));
    return;
  }
  if (exchange.StartStream(200, {{"Content-Type", "text/event-stream"}}))
    Tail(exchange, *attempt, offset);
}

void agent_service::impl::Reject(http_exchange& exchange, const attempt_failure& failure) const {
  if (!exchange.StartStream(200, {{"Content-Type", "text/event-stream"}}))
    return;
  if (exchange.Write(Encode(failure)))
    exchange.Finish();
}

attempt_failure agent_service::impl::FailureOf(attempt_state state) const {
  struct refusal {
    attempt_state state;
    error_code code;
    std::optional<begin_outcome> ledger;
    bool gone;
  };
  static constexpr std::array<refusal, 8> kRefusals{{
      {attempt_state::kNeverSeen, error_code::kNotFound, std::nullopt, false},
      {attempt_state::kRunning, error_code::kConflict, begin_outcome::kAlreadyRunning, false},
      {attempt_state::kDone, error_code::kConflict, begin_outcome::kDone, false},
      {attempt_state::kAnswerGone, error_code::kNotFound, std::nullopt, true},
      {attempt_state::kMayHaveRun, error_code::kUnavailable, begin_outcome::kMayHaveRun, false},
      {attempt_state::kBlocked, error_code::kConflict, begin_outcome::kBlocked, false},
      {attempt_state::kForgotten, error_code::kNotFound, begin_outcome::kUntimely, false},
      {attempt_state::kWrongIncarnation, error_code::kStale, begin_outcome::kWrongIncarnation,
       false},
  }};
  attempt_failure failure;
  for (const refusal& known : kRefusals) {
    if (known.state != state)
      continue;
    failure.failure =
        MakeError(known.code, "attempt is " + std::string(ToString(state)), VerdictOf(state));
    failure.refused_by_ledger = known.ledger;
    failure.answer_gone = known.gone;
  }
  failure.load = Load();
  return failure;
}

attempt_failure agent_service::impl::Refusal(const rejection& refused) const {
  refused_.Add();
  attempt_failure failure;
  failure.failure = refused.failure;
  failure.retry_after = refused.retry_after;
  failure.load = Load();
  return failure;
}

}  // namespace quincebank
