// Responses that the entry generates itself, and the log lines of a request.

#include <array>
#include <cstdio>
#include <utility>

#include "forward_flow.h"
#include "quincebank/base/clock.h"

namespace quincebank {
namespace {

std::string_view ToString(attempt_outcome outcome) noexcept {
  constexpr std::array<std::string_view, 7> kNames{"served", "full",    "unreachable", "replaced",
                                                   "failed", "stalled", "abandoned"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

milliseconds Scale(milliseconds duration, double factor) {
  return milliseconds(static_cast<std::int64_t>(factor * static_cast<double>(duration.count())));
}

std::string FormatSeconds(milliseconds duration) {
  std::array<char, 24> text{};
  constexpr double kMillisPerSecond = 1'000;
  const int length = std::snprintf(text.data(), text.size(), "%.3f",
                                   static_cast<double>(duration.count()) / kMillisPerSecond);
  return {text.data(), static_cast<std::size_t>(length)};
}

}  // namespace

void forward_flow::SendOwnResponse(const gateway_response& own_response) {
  http_response response{own_response.status, {{"Content-Type", "application/json"}}, {}};
  if (own_response.retry_after.count() > 0) {
    // Clients that were rejected at the same time must not all retry at the same time.
    const double jitter = 0.75 + shared_.random.Unit() / 2;
    const bool spread = own_response.retry_spread.count() > 0;
    const milliseconds wait =
        spread ? own_response.retry_after + Scale(own_response.retry_spread, shared_.random.Unit())
               : Scale(own_response.retry_after, jitter);
    response.headers.Set("Retry-After", FormatSeconds(wait));
  }
  shared_.codec.TagOwnResponse(response, request_.attempt_id);
  response.body = R"({"error":")" +
                  std::string(own_response.status == 503   ? "unavailable"
                              : own_response.status == 404 ? "not-found"
                              : own_response.status == 401 ? "unauthorized"
                                                           : "upstream-failed") +
                  "\"}";
  counter& outcome_counter = own_response.status == 503  ? shared_.metrics.refused
                             : own_response.status < 500 ? shared_.metrics.rejected
                                                         : shared_.metrics.failed;
  outcome_counter.Add();
  if (own_response.reason == kBlockedReason)
    shared_.metrics.blocked.Add();
  LogRequestEnd(own_response.status == 503  ? "refused"
                : own_response.status < 500 ? "rejected"
                                            : "failed",
                own_response.status, own_response.reason);
  exchange_.Respond(std::move(response));
}

void forward_flow::LogUnfinished() {
  if (!end_logged_)
    LogRequestEnd("cut", status_, kStoppingReason);
}

void forward_flow::LogRequestEnd(std::string_view outcome, int status, std::string_view reason) {
  end_logged_ = true;
  event_line line("request.end");
  line.Add("request", request_.attempt_id)
      .Add("outcome", outcome)
      .Add("status", status)
      .Add("verdict", ToString(verdict_))
      .Add("sends", sends_)
      .Add("ms", Elapsed());
  if (!reason.empty())
    line.Add("reason", reason);
  if (route_ != nullptr)
    line.Add("route", route_->name);
  if (first_byte_at_)
    line.Add("first_byte_ms",
             std::chrono::duration_cast<milliseconds>(*first_byte_at_ - started_at_));
  AddHeldBackFields(line);
  line.Add("config", catalog_ ? catalog_->version() : 0)
      .Add("store_revision", snapshot_->store_revision);
  shared_.log.Write(std::move(line));
}

void forward_flow::CountStreamEvents(const attempt_result& attempt) const {
  if (!attempt.delivered)
    shared_.metrics.dropped_events.Add(position_.held());
  shared_.metrics.skipped_events.Add(position_.skipped());
  shared_.metrics.disordered_events.Add(position_.disordered());
}

void forward_flow::LogAttempt(const known_upstream& upstream,
                              const attempt_result& attempt,
                              milliseconds duration) {
  event_line line("request.attempt");
  line.Add("request", request_.attempt_id)
      .Add("upstream", upstream.record.id)
      .Add("outcome", ToString(attempt.outcome))
      .Add("verdict", ToString(attempt.ran))
      .Add("in_flight", upstream.health->in_flight())
      .Add("failure_share", upstream.health->failure_share())
      .Add("upstream_revision", upstream.record.store_revision)
      .Add("ms", duration);
  line.Add("load", chosen_candidate_.in_flight + chosen_candidate_.reported.value_or(0))
      .Add("limit", chosen_candidate_.limit)
      .Add("asked", queried_engines_);
  if (chosen_candidate_.reported)
    line.Add("told_ms", load_age_);
  if (upstream.health->observations().IsAvoided(Now()))
    line.Add("avoided", true);
  AddCost(line);
  if (!attempt.reason.empty())
    line.Add("reason", attempt.reason);
  if (resumed_after_)
    line.Add("resumed_after", *resumed_after_);
  if (position_.last_id())
    line.Add("last_event", *position_.last_id());
  if (position_.skipped() > 0)
    line.Add("skipped_events", position_.skipped());
  if (!attempt.delivered && position_.held() > 0)
    line.Add("dropped_events", position_.held());
  if (position_.disordered() > 0)
    line.Add("disordered_events", position_.disordered());
  shared_.log.Write(std::move(line));
}

}  // namespace quincebank
