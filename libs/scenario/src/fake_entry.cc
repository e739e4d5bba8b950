#include "quincebank/scenario/fake_entry.h"

#include <algorithm>
#include <utility>

namespace quincebank::scenario {
namespace {
constexpr milliseconds kSilence{1000};
constexpr milliseconds kQuestionTimeout{400};
constexpr milliseconds kForwardTimeout{300};
constexpr nanoseconds kMaxSwitch = std::chrono::microseconds(300);
constexpr milliseconds kFloorTimeout{1000};
// Few buckets, so that entries collide; long slices, so that a sweep passes hours in a few calls.
constexpr bucket_layout kLayout{.timed_buckets = 2, .slice = seconds(1800), .plain_buckets = 2};
constexpr std::uint64_t kSweptSlices = 100;
}  // namespace

fake_entry::fake_entry(testbed& bed, std::string name)
    : bed_(bed),
      name_(std::move(name)),
      sweeper_({.layout = kLayout, .max_slices = kSweptSlices}) {}

void fake_entry::OnCall(const entry_call& call) {
  open_request& request = requests_[call.id];
  request.call = call;
  request_spec spec{.kind = call.kind, .deadline = bed_.loop.now() + call.deadline};
  spec.first_send = call.first_send;
  if (call.kind == request_kind::kKeyed) {
    const auto key =
        ParseRequestKey("order-desk", "w", call.key, bed_.loop.wall(), bed_.RetentionOf(name_));
    if (!key) {
      request.action.end = {key.error().outcome, false, key.error(), std::nullopt};
      Finish(request);
      return;
    }
    spec.key = key.value();
    spec.request_digest = RequestDigest("POST", "/orders", call.order);
    spec.retention = bed_.RetentionOf(name_);
    request.key = spec.key;
    request.bucket = BucketName(kLayout, spec.key);
  }
  request.machine = std::make_unique<keyed_request>(spec, random_source(bed_.loop.random().Next()));
  Advance(call.id, request.machine->Start(bed_.loop.now(), bed_.loop.wall()));
}

fake_entry::open_request* fake_entry::Find(std::uint64_t id, std::uint32_t step) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.action.step != step)
    return nullptr;
  return &found->second;
}

void fake_entry::Advance(std::uint64_t id, request_action next) {
  open_request& request = requests_.at(id);
  next = bed_.policy.OnAction(*request.machine, next, bed_.loop.now(), bed_.loop.wall());
  if (next.kind == action_kind::kNone)
    return;
  request.action = std::move(next);
  // The process may be paused or killed between a decision and its effect.
  bed_.loop.After(bed_.loop.Between(nanoseconds(0), kMaxSwitch), name_,
                  [this, id] { Perform(id); });
}

void fake_entry::Perform(std::uint64_t id) {
  const auto found = requests_.find(id);
  if (found == requests_.end())
    return;
  open_request& request = found->second;
  const std::uint32_t step = request.action.step;
  switch (request.action.kind) {
    case action_kind::kChoose:
      return Choose(request);
    case action_kind::kClaim:
    case action_kind::kLook:
      return SubmitClaim(request);
    case action_kind::kSend:
    case action_kind::kFetch:
      return OpenStream(request);
    case action_kind::kAskState:
    case action_kind::kBlock:
      return AskAgent(request);
    case action_kind::kAskRetry:
      return Advance(id, request.machine->OnPermission(step, bed_.retries, bed_.loop.now()));
    case action_kind::kWait:
      bed_.loop.After(request.action.wake - bed_.loop.now(), name_, [this, id, step] {
        if (open_request* const waiting = Find(id, step))
          Advance(id, waiting->machine->OnWake(step, bed_.loop.now()));
      });
      return;
    case action_kind::kFinish:
      return Finish(request);
    case action_kind::kNone:
      return;
  }
}

void fake_entry::Choose(open_request& request) {
  const std::vector<std::string>& tried = request.action.tried;
  std::vector<attempt_target> free;
  for (const auto& [agent, life] : known_) {
    if (std::find(tried.begin(), tried.end(), agent) == tried.end())
      free.push_back({agent, life});
  }
  std::optional<attempt_target> target;
  if (!free.empty())
    target = free[bed_.loop.random().Below(free.size())];
  Advance(request.call.id,
          request.machine->OnTarget(request.action.step, target, "no upstream is left to try",
                                    bed_.loop.now(), bed_.loop.wall()));
}

claim_writer& fake_entry::Writer(const std::string& bucket) {
  auto& writer = writers_[bucket];
  if (!writer)
    writer = std::make_unique<claim_writer>(
        bucket, claim_writer_options{.seed = bed_.loop.random().Next()});
  return *writer;
}

void fake_entry::SubmitClaim(open_request& request) {
  claim_request wanted{.value = request.action.value,
                       .expected = request.action.expected,
                       .look = request.action.kind == action_kind::kLook,
                       .deadline = bed_.loop.now() + seconds(4)};
  std::vector<std::string> entries;
  for (const auto& [name, entry] : bed_.entries)
    entries.push_back(name);
  const std::string& preferred = entries[PreferredEntry(request.bucket, entries)];
  if (bed_.forwarding && !wanted.look && preferred != name_)
    return ForwardClaim(request, preferred, wanted);
  AddClaim(request.bucket, wanted,
           [this, id = request.call.id, step = request.action.step](
               const claim_decision& decision) { OnDecision(id, step, decision); });
}

void fake_entry::ForwardClaim(open_request& request,
                              const std::string& entry,
                              const claim_request& wanted) {
  const std::uint64_t id = request.call.id;
  const std::uint32_t step = request.action.step;
  const message_route back{entry, name_, bed_.loop.Life(name_)};
  const claim_sink done = [this, id, step](const claim_decision& decision) {
    OnDecision(id, step, decision);
  };
  bed_.links.Send({name_, entry}, [&bed = bed_, back, bucket = request.bucket, wanted, done] {
    bed.entries.at(back.from)->OnForwarded(
        bucket, wanted, [&bed, back, done](const claim_decision& decision) {
          bed.links.Send(back, [done, decision] { done(decision); });
        });
  });
  bed_.loop.After(kForwardTimeout, name_, [this, id, step, wanted, done] {
    if (const open_request* const waiting = Find(id, step))
      AddClaim(waiting->bucket, wanted, done);
  });
}

void fake_entry::OnForwarded(const std::string& bucket,
                             const claim_request& wanted,
                             claim_sink done) {
  AddClaim(bucket, wanted, std::move(done));
}

void fake_entry::AddClaim(const std::string& bucket, const claim_request& wanted, claim_sink done) {
  const std::uint64_t ticket = Writer(bucket).Add(wanted, bed_.loop.now());
  tickets_[{bucket, ticket}] = std::move(done);
  PollWriter(bucket);
}

void fake_entry::OnDecision(std::uint64_t id, std::uint32_t step, const claim_decision& decision) {
  open_request* const request = Find(id, step);
  if (request == nullptr)
    return;
  if (NeedsFloor(request->key, decision, bed_.loop.wall()) && bed_.policy.ChecksFloor())
    return CheckFloor(*request, decision);
  Advance(id, request->machine->OnClaim(step, decision, bed_.loop.now()));
}

void fake_entry::CheckFloor(open_request& request, const claim_decision& decision) {
  const auto done = [this, id = request.call.id, step = request.action.step, key = request.key,
                     decision](const store_reply& reply) {
    if (open_request* const waiting = Find(id, step)) {
      const claim_decision checked = ApplyFloor(kLayout, key, decision, reply);
      Advance(id, waiting->machine->OnClaim(step, checked, bed_.loop.now()));
    }
  };
  store_action read;
  read.key = std::string(kClaimFloorKey);
  bed_.store.Call(name_, read, done);
  bed_.loop.After(kFloorTimeout, name_, [done] { done({}); });
}

void fake_entry::Sweep() {
  sweeper_.Begin(bed_.loop.wall(), bed_.RetentionOf(name_));
  DriveSweep();
}

void fake_entry::DriveSweep() {
  if (const auto call = sweeper_.Next()) {
    bed_.store.Call(name_, *call, [this](const store_reply& reply) {
      sweeper_.OnReply(reply);
      DriveSweep();
    });
  }
}

void fake_entry::PollWriter(const std::string& bucket) {
  claim_writer& writer = Writer(bucket);
  for (const store_action& action : writer.Poll(bed_.loop.now(), bed_.loop.wall())) {
    bed_.store.Call(name_, bed_.policy.OnStoreAction(action),
                    [this, bucket](const store_reply& reply) {
                      Writer(bucket).OnReply(bed_.policy.OnStoreReply(reply), bed_.loop.now());
                      PollWriter(bucket);
                    });
  }
  for (const claim_decision& decision : writer.TakeDecisions()) {
    const auto ticket = tickets_.find({bucket, decision.ticket});
    const claim_sink done = std::move(ticket->second);
    tickets_.erase(ticket);
    done(decision);
  }
  if (const auto wake = writer.NextWake()) {
    const nanoseconds delay = std::max<nanoseconds>(*wake - bed_.loop.now(), milliseconds(1));
    bed_.loop.After(delay, name_, [this, bucket] { PollWriter(bucket); });
  }
}

void fake_entry::OpenStream(open_request& request) {
  const std::uint64_t id = request.call.id;
  const request_action& action = request.action;
  const bool send = action.kind == action_kind::kSend;
  if (send)
    bed_.book.Sent(id, action.attempt);
  request.delivered = send ? 0 : action.offset;
  stream_reader reader{
      name_, bed_.loop.Life(name_), bed_.links.NewChannel(), request.delivered,
      [this, id, step = action.step](const stream_event& event) { OnStream(id, step, event); }};
  const std::string& agent = action.target.agent;
  bed_.links.Send(
      {name_, agent},
      [&bed = bed_, send, agent, attempt = action.attempt, life = action.target.life,
       order = request.call.order, repeatable = request.call.kind == request_kind::kRepeatable,
       reader] {
        fake_agent& receiver = *bed.agents.at(agent);
        if (send)
          receiver.OnAttempt(attempt, life, order, repeatable, reader);
        else
          receiver.OnFetch(attempt, life, reader);
      },
      [sink = reader.sink] {
        sink({stream_event::kind::kOutcome, {}, copy_outcome::kNotSent, {}});
      });
  request.heard = bed_.loop.now();
  WatchSilence(id, action.step);
}

void fake_entry::OnStream(std::uint64_t id, std::uint32_t step, const stream_event& event) {
  open_request* const request = Find(id, step);
  if (request == nullptr)
    return;
  request->heard = bed_.loop.now();
  if (event.life.value != 0)
    Learn(request->action.target.agent, event.life);
  if (event.what == stream_event::kind::kHeartbeat)
    return;
  if (event.what == stream_event::kind::kBytes) {
    request->delivered += event.bytes.size();
    bed_.links.Send({name_, "caller", 0, id + (1ULL << 32U)},
                    [&book = bed_.book, id, bytes = event.bytes] { book.Bytes(id, bytes); });
    return;
  }
  const bool end = event.what == stream_event::kind::kEnd;
  Advance(id,
          request->machine->OnCopy(
              step, {end ? copy_outcome::kAnswered : event.outcome, request->delivered, "rejected"},
              bed_.loop.now()));
}

void fake_entry::WatchSilence(std::uint64_t id, std::uint32_t step) {
  open_request* const request = Find(id, step);
  if (request == nullptr)
    return;
  const time_point dead = request->heard + kSilence;
  if (dead > bed_.loop.now()) {
    bed_.loop.After(dead - bed_.loop.now(), name_, [this, id, step] { WatchSilence(id, step); });
    return;
  }
  Advance(id, request->machine->OnCopy(
                  step, {copy_outcome::kLost, request->delivered, "the connection went silent"},
                  bed_.loop.now()));
}

void fake_entry::AskAgent(open_request& request) {
  const std::uint64_t id = request.call.id;
  const request_action& action = request.action;
  const std::uint32_t step = action.step;
  const bool block = action.kind == action_kind::kBlock;
  const message_route back{action.target.agent, name_, bed_.loop.Life(name_)};
  // The first closure runs at the agent, when this entry may be gone; the second one here.
  const auto reply = [this, id, step](attempt_state state) { OnAgentState(id, step, {state}); };
  bed_.links.Send({name_, action.target.agent}, [&bed = bed_, block, attempt = action.attempt,
                                                 life = action.target.life, back, reply] {
    fake_agent& agent = *bed.agents.at(back.from);
    const attempt_state state =
        block ? agent.OnBlock(attempt, life) : agent.OnStatus(attempt, life);
    bed.links.Send(back, [reply, state] { reply(state); });
  });
  bed_.loop.After(kQuestionTimeout, name_, [this, id, step] { OnAgentState(id, step, {}); });
}

void fake_entry::OnAgentState(std::uint64_t id, std::uint32_t step, state_report report) {
  open_request* const request = Find(id, step);
  if (request == nullptr)
    return;
  report = bed_.policy.OnState(request->action, report);
  Advance(id, request->machine->OnState(step, report, bed_.loop.now()));
}

void fake_entry::Finish(open_request& request) {
  const request_end end = bed_.policy.OnEnd(request.action.end);
  const std::uint64_t id = request.call.id;
  if (end.release) {
    Writer(request.bucket).Release(end.release->key, end.release->attempt);
    PollWriter(request.bucket);
  }
  bed_.links.Send({name_, "caller", 0, id + (1ULL << 32U)},
                  [&book = bed_.book, id, end] { book.End(id, end); });
  requests_.erase(id);
}

}  // namespace quincebank::scenario
