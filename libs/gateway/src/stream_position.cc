#include "quincebank/gateway/stream_position.h"

#include "quincebank/net/sse.h"

namespace quincebank {

void stream_position::BeginRun() {
  is_aligned_ = !has_events_;
  skipped_id_.reset();
  skipped_ = 0;
  disordered_ = 0;
}

event_action stream_position::OnEvent(std::string_view event) {
  if (IsSseComment(event))
    return event_action::kPass;
  const std::optional<std::uint64_t> id = SseEventId(event);
  if (!is_aligned_)
    return Align(id);
  Advance(id);
  return event_action::kPass;
}

event_action stream_position::Align(std::optional<std::uint64_t> id) {
  if (!id || !last_id_ || (skipped_id_ && *id <= *skipped_id_))
    return Reject();
  if (*id > *last_id_) {
    if (!HasReachedLast())
      return Reject();
    is_aligned_ = true;
    Advance(id);
    return event_action::kPass;
  }
  // The client has no event between the two.
  if (*id != *last_id_ && (!resume_after_ || *id > *resume_after_))
    return Reject();
  skipped_id_ = id;
  ++skipped_;
  return event_action::kSkip;
}

event_action stream_position::Reject() {
  // The id that should have been repeated may be the wrong one.
  if (resume_after_ != last_id_)
    is_known_ = false;
  return event_action::kReject;
}

bool stream_position::Follows(std::uint64_t id) const noexcept {
  if (!last_id_)
    return !has_events_ && id == 0;
  return id != 0 && id - 1 == *last_id_;
}

void stream_position::Advance(std::optional<std::uint64_t> id) {
  const bool is_higher = id && (last_id_ ? *id > *last_id_ : !has_events_);
  if (id && Follows(*id)) {
    is_known_ = true;
    resume_after_ = id;
  } else if (is_higher && is_known_) {
    resume_after_ = last_id_;
  } else {
    is_known_ = false;
    disordered_ += is_higher ? 0 : 1;
  }
  last_id_ = id;
  has_events_ = true;
}

}  // namespace quincebank
