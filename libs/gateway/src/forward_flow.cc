#include "forward_flow.h"

#include <algorithm>
#include <array>
#include <boost/fiber/operations.hpp>
#include <utility>

#include "quincebank/base/clock.h"
#include "quincebank/base/digest.h"
#include "quincebank/placement/engine_room.h"
#include "quincebank/placement/patience.h"
#include "quincebank/placement/wait_plan.h"

namespace quincebank {
namespace {

// Time to open a connection; within a region a round trip takes milliseconds.
constexpr milliseconds kConnectTimeout{300};
// Attempts of one request that no upstream ran; each may be refused for a reason of its own.
constexpr int kMostSends = 4;
// With less time left a new attempt is hopeless and only loads an upstream.
constexpr milliseconds kLeastTime{10};
// Longest pause between looks for an upstream with room.
constexpr milliseconds kPlaceRetry{15};
// Work of a request for its workspace's share of turns: an output token takes its engine about as
// long as some prompt tokens.
constexpr std::int64_t kOutputWeight = 10;
constexpr std::int64_t kTokensPerTurn = 500;
constexpr std::int64_t kMostTurns = 1'000;
// Requests that may wait in the queue of an upstream, as a share of its slots.
constexpr double kQueueShare = 0.75;
// Part of the latency objective that a request may spend in the queue of an engine.
constexpr int kQueueWaitShare = 2;
// Part of the gap objective that a pass may take, in percent: a held pass and the way to the client
// need the rest.
constexpr int kPassPercent = 80;
// When a client should come back whose route names a service that the configuration lacks.
constexpr milliseconds kRetryUnknownService{1'000};

constexpr int kServerError = 500;

std::string_view ToString(placement_obstacle obstacle) noexcept {
  constexpr std::array<std::string_view, 4> kNames{"none", "no-upstream", "full", "rate-limited"};
  return kNames.at(static_cast<std::size_t>(obstacle));
}

/// Part of an answer that is held, counted for the whole process.
class held_answer {
 public:
  explicit held_answer(std::size_t& all) : all_(all) {}
  ~held_answer() { all_ -= own_; }
  held_answer(const held_answer&) = delete;
  held_answer& operator=(const held_answer&) = delete;

  void Add(std::size_t bytes) {
    own_ += bytes;
    all_ += bytes;
  }

 private:
  std::size_t& all_;
  std::size_t own_ = 0;
};

bool IsEventStream(const http_headers& headers) {
  return headers.Get("Content-Type").starts_with("text/event-stream");
}

}  // namespace

forward_flow::forward_flow(gateway_context& shared, http_exchange& exchange)
    : shared_(shared), exchange_(exchange), started_(Now()) {
  shared_.metrics.in_flight.Add(1);
}

forward_flow::~forward_flow() {
  shared_.metrics.in_flight.Add(-1);
}

milliseconds forward_flow::Left() const {
  return std::chrono::duration_cast<milliseconds>(deadline_ - BootNow());
}

milliseconds forward_flow::Elapsed() const {
  return std::chrono::duration_cast<milliseconds>(Now() - started_);
}

void forward_flow::Run() {
  shared_.metrics.requests.Add();
  request_ = shared_.codec.DecodeRequest(exchange_.request());
  snapshot_ = shared_.snapshots.Get();
  catalog_ = snapshot_->catalog;
  const auto refused = Resolve();
  if (refused) {
    Answer(*refused);
    return;
  }
  exchange_.WatchPeer([this] {
    client_gone_ = true;
    if (cancellation_)
      cancellation_->Cancel();
  });
  shared_.RetryBudgetFor(service_->name).OnRequest();
  Forward();
}

std::optional<forward_flow::own_answer> forward_flow::Resolve() {
  if (!catalog_)
    return own_answer{
        503, "no-configuration",
        RetryAfterStart(std::chrono::duration_cast<milliseconds>(Now() - shared_.process_started))};
  route_ = catalog_->FindRoute(request_.host, request_.path);
  if (route_ == nullptr)
    return own_answer{404, "no-route", {}};
  const workspace_rule* const workspace =
      request_.api_key.empty() ? nullptr : catalog_->FindWorkspace(request_.api_key);
  if (workspace != nullptr)
    workspace_ = workspace->name;
  if (workspace == nullptr && catalog_->HasWorkspaces() && !route_->anonymous)
    return own_answer{401, "unknown-key", {}};
  service_ = catalog_->FindService(PickService(*route_, shared_.random.Unit()));
  if (service_ == nullptr)
    return own_answer{503, "unknown-service", kRetryUnknownService};
  priority_ =
      workspace != nullptr ? workspace->priority.value_or(route_->priority) : route_->priority;
  deadline_ = received_ + std::min(request_.time_left.value_or(route_->timeout), route_->timeout);
  last_event_ = request_.resume_after;
  return std::nullopt;
}

placement forward_flow::Place(const fleet_snapshot& snapshot,
                              std::vector<const known_upstream*>& candidates,
                              std::span<const known_upstream* const> among) {
  const time_point now = Now();
  std::vector<placement_candidate> views;
  const auto found = snapshot.upstreams.find(service_->name);
  if (found == snapshot.upstreams.end())
    return {std::nullopt, placement_obstacle::kNoUpstream, false, time_point::max()};
  for (const known_upstream& upstream : found->second) {
    const upstream_record& record = upstream.record;
    if (!among.empty() && std::find(among.begin(), among.end(), &upstream) == among.end())
      continue;
    if (record.leaving || snapshot.evacuated_domains.contains(record.failure_domain))
      continue;
    if (std::find(tried_.begin(), tried_.end(), record.id) != tried_.end())
      continue;
    placement_candidate view;
    view.in_flight = upstream.health->in_flight();
    view.slots = std::max(record.slots, 1);
    view.limit = view.slots + static_cast<int>(view.slots * kQueueShare);
    if (const auto others = upstream.health->others(now))
      AddEngineLoad(upstream, *others, view);
    view.failure_share = upstream.health->failure_share();
    view.superseded = upstream.superseded;
    view.rests = upstream.health->Rests(now) || (record.group && !record.group->open) ||
                 (upstream.liveness && upstream.liveness->Stalled(now)) || StalledBefore(record);
    view.rests_until = upstream.health->rests_until();
    view.on_trial = upstream.health->on_trial();
    view.opens =
        upstream.may_send ? upstream.health->AllowedFrom(upstream.limit) : time_point::max();
    view.rate_limited = view.opens > now;
    view.same_domain = record.failure_domain == shared_.settings.failure_domain;
    candidates.push_back(&upstream);
    views.push_back(view);
  }
  const placement placed = ChooseUpstream(views, shared_.random);
  if (placed.chosen) {
    sent_to_ = views[*placed.chosen];
    told_age_ =
        std::chrono::duration_cast<milliseconds>(now - candidates[*placed.chosen]->health->told());
  }
  return placed;
}

void forward_flow::AddEngineLoad(const known_upstream& upstream,
                                 int others,
                                 placement_candidate& view) const {
  view.reported = others;
  if (!service_->engine)
    return;
  group_pace pace;
  if (upstream.liveness)
    pace = {upstream.liveness->PassTime(Now()), upstream.liveness->running()};
  view.limit = EngineRoom(*service_->engine, pace,
                          {route_->latency_objective / kQueueWaitShare,
                           route_->event_gap_objective * kPassPercent / 100});
}

std::optional<known_upstream> forward_flow::LookForUpstream() {
  // A newer snapshot may have taken an upstream out; the catalog in force at the start stays.
  snapshot_ = shared_.snapshots.Get();
  std::vector<const known_upstream*> candidates;
  const placement placed = Place(*snapshot_, candidates);
  obstacle_ = placed.obstacle;
  opens_ = placed.opens;
  if (!placed.chosen)
    return std::nullopt;
  if (!placed.ask || shared_.loads == nullptr)
    return *candidates[*placed.chosen];
  std::vector<const known_upstream*> asked{candidates[*placed.chosen]};
  for (std::size_t i = 0; i < placed.rival_count; ++i)
    asked.push_back(candidates[placed.rivals.at(i)]);
  shared_.metrics.asked.Add();
  asked_ += static_cast<int>(asked.size());
  shared_.loads->QueryLoads(asked);
  // Other requests may have been sent meanwhile, so that all is looked at again.
  candidates.clear();
  const placement better = Place(*snapshot_, candidates, asked);
  if (better.chosen)
    return *candidates[*better.chosen];
  obstacle_ = placement_obstacle::kFull;
  opens_ = Now();
  return std::nullopt;
}

line_request forward_flow::Turn() const {
  const std::int64_t tokens = request_.prompt_tokens + kOutputWeight * request_.max_output_tokens;
  return {
      StableHash64(workspace_), priority_,
      static_cast<std::uint32_t>(std::clamp<std::int64_t>(tokens / kTokensPerTurn, 1, kMostTurns))};
}

std::optional<known_upstream> forward_flow::WaitForUpstream() {
  service_queue& waiting = shared_.QueueFor(service_->name);
  const line_request turn = Turn();
  const time_point begun = Now();
  obstacle_ = placement_obstacle::kFull;
  opens_ = begun;
  if (waiting.line.empty()) {
    auto upstream = LookForUpstream();
    if (upstream) {
      waiting.line.Charge(turn);
      return upstream;
    }
    waiting.pace.OnLineBegins(begun);
  }
  const milliseconds longest = WaitFrom(begun, waiting.pace.WaitBehind(waiting.line.size(), begun));
  waiting_line::place place;
  if (longest.count() == 0 || !waiting.line.Enter(place, turn))
    return std::nullopt;
  std::optional<known_upstream> upstream;
  while (!client_gone_ && !upstream && Now() < begun + longest) {
    // What comes with time alone, such as the end of a rest, is looked for now and then.
    waiting.changed.WaitFor(kPlaceRetry);
    if (!waiting.line.IsFirst(place))
      continue;
    upstream = LookForUpstream();
    if (!upstream && WaitFrom(Now(), milliseconds(0)).count() == 0)
      break;
  }
  if (upstream) {
    waiting.line.Serve(place);
    waiting.pace.OnTurn(Now());
  } else {
    waiting.line.Leave(place);
  }
  waiting.changed.NotifyAll();
  return upstream;
}

milliseconds forward_flow::WaitFrom(time_point now, milliseconds turn_wait) const {
  return LongestWait(*route_, {obstacle_, opens_, turn_wait}, Left() - kLeastTime, now);
}

nanoseconds forward_flow::PassTime() const {
  return pulse_ ? pulse_->PassTime(Now()) : nanoseconds(0);
}

bool forward_flow::MayFollow() {
  return runs_ + 1 < route_->max_attempts && sends_ < kMostSends &&
         shared_.RetryBudgetFor(service_->name).tokens() >= 1;
}

void forward_flow::Forward() {
  attempt_report last;
  last.ran = verdict::kNotRun;
  last.outcome = attempt_outcome::kFull;
  for (;;) {
    const auto upstream = WaitForUpstream();
    if (client_gone_) {
      shared_.metrics.abandoned.Add();
      LogEnd("client-left", 0, "before-send");
      return;
    }
    if (!upstream) {
      last.reason = ToString(obstacle_);
      break;
    }
    // The host may have been suspended while the request waited.
    if (Left() < kLeastTime) {
      last.reason = "no-time-left";
      break;
    }
    const time_point sent = Now();
    upstream->health->OnSend(upstream->limit, sent);
    pulse_ = upstream->liveness;
    if (pulse_)
      pulse_->OnSend(sent);
    ++sends_;
    if (sends_ > 1)
      shared_.metrics.repeats.Add();
    if (head_sent_)
      shared_.metrics.resumed.Add();
    last = Send(*upstream);
    upstream->health->OnEnd(last.outcome, Now());
    shared_.NotifyCapacity(service_->name);
    if (pulse_)
      pulse_->OnEnd();
    if (last.group_stalled)
      RestGroup(*upstream);
    if (last.outcome == attempt_outcome::kStalled && upstream->record.group)
      stalled_groups_.push_back(upstream->record.group->group);
    LogAttempt(*upstream, last, std::chrono::duration_cast<milliseconds>(Now() - sent));
    ran_ = Combine(ran_, last.ran);
    runs_ += last.ran == verdict::kNotRun ? 0 : 1;
    tried_.push_back(upstream->record.id);
    if (last.delivered || client_gone_ || !MayRepeat(last))
      break;
  }
  Finish(last);
}

bool forward_flow::StalledBefore(const upstream_record& record) const {
  return record.group && std::find(stalled_groups_.begin(), stalled_groups_.end(),
                                   record.group->group) != stalled_groups_.end();
}

void forward_flow::RestGroup(const known_upstream& upstream) const {
  const auto& group = upstream.record.group;
  const auto found = snapshot_->upstreams.find(upstream.record.service);
  if (!group || found == snapshot_->upstreams.end())
    return;
  for (const known_upstream& member : found->second) {
    if (member.record.group && member.record.group->group == group->group)
      member.health->OnGroupStalled(Now());
  }
}

bool forward_flow::MayRepeat(const attempt_report& report) {
  if (sends_ >= kMostSends || Left() < kLeastTime)
    return false;
  if (report.ran != verdict::kNotRun && (!route_->MayRepeat() || runs_ >= route_->max_attempts))
    return false;
  return shared_.RetryBudgetFor(service_->name).TryRepeat();
}

attempt_report forward_flow::Send(const known_upstream& upstream) {
  const milliseconds left = Left();
  cancellation_ = new call_cancellation;
  http_call call;
  call.peer = upstream.record.address;
  call.request = shared_.codec.EncodeForUpstream(
      exchange_.request(), {upstream.record.id, left, workspace_, last_event_});
  call.connect_timeout = std::min(kConnectTimeout, left);
  call.response_timeout = FirstBytePatience(*route_, left, MayFollow(), PassTime());
  call.idle_timeout = call.response_timeout;
  call.cancellation = cancellation_;
  call.fresh_connection = !route_->MayRepeat();
  const std::size_t entries = std::max<std::size_t>(snapshot_->entries.size(), 1);
  call.most_idle =
      std::max<std::size_t>(static_cast<std::size_t>(service_->max_connections) / (2 * entries), 1);
  call.belongs = [this](const http_headers& headers) {
    const upstream_response_info head = shared_.codec.DecodeResponse(0, headers);
    return head.attempt_id.empty() || head.attempt_id == request_.attempt_id;
  };
  const auto opened = shared_.http->Open(call);
  if (!opened)
    return LostAnswer(opened.error());
  return TakeAnswer(*opened.value());
}

attempt_report forward_flow::LostAnswer(const error& failure) const {
  attempt_report report;
  report.reason = failure.message;
  report.ran = failure.outcome;
  if (client_gone_ || Left() <= milliseconds(0))
    report.outcome = attempt_outcome::kAbandoned;
  else if (failure.outcome == verdict::kNotRun)
    report.outcome = attempt_outcome::kUnreachable;
  else if (failure.code == error_code::kTimeout)
    report.outcome = attempt_outcome::kStalled;
  return report;
}

attempt_report forward_flow::TakeAnswer(http_stream& stream) {
  const upstream_response_info head =
      shared_.codec.DecodeResponse(stream.status(), stream.headers());
  attempt_report report;
  if (head.wrong_instance || head.not_run) {
    const auto body = stream.ReadSome();  // Frees the connection for the next request.
    report.ran = verdict::kNotRun;
    report.outcome = head.wrong_instance             ? attempt_outcome::kReplaced
                     : !head.faulty_upstream.empty() ? attempt_outcome::kStalled
                                                     : attempt_outcome::kFull;
    report.group_stalled = report.outcome == attempt_outcome::kStalled;
    report.reason = "refused with " + std::to_string(stream.status()) +
                    (body ? "" : ", " + body.error().message);
    return report;
  }
  if (!head.authentic || head.encoded || head.attempt_id.empty()) {
    report.reason = "status " + std::to_string(stream.status()) + " without the upstream's mark";
    return report;
  }
  if (stream.status() < 300 && IsEventStream(stream.headers()))
    return TakeStream(stream);
  return TakeWhole(stream);
}

attempt_report forward_flow::TakeStream(http_stream& stream) {
  attempt_report report;
  sse_splitter events(shared_.settings.max_event_bytes);
  bool client_open = true;
  // Bytes alone are no sign of life: an upstream in trouble sends one now and then, or without end.
  time_point heard = Now();
  milliseconds patience = FirstBytePatience(*route_, Left(), MayFollow(), PassTime());
  for (;;) {
    stream.SetDeadline(std::min(heard + patience, Now() + Left()));
    const auto piece = stream.ReadSome();
    if (!piece)
      return LostAnswer(piece.error());
    if (!piece.value())
      break;
    if (pulse_)
      pulse_->OnHeard(Now());
    std::string whole;
    events.Feed(*piece.value(), [&](std::string_view event) {
      const auto id = SseEventId(event);
      // After a resumption an upstream may begin with events that the client has already.
      if (id && last_event_ && *id <= *last_event_)
        return;
      if (id)
        last_event_ = id;
      whole += event;
    });
    if (events.overflowed()) {
      report.reason = "an event without end";
      return report;
    }
    if (whole.empty())
      continue;
    heard = Now();
    patience = GapPatience(*route_, Left(), MayFollow());
    if (!head_sent_) {
      head_sent_ = true;
      status_ = stream.status();
      first_byte_ = Now();
      client_open = exchange_.StartStream(status_, shared_.codec.EncodeForClient(stream.headers()));
    }
    stream.SetIdleTimeout(patience);
    client_open = client_open && exchange_.Write(whole);
    if (!client_open) {
      client_gone_ = true;
      report.outcome = attempt_outcome::kAbandoned;
      report.reason = "client closed its connection";
      return report;
    }
  }
  if (!events.rest().empty()) {
    report.reason = "stream ended within an event";
    return report;
  }
  if (!head_sent_) {
    head_sent_ = true;
    status_ = stream.status();
    exchange_.StartStream(status_, shared_.codec.EncodeForClient(stream.headers()));
  }
  report.ran = verdict::kRan;
  report.outcome = attempt_outcome::kServed;
  report.delivered = exchange_.Finish();
  return report;
}

attempt_report forward_flow::TakeWhole(http_stream& stream) {
  attempt_report report;
  http_response response{stream.status(), shared_.codec.EncodeForClient(stream.headers()), {}};
  held_answer held(shared_.held_bytes);
  stream.SetIdleTimeout(Left());
  stream.SetDeadline(Now() + Left());
  for (;;) {
    const auto piece = stream.ReadSome();
    if (!piece)
      return LostAnswer(piece.error());
    if (!piece.value())
      break;
    response.body += *piece.value();
    held.Add(piece.value()->size());
    const bool too_large = response.body.size() > shared_.settings.max_response_bytes;
    if (too_large || shared_.held_bytes > shared_.settings.max_buffered_bytes) {
      report.reason = too_large ? "answer is too large" : "too many answers are held";
      return report;
    }
  }
  report.ran = verdict::kRan;
  status_ = response.status;
  if (response.status >= kServerError) {
    report.outcome = attempt_outcome::kFailed;
    report.reason = "upstream answered " + std::to_string(response.status);
    report.failure = std::move(response);
    return report;
  }
  report.outcome = attempt_outcome::kServed;
  first_byte_ = Now();
  head_sent_ = true;
  report.delivered = exchange_.Respond(std::move(response));
  return report;
}

void forward_flow::Finish(const attempt_report& last) {
  if (last.delivered) {
    shared_.metrics.answered.Add();
    if (first_byte_)
      shared_.metrics.first_byte.Record(*first_byte_ - started_);
    shared_.metrics.total.Record(Now() - started_);
    LogEnd("answered", status_, "");
    return;
  }
  if (client_gone_) {
    shared_.metrics.abandoned.Add();
    LogEnd("client-left", 0, last.reason);
    return;
  }
  if (head_sent_) {
    // The exchange ends unfinished, so that the client sees a truncated stream.
    shared_.metrics.failed.Add();
    LogEnd("cut", status_, last.reason);
    return;
  }
  if (last.failure) {
    shared_.metrics.answered.Add();
    LogEnd("answered", last.failure->status, "upstream-failure");
    exchange_.Respond(*last.failure);
    return;
  }
  if (ran_ == verdict::kNotRun) {
    Answer({503, last.reason,
            RetryAfter(*route_, obstacle_, last.outcome, shared_.rules.Get().engine_stall_time)});
    return;
  }
  Answer({Left() <= milliseconds(0) ? 504 : 502, last.reason, {}});
}

}  // namespace quincebank
