#include "caller_answer.h"

#include "quincebank/messages/header_names.h"

namespace quincebank {

void caller_answer::SetSource(const endpoint& agent,
                              incarnation life,
                              attempt_id attempt,
                              std::uint64_t offset) {
  locator_ = {agent, life, attempt, offset};
}

bool caller_answer::Head(const attempt_head& head) {
  if (started_)
    return true;
  started_ = true;
  status_ = head.status;
  streaming_ = head.headers.Get("Content-Type").starts_with("text/event-stream");
  http_headers headers = head.headers;
  headers.Set(kVerdictField, std::string(ToString(verdict::kRan)));
  headers.Set(kRequestField, request_);
  return Keep(exchange_.StartStream(head.status, headers));
}

bool caller_answer::Body(std::string_view bytes) {
  if (taken_ == 0)
    first_byte_at_ = std::chrono::steady_clock::now();
  taken_ += bytes.size();
  if (!streaming_)
    return Keep(exchange_.Write(bytes));
  std::string text;
  events_.Feed(bytes, [&](std::string_view event) {
    locator_.offset += event.size();
    text += "id: " + Encode(locator_) + "\n";
    text += event;
  });
  return Keep(exchange_.Write(text));
}

bool caller_answer::End() {
  // An unfinished event at the end belongs to the answer as well.
  if (streaming_ && !events_.rest().empty() && !Keep(exchange_.Write(events_.rest())))
    return false;
  return Keep(exchange_.Finish());
}

}  // namespace quincebank
