#include "stream_resume.h"

#include "attempt_copy.h"
#include "quincebank/messages/messages.h"
#include "refusal.h"

namespace quincebank {
namespace {

// A lost connection is tried again; the agent may be gone for good.
constexpr int kMaxFetches = 3;
constexpr milliseconds kConnectTimeout{1'000};

error ErrorOf(const copy_report& report) {
  // The attempt began, or the caller would hold no locator of it.
  return MakeError(
      report.outcome == copy_outcome::kGone ? error_code::kNotFound : error_code::kUnavailable,
      "the stream can't be resumed: " + report.message, verdict::kMayHaveRun);
}

}  // namespace

void ResumeStream(entry_shared& shared,
                  traffic_context& context,
                  http_exchange& exchange,
                  const stream_locator& from) {
  const std::string request = ToString(from.attempt);
  const auto snapshot = shared.snapshots.Get();
  caller_answer answer(exchange, request);
  copy_result last;
  for (int i = 0; i < kMaxFetches && !answer.caller_gone(); ++i) {
    const std::uint64_t offset = from.offset + answer.taken();
    http_call call;
    call.peer = from.agent;
    call.connect_timeout = kConnectTimeout;
    call.response_timeout = kSilenceLimit;
    call.idle_timeout = kSilenceLimit;
    call.request.target = "/attempts/" + request + "?offset=" + std::to_string(offset);
    call.request.headers.Set(kIncarnationField, ToString(from.life));
    answer.SetSource(from.agent, from.life, from.attempt, offset);
    last = RunCopy(context.http, call, answer, nullptr);
    if (last.report.outcome != copy_outcome::kLost && last.report.outcome != copy_outcome::kNotSent)
      break;
  }
  if (last.report.outcome != copy_outcome::kAnswered && !answer.started())
    Refuse(exchange, ErrorOf(last.report), request);
}

}  // namespace quincebank
