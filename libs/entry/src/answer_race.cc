#include "answer_race.h"

namespace quincebank {

bool answer_race::Claim(racing_copy& copy) {
  if (winner_ != nullptr)
    return winner_ == &copy;
  winner_ = &copy;
  answer_.SetSource(copy.agent_, copy.life_, copy.attempt_, 0);
  if (copy.head_)
    answer_.Head(*copy.head_);
  racing_copy* const other = &copy == first_ ? second_ : first_;
  if (other != nullptr)
    other->cancellation_->Cancel();
  changed_.notify_all();
  return true;
}

void answer_race::EndFirst() {
  first_ended_ = true;
  changed_.notify_all();
}

bool answer_race::WaitUntil(time_point until) {
  std::unique_lock lock(mutex_);
  return !changed_.wait_until(lock, until, [this] { return winner_ != nullptr || first_ended_; });
}

racing_copy::racing_copy(answer_race& race,
                         const endpoint& agent,
                         incarnation life,
                         attempt_id attempt)
    : race_(race), agent_(agent), life_(life), attempt_(attempt) {
  (race_.first_ == nullptr ? race_.first_ : race_.second_) = this;
}

racing_copy::~racing_copy() {
  (race_.first_ == this ? race_.first_ : race_.second_) = nullptr;
}

bool racing_copy::Head(const attempt_head& head) {
  if (won())
    return race_.answer().Head(head);
  head_ = head;
  return !closed();
}

bool racing_copy::Body(std::string_view bytes) {
  return race_.Claim(*this) && race_.answer().Body(bytes);
}

bool racing_copy::End() {
  return race_.Claim(*this) && race_.answer().End();
}

bool racing_copy::closed() const noexcept {
  return (race_.winner() != nullptr && !won()) || race_.answer().closed();
}

std::uint64_t racing_copy::taken() const noexcept {
  return won() ? race_.answer().taken() : 0;
}

}  // namespace quincebank
