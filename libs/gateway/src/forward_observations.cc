// What attempts show of an upstream, for the other entries.

#include <utility>

#include "forward_flow.h"
#include "quincebank/base/clock.h"
#include "quincebank/placement/attempt_timeouts.h"

namespace quincebank {

milliseconds forward_flow::BeginSilenceWatch(milliseconds timeout) {
  rest_of_silence_ = milliseconds(0);
  silence_began_at_ = Now();
  if (!shares_observations_)
    return timeout;
  const milliseconds report_time = SilenceReportTime(*route_, GroupPassTime());
  if (report_time >= timeout)
    return timeout;
  rest_of_silence_ = timeout - report_time;
  return report_time;
}

std::optional<milliseconds> forward_flow::ReportSilence() {
  if (rest_of_silence_ <= milliseconds(0))
    return std::nullopt;
  reported_silent_ = true;
  attempt_health_->observations().OnSilentAttempt(silence_began_at_, Now());
  shared_.engine_loads->SendObservations();
  return std::exchange(rest_of_silence_, milliseconds(0));
}

void forward_flow::BeginObservation(const known_upstream& upstream) {
  attempt_health_ = upstream.health;
  rest_of_silence_ = milliseconds(0);
  reported_silent_ = false;
  shares_observations_ =
      upstream.record.group && shared_.engine_loads != nullptr && shared_.engine_loads->enabled();
}

void forward_flow::ObserveProgress() {
  rest_of_silence_ = milliseconds(0);
  silence_began_at_ = Now();
  if (std::exchange(reported_silent_, false))
    attempt_health_->observations().OnSilentAttemptEnd(silence_began_at_);
  attempt_health_->observations().OnServed(silence_began_at_);
}

void forward_flow::ObserveOutcome(const attempt_result& attempt) {
  const time_point now = Now();
  observation_exchange& observations = attempt_health_->observations();
  if (std::exchange(reported_silent_, false))
    observations.OnSilentAttemptEnd(now);
  // A rank that refuses requests because another one is missing is not silent itself.
  if (attempt.outcome == attempt_outcome::kServed)
    observations.OnServed(now);
  else if (attempt.outcome == attempt_outcome::kStalled && !attempt.group_stalled)
    observations.OnTimeout(silence_began_at_, now);
  else if ((attempt.outcome == attempt_outcome::kFailed ||
            attempt.outcome == attempt_outcome::kUnreachable) &&
           attempt_health_->IsEjected(now))
    observations.OnFailure(now);
}

}  // namespace quincebank
