#include "quincebank/idempotency/attempt_ledger.h"

#include <algorithm>
#include <utility>

#include "quincebank/idempotency/timed_attempt.h"

namespace quincebank {
namespace {

constexpr std::size_t kArchiveBatch = 1024;

begin_outcome RepeatOutcome(attempt_state state) noexcept {
  switch (state) {
    case attempt_state::kRunning:
      return begin_outcome::kAlreadyRunning;
    case attempt_state::kBlocked:
      return begin_outcome::kBlocked;
    case attempt_state::kMayHaveRun:
      return begin_outcome::kMayHaveRun;
    default:
      return begin_outcome::kDone;
  }
}

}  // namespace

attempt_ledger::attempt_ledger(incarnation self,
                               ledger_limits limits,
                               time_point started,
                               wall_time wall_started)
    : self_(self),
      limits_(limits),
      horizon_(limits.horizon),
      next_horizon_(limits.horizon),
      started_(started),
      wall_started_(wall_started) {}

attempt_ledger::~attempt_ledger() {
  held_.clear();
  brief_.clear();
  gone_.clear();
  ages_.clear();
}

wall_time attempt_ledger::WallTime(time_point now) const noexcept {
  return wall_started_ + std::chrono::duration_cast<wall_time::duration>(now - started_);
}

bool attempt_ledger::BeyondHorizon(attempt_id attempt, time_point now) const noexcept {
  return AttemptTime(attempt) < std::max(forgotten_before_, WallTime(now) - horizon_);
}

void attempt_ledger::SetHorizon(seconds horizon, time_point now) {
  ApplyHorizon(now);
  if (horizon >= horizon_ || records() == 0) {
    horizon_ = next_horizon_ = horizon;
  } else if (horizon != next_horizon_) {
    next_horizon_ = horizon;
    next_horizon_at_ = now + horizon_;
  }
  Expire(now);
}

void attempt_ledger::ApplyHorizon(time_point now) {
  // What the present horizon no longer covers stays forgotten under a longer one.
  forgotten_before_ = std::max(forgotten_before_, WallTime(now) - horizon_);
  if (next_horizon_ != horizon_ && now >= next_horizon_at_)
    horizon_ = next_horizon_;
}

attempt_ledger::record* attempt_ledger::FindRunning(attempt_id attempt) noexcept {
  const auto found = records_.find(attempt);
  if (found == records_.end() || found->second.state != attempt_state::kRunning)
    return nullptr;
  return &found->second;
}

attempt_ledger::record* attempt_ledger::Insert(attempt_id attempt,
                                               attempt_state state,
                                               time_point now) {
  Expire(now);
  while (records_.size() >= limits_.max_records) {
    // Answers give way to new attempts; records never do.
    if (brief_.empty() && archive_.size() >= limits_.max_archived)
      return nullptr;
    if (gone_.empty() && !DropOldest())
      return nullptr;
    const std::size_t before = records_.size();
    Archive();
    if (records_.size() == before && held_.empty() && brief_.empty())
      return nullptr;
  }
  record& entry = records_[attempt];
  entry.id = attempt;
  entry.state = state;
  entry.ended = now;
  ages_.push_back(entry);
  return &entry;
}

begin_outcome attempt_ledger::Begin(attempt_id attempt,
                                    incarnation wanted,
                                    time_point now,
                                    bool repeatable) {
  if (wanted != self_)
    return begin_outcome::kWrongIncarnation;
  const auto found = records_.find(attempt);
  if (found != records_.end())
    return RepeatOutcome(found->second.state);
  if (const auto archived = archive_.Find(attempt))
    return RepeatOutcome(*archived);
  if (BeyondHorizon(attempt, now) || AttemptTime(attempt) > WallTime(now) + kClockMargin)
    return begin_outcome::kUntimely;
  record* const entry = Insert(attempt, attempt_state::kRunning, now);
  if (entry == nullptr)
    return begin_outcome::kFull;
  entry->repeatable = repeatable;
  ++running_;
  return begin_outcome::kStart;
}

void attempt_ledger::SetHead(attempt_id attempt, int status, std::string headers) {
  record* const entry = FindRunning(attempt);
  if (entry == nullptr)
    return;
  entry->status = status;
  held_bytes_ -= entry->headers.size();
  entry->headers = std::move(headers);
  held_bytes_ += entry->headers.size();
}

bool attempt_ledger::Append(attempt_id attempt, std::string_view bytes) {
  record* const entry = FindRunning(attempt);
  if (entry == nullptr || !entry->holding)
    return false;
  const bool fits = entry->bytes.size() + bytes.size() <= limits_.max_answer_bytes;
  while (fits && held_bytes_ + bytes.size() > limits_.max_total_bytes && DropOldest()) {
  }
  if (!fits || held_bytes_ + bytes.size() > limits_.max_total_bytes) {
    DropAnswer(*entry);
    return false;
  }
  entry->bytes += bytes;
  held_bytes_ += bytes.size();
  return true;
}

void attempt_ledger::End(record& entry, attempt_state state, time_point now) {
  entry.state = state;
  entry.ended = now;
  --running_;
  if (state != attempt_state::kDone)
    DropAnswer(entry);
  if (entry.repeatable)
    brief_.push_back(entry);
  else if (state == attempt_state::kDone)
    held_.push_back(entry);
  else
    gone_.push_back(entry);
}

void attempt_ledger::Complete(attempt_id attempt, int status, time_point now) {
  record* const entry = FindRunning(attempt);
  if (entry == nullptr)
    return;
  entry->status = status;
  End(*entry, entry->holding ? attempt_state::kDone : attempt_state::kAnswerGone, now);
}

void attempt_ledger::Fail(attempt_id attempt, verdict outcome, time_point now) {
  record* const entry = FindRunning(attempt);
  if (entry == nullptr)
    return;
  if (outcome == verdict::kNotRun)
    End(*entry, attempt_state::kBlocked, now);
  else if (outcome == verdict::kRan)
    End(*entry, attempt_state::kAnswerGone, now);
  else
    End(*entry, attempt_state::kMayHaveRun, now);
}

attempt_state attempt_ledger::Status(attempt_id attempt, time_point now) const {
  const auto found = records_.find(attempt);
  if (found != records_.end())
    return found->second.state;
  if (const auto archived = archive_.Find(attempt))
    return *archived;
  return BeyondHorizon(attempt, now) ? attempt_state::kForgotten : attempt_state::kNeverSeen;
}

attempt_state attempt_ledger::Status(attempt_id attempt, incarnation wanted, time_point now) const {
  return wanted == self_ ? Status(attempt, now) : attempt_state::kWrongIncarnation;
}

attempt_state attempt_ledger::Block(attempt_id attempt, incarnation wanted, time_point now) {
  const attempt_state state = Status(attempt, wanted, now);
  if (state != attempt_state::kNeverSeen)
    return state;
  record* const entry = Insert(attempt, attempt_state::kBlocked, now);
  if (entry == nullptr)
    return attempt_state::kNeverSeen;
  gone_.push_back(*entry);
  return attempt_state::kBlocked;
}

answer_part attempt_ledger::Read(attempt_id attempt, std::uint64_t offset, time_point now) const {
  answer_part part;
  part.state = Status(attempt, now);
  if (part.state != attempt_state::kRunning && part.state != attempt_state::kDone)
    return part;
  const record& entry = records_.find(attempt)->second;
  part.status = entry.status;
  if (!entry.holding || offset > entry.bytes.size())
    return part;
  part.available = true;
  part.complete = part.state == attempt_state::kDone;
  part.headers = entry.headers;
  part.bytes = std::string_view(entry.bytes).substr(offset);
  return part;
}

void attempt_ledger::DropAnswer(record& entry) {
  held_bytes_ -= entry.bytes.size() + entry.headers.size();
  entry.holding = false;
  // Assignment of an empty string keeps the capacity.
  std::string().swap(entry.bytes);
  std::string().swap(entry.headers);
}

bool attempt_ledger::DropOldest() {
  // A repeatable request can compute its answer again.
  if (!brief_.empty()) {
    Erase(brief_.front());
    return true;
  }
  if (held_.empty())
    return false;
  record& entry = held_.front();
  held_.pop_front();
  entry.state = attempt_state::kAnswerGone;
  DropAnswer(entry);
  gone_.push_back(entry);
  return true;
}

void attempt_ledger::Archive() {
  std::vector<archived_attempt> batch;
  while (!gone_.empty() && archive_.size() + batch.size() < limits_.max_archived) {
    record& entry = gone_.front();
    batch.push_back({entry.id, entry.state});
    Erase(entry);
  }
  archive_.Add(std::move(batch));
}

void attempt_ledger::Erase(record& entry) {
  if (entry.by_end.is_linked())
    (entry.repeatable                      ? brief_
     : entry.state == attempt_state::kDone ? held_
                                           : gone_)
        .erase(end_list::s_iterator_to(entry));
  ages_.erase(age_list::s_iterator_to(entry));
  DropAnswer(entry);
  records_.erase(attempt_id(entry.id));
}

void attempt_ledger::Expire(time_point now) {
  while (!brief_.empty() && brief_.front().ended + limits_.repeatable_retention <= now)
    Erase(brief_.front());
  while (!held_.empty() && held_.front().ended + limits_.answer_retention <= now)
    DropOldest();
  if (gone_.size() >= kArchiveBatch)
    Archive();
  ApplyHorizon(now);
  archive_.DropBefore(WallTime(now) - horizon_);
  // A running attempt stays on record whatever its age.
  for (auto next = ages_.begin(); next != ages_.end() && BeyondHorizon(next->id, now);) {
    record& entry = *next++;
    if (entry.state != attempt_state::kRunning)
      Erase(entry);
  }
}

}  // namespace quincebank
