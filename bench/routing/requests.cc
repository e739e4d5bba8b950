// Path of a request through the simulation.
#include <algorithm>
#include <utility>

#include "simulation.h"

namespace quincebank {
namespace {

/// Time until a caller whose entry is gone has connected to another one.
constexpr sim_time kReconnect{1'000'000};
constexpr sim_time kConnectTimeout{1'000'000};

}  // namespace

void simulation::StartConversation() {
  conversation talk = workload_.NewConversation(config_.domains);
  talk.entry = AliveEntry(talk.domain);
  std::uint32_t id = 0;
  if (free_talks_.empty()) {
    id = static_cast<std::uint32_t>(talks_.size());
    talks_.push_back(std::move(talk));
  } else {
    id = free_talks_.back();
    free_talks_.pop_back();
    talks_[id] = std::move(talk);
  }
  StartTurn(id);
  Schedule(now_ + workload_.NextArrival(), event_kind::kConversation);
}

void simulation::StartTurn(std::uint32_t talk) {
  if (domain_lost_[DomainOf(talks_[talk].entry)]) {
    talks_[talk].entry = AliveEntry(talks_[talk].domain);
    Schedule(now_ + kReconnect, event_kind::kTurn, talk);
    return;
  }
  std::uint32_t id = 0;
  if (free_requests_.empty()) {
    id = static_cast<std::uint32_t>(requests_.size());
    requests_.emplace_back();
  } else {
    id = free_requests_.back();
    free_requests_.pop_back();
  }
  request& one = requests_[id];
  one = request{.conversation = talk,
                .entry = talks_[talk].entry,
                .ticket = one.ticket + 1,
                .arrived = now_,
                .phase = PhaseAt(now_),
                .tokens = workload_.Tokens(talks_[talk]),
                .in_use = true};
  ++ResultOf(one).requests;
  Route(id);
}

void simulation::Route(std::uint32_t id) {
  request& one = requests_[id];
  const conversation& talk = talks_[one.conversation];
  entry_model& entry = entries_[one.entry];
  const std::uint32_t domain = DomainOf(one.entry);
  // The deadline is for the first token; a stream that has one is continued at any time.
  const milliseconds deadline =
      one.first_token.count() < 0
          ? config_.workload.deadline - std::chrono::duration_cast<milliseconds>(now_ - one.arrived)
          : kNoDeadline;
  const route_request wanted{
      .prefix = config_.use_prefix ? std::span<const std::uint64_t>(talk.prompt)
                                   : std::span<const std::uint64_t>(),
      .priority = talk.priority,
      .deadline = deadline,
      .model_version = config_.model_version,
      .failure_domain = domain_names_[domain],
      .region = region_names_[RegionOf(domain)],
      .tried = std::span(one.tried).first(one.tries),
      .seed = entry.NextSeed(),
      .turn = entry.NextTurn(),
  };
  const auto decision = Choose(policy_, entry.Input(wanted, config_.settings, now_));
  if (!decision.has_value())
    return Reject(id);
  one.engine = decision.value().index;
  one.boot = 0;
  one.sent = now_;
  entry.Sent(one.engine, now_);
  ++one.ticket;
  Schedule(now_ + Latency(domain, DomainOf(one.engine)), event_kind::kAtEngine, id, one.ticket);
}

void simulation::Reject(std::uint32_t id) {
  ++ResultOf(requests_[id]).rejected;
  requests_[id].tokens = 0;
  Release(id);
}

void simulation::AtEngine(std::uint32_t id) {
  request& one = requests_[id];
  engine& target = engines_[one.engine];
  ++window_arrivals_[one.engine];
  if (!target.up()) {
    Schedule(now_ + kConnectTimeout, event_kind::kConnectFailed, id, one.ticket);
    return;
  }
  if (!target.Offer(id, now_)) {
    const sim_time back = Latency(DomainOf(one.entry), DomainOf(one.engine));
    entries_[one.entry].Hint(one.engine, target.Report(now_), now_);
    Schedule(now_ + back, event_kind::kNotRun, id, one.ticket);
    return;
  }
  one.boot = target.boot();
  Pump(one.engine);
}

void simulation::Retry(std::uint32_t id) {
  request& one = requests_[id];
  entries_[one.entry].Answered(one.engine, one.sent);
  one.tried.at(one.tries++) = entries_[one.entry].table().key(one.engine);
  one.boot = 0;
  if (one.tries == kMaxAttempts)
    return Reject(id);
  if (domain_lost_[DomainOf(one.entry)]) {
    talks_[one.conversation].entry = AliveEntry(talks_[one.conversation].domain);
    one.entry = talks_[one.conversation].entry;
  }
  Route(id);
}

void simulation::Silence(std::uint32_t id) {
  Suspect(requests_[id]);
  if (config_.repeatable) {
    ++ResultOf(requests_[id]).reruns;
    return Retry(id);
  }
  ++ResultOf(requests_[id]).unknown;
  entries_[requests_[id].entry].Answered(requests_[id].engine, requests_[id].sent);
  requests_[id].tokens = 0;
  Release(id);
}

void simulation::Suspect(const request& one) {
  if (config_.suspect)
    entries_[one.entry].SetStates({one.engine}, upstream_state::kSuspected);
}

void simulation::Pump(std::uint32_t engine) {
  engine::start begun;
  for (std::uint32_t id = engines_[engine].Next(now_); id != engine::kNone;
       id = engines_[engine].Next(now_)) {
    request& one = requests_[id];
    const conversation& talk = talks_[one.conversation];
    begun = engines_[engine].Start(id, talk.prompt, one.tokens, now_);
    ResultOf(one).blocks += talk.prompt.size();
    ResultOf(one).cached_blocks += begun.cached;
    Schedule(begun.first_token, event_kind::kFirstToken, id, one.ticket);
    Schedule(begun.finish, event_kind::kFinish, id, one.ticket);
  }
}

void simulation::FirstToken(std::uint32_t id) {
  request& one = requests_[id];
  entry_model& entry = entries_[one.entry];
  // The response header carries the agent's state.
  entry.Hint(one.engine, reports_[one.engine], last_report_);
  if (config_.feed.note_served) {
    entry.index()->NoteServed(entry.table().key(one.engine), talks_[one.conversation].prompt);
  }
  if (one.first_token.count() < 0)
    one.first_token =
        now_ + Latency(DomainOf(one.entry), DomainOf(one.engine)) + 2 * config_.client_latency;
}

void simulation::Finish(std::uint32_t id) {
  request& one = requests_[id];
  const std::uint32_t engine = one.engine;
  engines_[engine].Finish();
  entries_[one.entry].Answered(engine, one.sent);
  phase_result& sums = ResultOf(one);
  const sim_time waited = one.first_token - one.arrived;
  sums.first_token_us.push_back(static_cast<std::uint32_t>(waited.count()));
  if (waited <= config_.workload.deadline) {
    ++sums.succeeded;
  } else {
    ++sums.late;
  }
  Release(id);
  Pump(engine);
}

void simulation::Release(std::uint32_t id) {
  request& one = requests_[id];
  one.in_use = false;
  one.boot = 0;
  free_requests_.push_back(id);
  conversation& talk = talks_[one.conversation];
  // A caller whose request was rejected gives up the conversation.
  if (one.tokens == 0 || --talk.turns_left == 0) {
    free_talks_.push_back(one.conversation);
    return;
  }
  workload::AddTurn(talk);
  Schedule(now_ + workload_.Think(talk), event_kind::kTurn, one.conversation);
}

}  // namespace quincebank
