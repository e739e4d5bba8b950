#include "attempt_copy.h"

#include <optional>
#include <utility>

#include "quincebank/messages/messages.h"

namespace quincebank {
namespace {

/// Tells the other threads of a silence, which `http_client` sees for its own connections only.
void NoteSilence(upstream_slot* slot, const error& failure) {
  if (slot != nullptr && failure.code == error_code::kTimeout)
    slot->OnSilent(std::chrono::steady_clock::now() - kSilenceLimit);
}

/// Takes the events of one answer until it ends.
class event_reader {
 public:
  event_reader(answer_sink& answer, upstream_slot* slot) : answer_(answer), slot_(slot) {}

  void Take(std::string_view text) {
    if (result_)
      return;
    auto event = DecodeAttemptEvent(text);
    if (!event) {
      Lost(event.error().message);
      return;
    }
    std::visit([this](auto& known) { On(known); }, event.value());
    if (!result_ && answer_.closed())
      Lost("the answer is not taken any more");
  }

  void Lost(std::string message) {
    result_.emplace();
    result_->report.outcome = copy_outcome::kLost;
    result_->report.message = std::move(message);
  }

  [[nodiscard]] const std::optional<copy_result>& result() const noexcept { return result_; }

 private:
  void OnLoad(const agent_load& load) {
    if (slot_ != nullptr)
      slot_->OnLoad(load, std::chrono::steady_clock::now());
  }
  void On(const attempt_heartbeat& event) { OnLoad(event.load); }
  void On(const attempt_head& event) { answer_.Head(event); }
  void On(const attempt_body& event) { answer_.Body(event.bytes); }
  void On(const attempt_end& event) {
    OnLoad(event.load);
    if (!answer_.End()) {
      Lost("the answer is not taken any more");
      return;
    }
    result_.emplace();
    result_->report.outcome = copy_outcome::kAnswered;
  }
  void On(const attempt_failure& event) {
    OnLoad(event.load);
    result_.emplace();
    result_->report.message = event.failure.message;
    result_->retry_after = event.retry_after;
    result_->refused_as = event.failure.code;
    if (event.refused_by_ledger) {
      result_->report.outcome = CopyOutcomeOf(*event.refused_by_ledger);
    } else if (event.answer_gone) {
      result_->report.outcome = copy_outcome::kGone;
    } else if (event.failure.outcome == verdict::kNotRun) {
      result_->report.outcome = copy_outcome::kRejected;
    } else {
      result_->report.outcome = copy_outcome::kFailed;
    }
  }

  answer_sink& answer_;
  upstream_slot* slot_;
  std::optional<copy_result> result_;
};

}  // namespace

copy_result RunCopy(http_client& http,
                    const http_call& call,
                    answer_sink& answer,
                    upstream_slot* slot) {
  event_reader reader(answer, slot);
  copy_result failed;
  auto opened = http.Open(call);
  if (!opened) {
    NoteSilence(slot, opened.error());
    failed.report.outcome =
        opened.error().outcome == verdict::kNotRun ? copy_outcome::kNotSent : copy_outcome::kLost;
    failed.report.message = opened.error().message;
    failed.report.delivered = answer.taken();
    return failed;
  }
  sse_splitter events;
  while (!reader.result()) {
    const auto piece = opened.value()->ReadSome();
    if (!piece) {
      NoteSilence(slot, piece.error());
      reader.Lost(piece.error().message);
    } else if (!piece.value()) {
      reader.Lost("agent ended the answer early");
    } else {
      events.Feed(*piece.value(), [&](std::string_view event) { reader.Take(event); });
    }
  }
  // Reads the end of the body, so that the connection can be used again.
  if (reader.result()->report.outcome != copy_outcome::kLost)
    (void)opened.value()->ReadSome();
  copy_result finished = *reader.result();
  finished.report.delivered = answer.taken();
  return finished;
}

}  // namespace quincebank
