// What attempts show of an upstream, for the other entries.

#include <algorithm>
#include <utility>

#include "forward_flow.h"
#include "quincebank/base/clock.h"

namespace quincebank {
namespace {

// Passes of its group within which an engine with a free slot sends the first event of a request.
constexpr std::uint64_t kFirstEventPasses = 4;
// Time between two checks for these passes.
constexpr milliseconds kPassCheckPeriod{100};

}  // namespace

milliseconds forward_flow::BeginSilenceWatch(milliseconds timeout) {
  rest_of_silence_ = milliseconds(0);
  silence_began_at_ = Now();
  sent_at_pass_ = group_liveness_ ? group_liveness_->last_pass() : 0;
  if (!shares_observations_)
    return timeout;
  const milliseconds report_time = route_->latency_objective;
  if (report_time >= timeout)
    return timeout;
  rest_of_silence_ = timeout - report_time;
  return report_time;
}

std::optional<milliseconds> forward_flow::ReportSilence() {
  if (rest_of_silence_ <= milliseconds(0))
    return std::nullopt;
  // While the whole group stands still, its engines are silent through no fault of their own.
  if (sent_at_pass_ != 0 && group_liveness_->last_pass() < sent_at_pass_ + kFirstEventPasses) {
    const milliseconds wait = std::min(rest_of_silence_, kPassCheckPeriod);
    rest_of_silence_ -= wait;
    return wait;
  }
  reported_silent_ = true;
  attempt_health_->observations().OnSilentAttempt(silence_began_at_, Now());
  shared_.engine_loads->SendObservations();
  return std::exchange(rest_of_silence_, milliseconds(0));
}

void forward_flow::BeginObservation(const known_upstream& upstream) {
  attempt_health_ = upstream.health;
  rest_of_silence_ = milliseconds(0);
  reported_silent_ = false;
  began_to_answer_ = false;
  shares_observations_ =
      upstream.record.group && shared_.engine_loads != nullptr && shared_.engine_loads->enabled();
}

void forward_flow::ObserveProgress() {
  rest_of_silence_ = milliseconds(0);
  silence_began_at_ = Now();
  if (std::exchange(reported_silent_, false))
    attempt_health_->observations().OnSilentAttemptEnd(silence_began_at_);
  // An engine that takes no new requests may still finish those that run.
  if (!std::exchange(began_to_answer_, true))
    attempt_health_->observations().OnServed(silence_began_at_);
}

void forward_flow::ObserveOutcome(const attempt_result& attempt) {
  const time_point now = Now();
  observation_exchange& observations = attempt_health_->observations();
  if (std::exchange(reported_silent_, false))
    observations.OnSilentAttemptEnd(now);
  // A rank that refuses requests because another one is missing is not silent itself.
  if (attempt.outcome == attempt_outcome::kServed && !began_to_answer_)
    observations.OnServed(now);
  else if (attempt.outcome == attempt_outcome::kStalled && !attempt.group_stalled)
    observations.OnTimeout(silence_began_at_, now);
  else if ((attempt.outcome == attempt_outcome::kFailed ||
            attempt.outcome == attempt_outcome::kUnreachable) &&
           attempt_health_->IsEjected(now))
    observations.OnFailure(now);
}

}  // namespace quincebank
