#include "quincebank/gateway/stream_position.h"

#include <algorithm>
#include <utility>

#include "quincebank/net/sse.h"

namespace quincebank {
namespace {

// Earlier ids that have to agree with an id where none is confirmed. One damaged id agrees with one
// other at most.
constexpr int kAgreeingIds = 2;
// Events without a confirmed id that are remembered.
constexpr std::size_t kMostMarks = 8;
// Events that are asked for again from the start. With one damaged id the fourth one is confirmed.
constexpr std::size_t kMostRepeats = 3;
// Events that are held. One damaged byte changes the ids of two events at most.
constexpr std::size_t kMostHeld = 2;

}  // namespace

stream_position::stream_position(std::optional<std::uint64_t> resume_after)
    : start_(resume_after) {}

void stream_position::BeginRun() {
  held_.clear();
  is_first_run_ = !has_events_;
  is_aligned_ = is_first_run_;
  has_repeated_last_ = false;
  repeats_left_ = 0;
  has_agreed_ = false;
  skipped_ = 0;
  disordered_ = 0;
}

event_action stream_position::OnEvent(std::string_view event) {
  if (IsSseComment(event))
    return event_action::kPassAhead;
  event_mark mark{SseEventId(event), SseFieldNames(event)};
  if (is_aligned_)
    return Accept(std::move(mark));
  if (confirmed_)
    return Locate(std::move(mark));
  return StartsAgain() ? RepeatAll(mark) : RepeatLast(mark);
}

bool stream_position::IsCompleteAtEnd() const noexcept {
  if (is_aligned_)
    return true;
  if (!confirmed_ || skipped_ > 0)
    return false;
  return std::none_of(held_.begin(), held_.end(), [this](const event_mark& mark) {
    return mark.id && *mark.id <= *confirmed_->id;
  });
}

bool stream_position::CanResume() const noexcept {
  if (is_lost_)
    return false;
  if (confirmed_ || StartsAgain())
    return true;
  const std::optional<std::uint64_t> previous = resume_after();
  return previous && marks_.back().id && *previous < *marks_.back().id;
}

bool stream_position::StartsAgain() const noexcept {
  return !confirmed_ && has_all_marks_ && marks_.size() <= kMostRepeats;
}

std::optional<std::uint64_t> stream_position::resume_after() const noexcept {
  if (confirmed_)
    return confirmed_->id;
  return StartsAgain() ? start_ : marks_[marks_.size() - 2].id;
}

std::optional<std::uint64_t> stream_position::last_id() const noexcept {
  if (confirmed_)
    return confirmed_->id;
  return marks_.empty() ? start_ : marks_.back().id;
}

bool stream_position::Agree(const event_mark& earlier,
                            const event_mark& later,
                            std::size_t distance) noexcept {
  return earlier.id && later.id && *later.id > *earlier.id && *later.id - *earlier.id == distance &&
         earlier.fields == later.fields;
}

bool stream_position::IsConfirmed(const event_mark& mark) const noexcept {
  if (confirmed_ && Agree(*confirmed_, mark, held_.size() + 1))
    return true;
  int agreeing = 0;
  std::size_t distance = 0;
  const std::vector<event_mark>& earlier = confirmed_ ? held_ : marks_;
  for (auto at = earlier.rbegin(); at != earlier.rend(); ++at)
    agreeing += Agree(*at, mark, ++distance) ? 1 : 0;
  return agreeing >= kAgreeingIds;
}

bool stream_position::BeganTooEarly(const event_mark& mark) const noexcept {
  if (has_repeated_last_)
    return !mark.id || *mark.id <= *marks_.back().id;
  return !is_first_run_ && confirmed_ && !held_.empty() && Agree(held_.back(), mark, 1) &&
         *mark.id <= *confirmed_->id;
}

event_action stream_position::Accept(event_mark mark) {
  if (BeganTooEarly(mark)) {
    // An event may have been passed under a wrong id.
    is_lost_ = true;
    return event_action::kReject;
  }
  has_repeated_last_ = false;
  const std::optional<std::uint64_t> previous = held_.empty() ? last_id() : held_.back().id;
  if (!mark.id || (previous && *mark.id <= *previous))
    ++disordered_;
  has_events_ = true;
  if (IsConfirmed(mark)) {
    confirmed_ = std::move(mark);
    marks_.clear();
    held_.clear();
    is_aligned_ = true;
    return event_action::kPass;
  }
  if (!confirmed_) {
    marks_.push_back(std::move(mark));
    if (marks_.size() > kMostMarks) {
      marks_.erase(marks_.begin());
      has_all_marks_ = false;
    }
    return event_action::kPass;
  }
  held_.push_back(std::move(mark));
  if (held_.size() <= kMostHeld)
    return event_action::kHold;
  if (!is_aligned_)
    return Reject();
  // The ids do not grow by one any more.
  confirmed_.reset();
  marks_ = std::exchange(held_, {});
  has_all_marks_ = false;
  return event_action::kPass;
}

event_action stream_position::Locate(event_mark mark) {
  if (repeats_left_ > 0) {
    if (mark.fields != confirmed_->fields)
      return Reject();
    ++skipped_;
    is_aligned_ = --repeats_left_ == 0;
    return event_action::kSkip;
  }
  const std::uint64_t last = *confirmed_->id;
  if (held_.size() != 1 || !Agree(held_.front(), mark, 1) || *held_.front().id > last)
    return Accept(std::move(mark));
  held_.clear();
  disordered_ = 0;
  ++skipped_;
  is_aligned_ = *mark.id >= last;
  if (*mark.id > last) {
    confirmed_ = std::move(mark);
    return event_action::kPassAlone;
  }
  ++skipped_;
  repeats_left_ = last - *mark.id;
  return event_action::kSkip;
}

event_action stream_position::RepeatAll(const event_mark& mark) {
  const event_mark& known = marks_[skipped_];
  if (mark.fields != known.fields)
    return Reject();
  has_agreed_ = has_agreed_ || (mark.id && mark.id == known.id);
  if (++skipped_ < marks_.size())
    return event_action::kSkip;
  if (!has_agreed_)
    return Reject();
  is_aligned_ = true;
  return event_action::kSkip;
}

event_action stream_position::RepeatLast(const event_mark& mark) {
  const event_mark& last = marks_.back();
  if (!mark.id || mark.id != last.id || mark.fields != last.fields)
    return Reject();
  is_aligned_ = true;
  has_repeated_last_ = true;
  ++skipped_;
  return event_action::kSkip;
}

event_action stream_position::Reject() noexcept {
  // The id that should have been repeated may be the damaged one.
  is_lost_ = !confirmed_;
  return event_action::kReject;
}

}  // namespace quincebank
