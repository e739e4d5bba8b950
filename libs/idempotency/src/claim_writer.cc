#include "quincebank/idempotency/claim_writer.h"

#include <algorithm>
#include <utility>

#include "quincebank/base/digest.h"

namespace quincebank {
namespace {
// Swaps without a conflict after which a writer takes itself for the only one.
constexpr std::uint32_t kContendedSwaps = 8;
}  // namespace

claim_writer::claim_writer(std::string bucket, claim_writer_options options)
    : bucket_(std::move(bucket)),
      options_(options),
      random_(options_.seed ^ StableHash64(bucket_)) {}

std::uint64_t claim_writer::Add(claim_request request, time_point now) {
  pending_claim entry;
  entry.ticket = next_ticket_++;
  entry.request = std::move(request);
  entry.read_after = next_operation_ - 1;
  if (pending_.size() >= options_.max_pending) {
    Refuse(entry, MakeError(error_code::kOverloaded, "too many claims wait for one bucket"));
    return entry.ticket;
  }
  const bool first = std::none_of(pending_.begin(), pending_.end(),
                                  [](const pending_claim& other) { return !other.in_flight; });
  if (first)
    batch_at_ = now + options_.window;
  pending_.push_back(std::move(entry));
  return pending_.back().ticket;
}

void claim_writer::Release(const claim_key& key, attempt_id attempt) {
  // The list only tidies up; a claim that stays costs a question to its agent on the next retry.
  if (released_.size() < options_.max_pending)
    released_.push_back({key, attempt});
}

void claim_writer::Decide(const pending_claim& entry, claim_outcome outcome) {
  claim_decision decision;
  decision.ticket = entry.ticket;
  decision.outcome = outcome;
  if (outcome == claim_outcome::kHeld)
    decision.holder = *stored_.Find(entry.request.value.key);
  decisions_.push_back(std::move(decision));
}

void claim_writer::Refuse(const pending_claim& entry, error failure) {
  claim_decision decision;
  decision.ticket = entry.ticket;
  decision.failure = std::move(failure);
  decisions_.push_back(std::move(decision));
}

void claim_writer::ExpirePending(time_point now) {
  std::erase_if(pending_, [&](const pending_claim& entry) {
    if (entry.request.deadline > now)
      return false;
    Refuse(entry, MakeError(error_code::kUnavailable,
                            "the key-value service did not confirm the claim in time"));
    return true;
  });
}

bool claim_writer::Movable(const pending_claim& entry, const claim& holder) const {
  return entry.request.expected == holder.attempt ||
         std::any_of(released_.begin(), released_.end(), [&](const released_claim& released) {
           return released.attempt == holder.attempt;
         });
}

void claim_writer::Resolve() {
  std::erase_if(pending_, [&](const pending_claim& entry) {
    if (entry.in_flight)
      return false;
    const claim* const holder = stored_.Find(entry.request.value.key);
    if (entry.request.look) {
      if (read_operation_ <= entry.read_after)
        return false;
      const bool used = stored_.Used(entry.request.value.key);
      Decide(entry, holder != nullptr ? claim_outcome::kHeld
                    : used            ? claim_outcome::kUsed
                                      : claim_outcome::kAbsent);
      return true;
    }
    if (holder == nullptr && stored_.Used(entry.request.value.key)) {
      Decide(entry, claim_outcome::kUsed);
      return true;
    }
    if (holder == nullptr || Movable(entry, *holder))
      return false;
    const bool own = holder->attempt == entry.request.value.attempt;
    Decide(entry, own ? claim_outcome::kOwned : claim_outcome::kHeld);
    return true;
  });
}

bool claim_writer::ApplyPending(wall_time wall) {
  // Single claims of a time slice stay until the floor has passed it: an entry that knows a longer
  // retention may still accept their keys.
  if (!IsTimedBucket(bucket_))
    stored_.DropExpired(wall);
  bool changed = false;
  for (const released_claim& entry : released_)
    changed = stored_.Remove(entry.key, entry.attempt) || changed;
  released_in_swap_ = released_.size();
  std::erase_if(pending_, [&](pending_claim& entry) {
    if (entry.request.look)
      return false;
    const claim& wanted = entry.request.value;
    const claim* const holder = stored_.Find(wanted.key);
    const bool free = holder == nullptr || entry.request.expected == holder->attempt;
    if (free && !stored_.Put(wanted, options_.max_bytes)) {
      Refuse(entry, MakeError(error_code::kOverloaded, "the claim bucket is full"));
      return true;
    }
    changed = changed || free;
    entry.in_flight = true;
    return false;
  });
  return changed;
}

std::optional<store_action> claim_writer::NextCall(time_point now, wall_time wall) {
  const bool release_due = release_at_ && now >= *release_at_;
  if (operation_ != 0 || now < retry_at_ || (pending_.empty() && !release_due))
    return std::nullopt;
  const bool looks = std::any_of(pending_.begin(), pending_.end(),
                                 [](const pending_claim& entry) { return entry.request.look; });
  store_action action;
  action.key = bucket_;
  // A value that is read before the batch closes is more likely to be out of date.
  if (!looks && !release_due && now < batch_at_)
    return std::nullopt;
  swapping_ = cached_ && !looks;
  if (swapping_) {
    release_at_.reset();
    if (!ApplyPending(wall)) {
      // All pending claims were refused, and the released ones are not in the store.
      released_.clear();
      return std::nullopt;
    }
    cached_ = false;
    action.what = store_action::kind::kSwap;
    action.value = stored_.Serialise();
    action.index = index_;
  }
  action.operation = operation_ = next_operation_++;
  call_deadline_ = now + options_.reply_timeout;
  return action;
}

std::vector<store_action> claim_writer::Poll(time_point now, wall_time wall) {
  if (operation_ != 0 && now >= call_deadline_)
    OnReply({operation_, store_reply::status::kUnknown, {}, 0}, now);
  ExpirePending(now);
  if (!released_.empty() && !release_at_)
    release_at_ = now + options_.release_delay;
  if (cached_)
    Resolve();
  std::vector<store_action> actions;
  if (auto next = NextCall(now, wall))
    actions.push_back(std::move(*next));
  return actions;
}

void claim_writer::OnReply(const store_reply& reply, time_point now) {
  if (reply.operation == 0 || reply.operation != operation_)
    return;
  if (reply.what == store_reply::status::kUnknown)
    Backoff(now);
  else
    retry_delay_ = milliseconds(0);
  if (swapping_)
    OnSwap(reply, now);
  else
    OnRead(reply, now);
  operation_ = 0;
}

void claim_writer::OnRead(const store_reply& reply, time_point now) {
  cached_ = false;
  if (reply.what != store_reply::status::kOk)
    return;
  auto parsed = claim_bucket::Parse(reply.value);
  if (!parsed) {
    for (const pending_claim& entry : pending_)
      Refuse(entry, parsed.error());
    pending_.clear();
    Backoff(now);
    return;
  }
  stored_ = std::move(parsed).value();
  index_ = reply.index;
  read_operation_ = reply.operation;
  cached_ = true;
  Resolve();
}

void claim_writer::OnSwap(const store_reply& reply, time_point now) {
  for (pending_claim& entry : pending_)
    entry.in_flight = false;
  if (reply.what == store_reply::status::kConflict) {
    // Writers of several entries that collided would collide again in lock-step.
    contention_ = kContendedSwaps;
    const auto spread = static_cast<std::uint64_t>(options_.window.count()) + 1;
    batch_at_ = now + milliseconds(random_.Below(spread));
    return;
  }
  if (reply.what != store_reply::status::kOk)
    return;
  released_.erase(released_.begin(),
                  released_.begin() + static_cast<std::ptrdiff_t>(released_in_swap_));
  Resolve();
  index_ = reply.index;
  // While other entries write the bucket too, the value is read again before the next swap.
  cached_ = index_ != 0 && contention_ == 0;
  contention_ = contention_ == 0 ? 0 : contention_ - 1;
  if (!pending_.empty())
    batch_at_ = std::max(batch_at_, now);
}

void claim_writer::Backoff(time_point now) {
  retry_delay_ =
      std::min(std::max(retry_delay_ * 2, options_.retry_delay), options_.max_retry_delay);
  retry_at_ = now + retry_delay_;
  if (pending_.empty() && retry_delay_ == options_.max_retry_delay)
    released_.clear();
  if (released_.empty())
    release_at_.reset();
}

std::vector<claim_decision> claim_writer::TakeDecisions() {
  return std::exchange(decisions_, {});
}

std::optional<time_point> claim_writer::NextWake() const {
  if (operation_ == 0 && pending_.empty() && !release_at_)
    return std::nullopt;
  time_point wake = call_deadline_;
  if (operation_ == 0) {
    wake = pending_.empty() ? *release_at_ : std::max(batch_at_, retry_at_);
    if (release_at_)
      wake = std::min(wake, *release_at_);
    wake = std::max(wake, retry_at_);
  }
  for (const pending_claim& entry : pending_)
    wake = std::min(wake, entry.request.deadline);
  return wake;
}

}  // namespace quincebank
