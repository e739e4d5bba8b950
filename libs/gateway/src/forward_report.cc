// Answers of the entry's own, and the log lines of a request.

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

std::string Seconds(milliseconds duration) {
  std::array<char, 24> text{};
  constexpr double kMillisPerSecond = 1'000;
  const int length = std::snprintf(text.data(), text.size(), "%.3f",
                                   static_cast<double>(duration.count()) / kMillisPerSecond);
  return {text.data(), static_cast<std::size_t>(length)};
}

}  // namespace

void forward_flow::Answer(const own_answer& answer) {
  http_response response{answer.status, {{"Content-Type", "application/json"}}, {}};
  if (answer.retry_after.count() > 0) {
    // Clients that were refused together must not come back together.
    const double spread = 0.75 + shared_.random.Unit() / 2;
    const milliseconds wait(
        static_cast<std::int64_t>(spread * static_cast<double>(answer.retry_after.count())));
    response.headers.Set("Retry-After", Seconds(wait));
  }
  shared_.codec.TagOwnResponse(response, request_.attempt_id);
  response.body = R"({"error":")" +
                  std::string(answer.status == 503   ? "unavailable"
                              : answer.status == 404 ? "not-found"
                              : answer.status == 401 ? "unauthorized"
                                                     : "upstream-failed") +
                  "\"}";
  counter& counted = answer.status == 503  ? shared_.metrics.refused
                     : answer.status < 500 ? shared_.metrics.rejected
                                           : shared_.metrics.failed;
  counted.Add();
  LogEnd(answer.status == 503  ? "refused"
         : answer.status < 500 ? "rejected"
                               : "failed",
         answer.status, answer.reason);
  exchange_.Respond(std::move(response));
}

void forward_flow::LogEnd(std::string_view outcome, int status, std::string_view reason) {
  event_line line("request.end");
  line.Add("request", request_.attempt_id)
      .Add("outcome", outcome)
      .Add("status", status)
      .Add("verdict", ToString(ran_))
      .Add("sends", sends_)
      .Add("ms", Elapsed());
  if (!reason.empty())
    line.Add("reason", reason);
  if (route_ != nullptr)
    line.Add("route", route_->name);
  if (first_byte_)
    line.Add("first_byte_ms", std::chrono::duration_cast<milliseconds>(*first_byte_ - started_));
  line.Add("config", catalog_ ? catalog_->version() : 0)
      .Add("store_revision", snapshot_->store_revision);
  shared_.log.Write(std::move(line));
}

void forward_flow::LogAttempt(const known_upstream& upstream,
                              const attempt_report& report,
                              milliseconds took) {
  event_line line("request.attempt");
  line.Add("request", request_.attempt_id)
      .Add("upstream", upstream.record.id)
      .Add("outcome", ToString(report.outcome))
      .Add("verdict", ToString(report.ran))
      .Add("in_flight", upstream.health->in_flight())
      .Add("failure_share", upstream.health->failure_share())
      .Add("upstream_revision", upstream.record.store_revision)
      .Add("ms", took);
  line.Add("load", sent_to_.in_flight + sent_to_.reported.value_or(0))
      .Add("limit", sent_to_.limit)
      .Add("asked", asked_);
  if (sent_to_.reported)
    line.Add("told_ms", told_age_);
  if (!report.reason.empty())
    line.Add("reason", report.reason);
  if (last_event_)
    line.Add("last_event", *last_event_);
  shared_.log.Write(std::move(line));
}

}  // namespace quincebank
