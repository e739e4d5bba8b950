#include "quincebank/scenario/fake_agent.h"

#include <algorithm>
#include <utility>

namespace quincebank::scenario {
namespace {
constexpr std::size_t kChunkBytes = 16;
constexpr nanoseconds kMinWork = milliseconds(2);
constexpr nanoseconds kMaxWork = milliseconds(60);
constexpr milliseconds kHeartbeat{250};
}  // namespace

fake_agent::fake_agent(testbed& bed, std::string name)
    : bed_(bed),
      name_(std::move(name)),
      ledger_(NewIncarnation(bed.loop.random()), {}, bed.loop.now(), bed.loop.wall()) {
  AdoptRetention();
}

void fake_agent::AdoptRetention() {
  ledger_.SetHorizon(AttemptHorizon(bed_.RetentionOf(name_)), bed_.loop.now());
}

void fake_agent::Send(const stream_reader& reader, stream_event event) {
  event.life = life();
  bed_.links.Send({name_, reader.entry, reader.entry_life, reader.channel},
                  [sink = reader.sink, event] { sink(event); });
}

void fake_agent::OnAttempt(attempt_id attempt,
                           incarnation wanted,
                           const std::string& order,
                           bool repeatable,
                           stream_reader reader) {
  begin_outcome outcome = begin_outcome::kFull;
  // A drained agent still answers for the attempts that it has seen.
  if (!drained_ || OnStatus(attempt, wanted) != attempt_state::kNeverSeen)
    outcome = bed_.policy.OnBegin(ledger_.Begin(attempt, wanted, bed_.loop.now(), repeatable));
  if (outcome != begin_outcome::kStart) {
    Send(reader, {stream_event::kind::kOutcome, {}, CopyOutcomeOf(outcome), {}});
    return;
  }
  running_order& running = running_[attempt];
  running.order = order;
  running.readers.push_back(std::move(reader));
  bed_.loop.After(bed_.loop.Between(kMinWork, kMaxWork), name_,
                  [this, attempt] { StartUpstream(attempt); });
  Heartbeat(attempt);
}

void fake_agent::StartUpstream(attempt_id attempt) {
  const auto found = running_.find(attempt);
  if (found == running_.end())
    return;
  if (refuse_ > 0) {
    --refuse_;
    ledger_.Fail(attempt, verdict::kNotRun, bed_.loop.now());
    Tell(attempt, copy_outcome::kRejected);
    return;
  }
  bed_.book.Ran(found->second.order, attempt);
  Produce(attempt);
}

void fake_agent::Produce(attempt_id attempt) {
  const auto found = running_.find(attempt);
  if (found == running_.end())
    return;
  running_order& running = found->second;
  const std::string answer = order_book::ExpectedAnswer(running.order);
  const std::string part = answer.substr(running.next_byte, kChunkBytes);
  ledger_.Append(attempt, part);
  running.next_byte += part.size();
  const bool last = running.next_byte == answer.size();
  for (stream_reader& reader : running.readers) {
    Send(reader, {stream_event::kind::kBytes,
                  answer.substr(reader.offset, running.next_byte - reader.offset)});
    reader.offset = running.next_byte;
  }
  if (!last) {
    bed_.loop.After(bed_.loop.Between(kMinWork, kMaxWork), name_,
                    [this, attempt] { Produce(attempt); });
    return;
  }
  ledger_.Complete(attempt, 200, bed_.loop.now());
  for (const stream_reader& reader : running.readers)
    Send(reader, {stream_event::kind::kEnd});
  running_.erase(found);
}

void fake_agent::Heartbeat(attempt_id attempt) {
  const auto found = running_.find(attempt);
  if (found == running_.end())
    return;
  for (const stream_reader& reader : found->second.readers)
    Send(reader, {stream_event::kind::kHeartbeat});
  bed_.loop.After(kHeartbeat, name_, [this, attempt] { Heartbeat(attempt); });
}

void fake_agent::Tell(attempt_id attempt, copy_outcome outcome) {
  const auto found = running_.find(attempt);
  for (const stream_reader& reader : found->second.readers)
    Send(reader, {stream_event::kind::kOutcome, {}, outcome, {}});
  running_.erase(found);
}

void fake_agent::OnFetch(attempt_id attempt, incarnation wanted, stream_reader reader) {
  if (wanted != life()) {
    Send(reader, {stream_event::kind::kOutcome, {}, copy_outcome::kWrongIncarnation, {}});
    return;
  }
  const answer_part part = ledger_.Read(attempt, reader.offset, bed_.loop.now());
  if (!part.available) {
    const bool ran = VerdictOf(part.state) == verdict::kRan;
    const auto outcome = ran                                     ? copy_outcome::kGone
                         : part.state == attempt_state::kBlocked ? copy_outcome::kBlocked
                                                                 : copy_outcome::kLost;
    Send(reader, {stream_event::kind::kOutcome, {}, outcome, {}});
    return;
  }
  Send(reader, {stream_event::kind::kBytes, std::string(part.bytes)});
  reader.offset += part.bytes.size();
  if (part.complete)
    Send(reader, {stream_event::kind::kEnd});
  else
    running_[attempt].readers.push_back(std::move(reader));
}

attempt_state fake_agent::OnStatus(attempt_id attempt, incarnation wanted) {
  return ledger_.Status(attempt, wanted, bed_.loop.now());
}

attempt_state fake_agent::OnBlock(attempt_id attempt, incarnation wanted) {
  return ledger_.Block(attempt, wanted, bed_.loop.now());
}

void fake_agent::CrashUpstream() {
  while (!running_.empty()) {
    const attempt_id attempt = running_.begin()->first;
    ledger_.Fail(attempt, verdict::kMayHaveRun, bed_.loop.now());
    Tell(attempt, copy_outcome::kFailed);
  }
}

void fake_agent::Evict() {
  ledger_.Expire(bed_.loop.now() + ledger_limits().answer_retention);
}

}  // namespace quincebank::scenario
