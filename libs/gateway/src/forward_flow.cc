#include "forward_flow.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/join.hpp>
#include <boost/fiber/operations.hpp>
#include <utility>

#include "quincebank/base/clock.h"
#include "quincebank/base/digest.h"
#include "quincebank/placement/attempt_timeouts.h"
#include "quincebank/placement/engine_limit.h"
#include "quincebank/placement/group_formation.h"
#include "quincebank/placement/max_wait.h"

namespace quincebank {
namespace {

// Connection timeout; within a region a round trip takes milliseconds.
constexpr milliseconds kConnectTimeout{300};
// Upper limit on the time between two searches for an upstream with free capacity.
constexpr milliseconds kCapacityPollPeriod{15};
// Cost of a request in the fair queue: (prompt tokens + 10 * output tokens) / 500, from 1 to 1000.
// An engine needs about as much time for one output token as for several prompt tokens.
constexpr std::int64_t kOutputTokenWeight = 10;
constexpr std::int64_t kTokensPerCostUnit = 500;
constexpr std::int64_t kMaxCost = 1'000;
// Requests that may wait in the queue of an upstream, as a fraction of its slots.
constexpr double kQueueShare = 0.75;
// Retry-After if the route names a service that is missing from the configuration.
constexpr milliseconds kUnknownServiceRetry{1'000};

// A crashed process refuses connections at once; an upstream that does not answer in time may be
// unreachable for other reasons.
constexpr milliseconds kCrashCheckTimeout{100};

constexpr int kMinServerErrorStatus = 500;

/// Counts the buffered bytes of one response towards the total of the process.
class buffer_accounting {
 public:
  buffer_accounting(std::size_t& total, memory_reservation& memory)
      : total_(total), memory_(memory) {}
  ~buffer_accounting() { total_ -= counted_; }
  buffer_accounting(const buffer_accounting&) = delete;
  buffer_accounting& operator=(const buffer_accounting&) = delete;

  /// \returns False if the memory budget has no room.
  [[nodiscard]] bool Add(std::size_t bytes) {
    counted_ += bytes;
    total_ += bytes;
    return memory_.TryGrowTo(counted_);
  }

 private:
  std::size_t& total_;
  memory_reservation& memory_;
  std::size_t counted_ = 0;
};

bool IsEventStream(const http_headers& headers) {
  return headers.Get("Content-Type").starts_with("text/event-stream");
}

}  // namespace

forward_flow::forward_flow(gateway_context& shared, http_exchange& exchange)
    : shared_(shared), exchange_(exchange), started_at_(Now()) {
  shared_.metrics.in_flight.Add(1);
  shared_.running.push_back(*this);
}

forward_flow::~forward_flow() {
  shared_.running.erase(shared_.running.iterator_to(*this));
  shared_.metrics.in_flight.Add(-1);
}

void forward_flow::Abort() {
  aborted_ = true;
  if (cancellation_)
    cancellation_->Cancel();
}

bool forward_flow::MayBeSent() const {
  // Too late for a refusal: the client has a part of the stream.
  if (aborted_ || head_sent_ || !shared_.stop.stopping())
    return !aborted_;
  const auto known = shared_.durations.find(route_->name);
  remaining_time remaining{TimeLeft(), std::nullopt, route_->MayRetry()};
  if (known != shared_.durations.end())
    remaining.expected = known->second.UpperBound();
  return shared_.stop.Admits(remaining, BootNow());
}

milliseconds forward_flow::TimeLeft() const {
  return std::chrono::duration_cast<milliseconds>(deadline_ - BootNow());
}

milliseconds forward_flow::Elapsed() const {
  return std::chrono::duration_cast<milliseconds>(Now() - started_at_);
}

void forward_flow::Run() {
  shared_.metrics.requests.Add();
  request_ = shared_.codec.DecodeRequest(exchange_.request());
  snapshot_ = shared_.snapshots.Get();
  catalog_ = snapshot_->catalog;
  const auto refusal = ResolveRoute();
  if (refusal) {
    SendOwnResponse(*refusal);
    return;
  }
  const milliseconds blocked = shared_.BlockedTime(request_.shared_segments);
  if (blocked.count() > 0) {
    SendOwnResponse({503, kBlockedReason, blocked});
    return;
  }
  if (!MayBeSent()) {
    SendOwnResponse({503, kStoppingReason, {}});
    return;
  }
  exchange_.WatchPeer([this] {
    client_disconnected_ = true;
    if (cancellation_)
      cancellation_->Cancel();
  });
  shared_.RetryBudgetFor(service_->name).OnRequest();
  Forward();
}

std::optional<forward_flow::gateway_response> forward_flow::ResolveRoute() {
  AwaitCatalog();
  if (!catalog_)
    return gateway_response{503, "no-configuration",
                            StartupRetryAfter(std::chrono::duration_cast<milliseconds>(
                                Now() - shared_.process_started))};
  route_ = catalog_->FindRoute(request_.host, request_.path);
  if (route_ == nullptr)
    return gateway_response{404, "no-route", {}};
  const workspace_rule* const workspace =
      request_.api_key.empty() ? nullptr : catalog_->FindWorkspace(request_.api_key);
  if (workspace != nullptr)
    workspace_ = workspace->name;
  if (workspace == nullptr && catalog_->HasWorkspaces() && !route_->anonymous)
    return gateway_response{401, "unknown-key", {}};
  service_ = catalog_->FindService(PickService(*route_, shared_.random.Unit()));
  if (service_ == nullptr)
    return gateway_response{503, "unknown-service", kUnknownServiceRetry};
  priority_ =
      workspace != nullptr ? workspace->priority.value_or(route_->priority) : route_->priority;
  deadline_ =
      received_at_ + std::min(request_.time_left.value_or(route_->timeout), route_->timeout);
  position_ = stream_position(request_.resume_after);
  return std::nullopt;
}

std::vector<placement_candidate> forward_flow::FindCandidates(
    const fleet_snapshot& snapshot,
    std::vector<const known_upstream*>& eligible,
    std::span<const known_upstream* const> subset) const {
  const time_point now = Now();
  std::vector<placement_candidate> candidates;
  const auto found = snapshot.upstreams.find(service_->name);
  if (found == snapshot.upstreams.end())
    return candidates;
  candidates.reserve(found->second.size());
  eligible.reserve(found->second.size());
  for (const known_upstream& upstream : found->second) {
    const upstream_record& record = upstream.record;
    if (!subset.empty() && std::find(subset.begin(), subset.end(), &upstream) == subset.end())
      continue;
    if (record.leaving || upstream.health->leaving() ||
        snapshot.evacuated_domains.contains(record.failure_domain))
      continue;
    if (std::find(tried_upstreams_.begin(), tried_upstreams_.end(), record.id) !=
        tried_upstreams_.end())
      continue;
    placement_candidate candidate;
    candidate.in_flight = upstream.health->in_flight();
    candidate.slots = std::max(record.slots, 1);
    candidate.limit = candidate.slots + static_cast<int>(candidate.slots * kQueueShare);
    if (const auto other_requests = upstream.health->other_requests(now))
      AddEngineLoad(upstream, *other_requests, candidate);
    else if (claim_ && !claim_->is_highest)
      candidate.limit = claim_->At(*service_->engine, {}).limit;
    AddWork(upstream, candidate);
    candidate.failure_share = upstream.health->failure_share();
    candidate.superseded = upstream.superseded || upstream.health->IsReplaced(now);
    candidate.unconfirmed = IsUnconfirmed(upstream);
    candidate.ejected =
        upstream.health->IsEjected(now) || upstream.health->observations().IsAvoided(now) ||
        (record.group && !record.group->open) ||
        (upstream.liveness && upstream.liveness->IsStalled(now)) || IsInStalledGroup(record);
    candidate.ejected_until =
        std::max(upstream.health->ejected_until(), upstream.health->observations().avoided_until());
    candidate.probing = upstream.health->probing();
    candidate.available_at =
        upstream.may_send ? upstream.health->AllowedFrom(upstream.limit) : time_point::max();
    candidate.available_at = std::max(candidate.available_at, upstream.health->paused_until());
    candidate.rate_limited = candidate.available_at > now;
    if (const auto opens_at = ExpectedGroupOpening(upstream.group_closed_since, now)) {
      candidate.forming = true;
      candidate.available_at = std::max(candidate.available_at, *opens_at);
    }
    candidate.same_domain = record.failure_domain == shared_.settings.failure_domain;
    eligible.push_back(&upstream);
    candidates.push_back(candidate);
  }
  return candidates;
}

placement forward_flow::Place(const fleet_snapshot& snapshot,
                              std::vector<const known_upstream*>& eligible,
                              std::span<const known_upstream* const> subset) {
  const std::vector<placement_candidate> candidates = FindCandidates(snapshot, eligible, subset);
  if (candidates.empty())
    return {.obstacle = placement_obstacle::kNoUpstream, .available_at = time_point::max()};
  const placement placed = ChooseUpstream(candidates, shared_.random, placed_request_);
  if (placed.chosen) {
    chosen_candidate_ = candidates[*placed.chosen];
    load_age_ = std::chrono::duration_cast<milliseconds>(
        Now() - eligible[*placed.chosen]->health->reported_at());
  }
  return placed;
}

void forward_flow::AddEngineLoad(const known_upstream& upstream,
                                 int other_requests,
                                 placement_candidate& candidate) const {
  candidate.reported = other_requests;
  if (!service_->engine)
    return;
  if (claim_) {
    ApplyAllowance(AllowanceAt(upstream), candidate);
    return;
  }
  group_pass_stats pass_stats;
  if (upstream.liveness)
    pass_stats = {upstream.liveness->PassTime(Now()), upstream.liveness->mean_batch_size()};
  candidate.limit =
      EngineRequestLimit(*service_->engine, pass_stats,
                         MakeLatencyGoal(route_->latency_objective, route_->event_gap_objective));
}

std::optional<known_upstream> forward_flow::SelectUpstream() {
  // The latest snapshot may lack some upstreams; the catalog stays that of the request's start.
  snapshot_ = shared_.snapshots.Get();
  std::vector<const known_upstream*> eligible;
  const placement placed = Place(*snapshot_, eligible);
  obstacle_ = placed.obstacle;
  available_at_ = placed.available_at;
  if (!placed.chosen)
    return std::nullopt;
  if (IsAwaitingRestart(placed, false))
    return std::nullopt;
  if (!placed.query_loads || shared_.engine_loads == nullptr)
    return *eligible[*placed.chosen];
  std::vector<const known_upstream*> queried{eligible[*placed.chosen]};
  for (std::size_t i = 0; i < placed.alternative_count; ++i)
    queried.push_back(eligible[placed.alternatives.at(i)]);
  shared_.metrics.load_queries.Add();
  queried_engines_ += static_cast<int>(queried.size());
  shared_.engine_loads->QueryLoads(queried);
  // Other requests may have been sent during the query, so the choice is made again.
  eligible.clear();
  const placement after_query = Place(*snapshot_, eligible, queried);
  if (IsAwaitingRestart(after_query, true))
    return std::nullopt;
  if (after_query.chosen)
    return *eligible[*after_query.chosen];
  obstacle_ = placement_obstacle::kFull;
  available_at_ = Now();
  return std::nullopt;
}

wait_queue_request forward_flow::MakeQueueRequest() const {
  const std::int64_t tokens =
      request_.prompt_tokens + kOutputTokenWeight * request_.max_output_tokens;
  return {StableHash64(workspace_), priority_,
          static_cast<std::uint32_t>(
              std::clamp<std::int64_t>(tokens / kTokensPerCostUnit, 1, kMaxCost))};
}

std::optional<known_upstream> forward_flow::WaitForUpstream() {
  ClaimCapacity();
  service_queue& queue = shared_.QueueFor(service_->name);
  const wait_queue_request queue_request = MakeQueueRequest();
  const time_point wait_started = Now();
  obstacle_ = queue.outlook.obstacle;
  available_at_ = queue.outlook.available_at;
  if (queue.requests.empty()) {
    auto upstream = SelectUpstream();
    if (upstream) {
      queue.requests.Charge(queue_request);
      return upstream;
    }
    queue.outlook = {obstacle_, available_at_, {}};
    queue.wait_estimator.OnQueueStart(wait_started);
  }
  if (IsHeldBack())
    return std::nullopt;
  milliseconds max_wait = RemainingWait(
      wait_started, queue.wait_estimator.EstimateWait(queue.requests.size(), wait_started));
  wait_queue::waiter waiter;
  if (max_wait.count() == 0 || !queue.requests.TryEnqueue(waiter, queue_request))
    return std::nullopt;
  std::optional<known_upstream> upstream;
  while (!client_disconnected_ && !upstream && MayBeSent() && Now() < wait_started + max_wait) {
    // Polls too, since nothing signals changes that only time brings, such as the end of an
    // ejection.
    queue.capacity_changed.WaitFor(kCapacityPollPeriod);
    if (!queue.requests.IsFirst(waiter)) {
      obstacle_ = queue.outlook.obstacle;
      available_at_ = queue.outlook.available_at;
      max_wait = std::max(max_wait, RemainingWait(Now(), milliseconds(0)));
      continue;
    }
    upstream = SelectUpstream();
    if (upstream || IsHeldBack())
      break;
    queue.outlook = {obstacle_, available_at_, {}};
    const milliseconds remaining = RemainingWait(Now(), milliseconds(0));
    if (remaining.count() == 0)
      break;
    max_wait = std::max(max_wait, remaining);
  }
  if (upstream) {
    queue.requests.Dequeue(waiter);
    queue.wait_estimator.OnDequeue(Now());
  } else {
    queue.requests.Remove(waiter);
  }
  queue.capacity_changed.NotifyAll();
  return upstream;
}

milliseconds forward_flow::RemainingWait(time_point now, milliseconds queue_wait) const {
  return MaxWait(*route_, {obstacle_, available_at_, queue_wait},
                 std::min(TimeLeft() - kMinTimeLeft, MaxQueueWait()), now);
}

nanoseconds forward_flow::GroupPassTime() const {
  return group_liveness_ ? group_liveness_->PassTime(Now()) : nanoseconds(0);
}

std::optional<known_upstream> forward_flow::AcquireUpstream(std::string& obstacle) {
  if (successor_) {
    const auto successor = std::exchange(successor_, std::nullopt);
    chosen_candidate_ = successor->candidate;
    return successor->upstream;
  }
  auto upstream = WaitForUpstream();
  if (client_disconnected_)
    return std::nullopt;
  if (!upstream && MayBeSent())
    OnNoCapacity();
  if (!upstream)
    obstacle = !MayBeSent() ? kStoppingReason
               : held_back_ ? held_back_->reason
                            : ToString(obstacle_);
  else if (!MayBeSent())
    obstacle = kStoppingReason;
  // Reports on crashes may have arrived while the request waited.
  else if (shared_.BlockedTime(request_.shared_segments).count() > 0)
    obstacle = kBlockedReason;
  // The host may have been suspended while the request waited.
  else if (TimeLeft() < kMinTimeLeft)
    obstacle = "no-time-left";
  else {
    upstream->health->OnSend(upstream->limit, Now());
    OnCapacityGranted();
    return upstream;
  }
  return std::nullopt;
}

void forward_flow::Forward() {
  attempt_result last_result;
  last_result.ran = verdict::kNotRun;
  last_result.outcome = attempt_outcome::kFull;
  for (;;) {
    PredictWork();
    const auto upstream = AcquireUpstream(last_result.reason);
    if (!upstream && client_disconnected_) {
      shared_.metrics.abandoned.Add();
      LogRequestEnd("client-left", 0, "before-send");
      return;
    }
    if (!upstream)
      break;
    const time_point sent_at = Now();
    group_liveness_ = upstream->liveness;
    if (group_liveness_)
      group_liveness_->OnSend(sent_at);
    ++sends_;
    if (sends_ > 1)
      shared_.metrics.retries.Add();
    if (head_sent_)
      shared_.metrics.resumed_streams.Add();
    tried_upstreams_.push_back(upstream->record.id);
    is_silent_ = false;
    answer_needed_ = true;
    BeginObservation(*upstream);
    StartWork(*upstream);
    last_result = SendAttempt(*upstream);
    EndWork(last_result, Now() - sent_at);
    upstream->health->OnEnd(last_result.outcome, Now());
    ObserveOutcome(last_result);
    shared_.NotifyCapacity(service_->name);
    if (group_liveness_)
      group_liveness_->OnEnd();
    if (last_result.group_stalled)
      EjectGroup(*upstream);
    if (last_result.outcome == attempt_outcome::kStalled && upstream->record.group)
      stalled_groups_.push_back(upstream->record.group->group);
    CountStreamEvents(last_result);
    LogAttempt(*upstream, last_result, std::chrono::duration_cast<milliseconds>(Now() - sent_at));
    if (last_result.connection_lost)
      CheckForCrash(*upstream);
    if (last_result.outcome == attempt_outcome::kServed)
      shared_.crashes.OnServed(request_.shared_segments, Now());
    verdict_ = Combine(verdict_, last_result.ran);
    possible_runs_ += last_result.ran == verdict::kNotRun ? 0 : 1;
    if (last_result.delivered || client_disconnected_ || !MayBeSent() ||
        !TryStartRetry(last_result))
      break;
  }
  ReleaseSuccessor();
  Finish(last_result);
}

void forward_flow::CheckForCrash(const known_upstream& upstream) {
  std::vector<std::string> suspects = shared_.crashes.Suspects(request_.shared_segments, Now());
  if (suspects.empty())
    return;
  const milliseconds at =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
  const auto reachable = shared_.http->CheckReachable(upstream.record.address, kCrashCheckTimeout);
  if (reachable || reachable.error().code == error_code::kTimeout)
    return;
  shared_.log.Write(event_line("upstream.crashed")
                        .Add("upstream", upstream.record.id)
                        .Add("request", request_.attempt_id)
                        .Add("segments", boost::algorithm::join(suspects, ",")));
  crash_report report{
      upstream.record.id + "." + std::to_string(upstream.record.incarnation), at, {}};
  report.requests.push_back(std::move(suspects));
  shared_.crashes.OnCrash(report, Now());
  if (shared_.share_crash)
    shared_.share_crash(report);
}

bool forward_flow::IsInStalledGroup(const upstream_record& record) const {
  return record.group && std::find(stalled_groups_.begin(), stalled_groups_.end(),
                                   record.group->group) != stalled_groups_.end();
}

void forward_flow::EjectGroup(const known_upstream& upstream) const {
  const auto& group = upstream.record.group;
  const auto found = snapshot_->upstreams.find(upstream.record.service);
  if (!group || found == snapshot_->upstreams.end())
    return;
  for (const known_upstream& member : found->second) {
    if (member.record.group && member.record.group->group == group->group)
      member.health->OnGroupStalled(Now());
  }
}

bool forward_flow::TryStartRetry(const attempt_result& attempt) {
  if (!position_.CanResume())
    return false;
  if (successor_)
    return true;
  if (sends_ >= kMaxSends || TimeLeft() < kMinTimeLeft)
    return false;
  if (attempt.ran != verdict::kNotRun &&
      (!route_->MayRetry() || possible_runs_ >= route_->max_attempts))
    return false;
  return shared_.RetryBudgetFor(service_->name).TryTakeToken();
}

attempt_result forward_flow::SendAttempt(const known_upstream& upstream) {
  const milliseconds time_left = TimeLeft();
  position_.BeginRun();
  resumed_after_ = position_.resume_after();
  cancellation_ = new call_cancellation;
  http_call call;
  call.peer = upstream.record.address;
  call.request = shared_.codec.EncodeForUpstream(
      exchange_.request(), {upstream.record.id, time_left, workspace_, resumed_after_,
                            HasPriorities() ? std::optional(priority_) : std::nullopt});
  call.body = exchange_.request().body;
  call.connect_timeout = std::min(kConnectTimeout, time_left);
  call.idle_timeout = FirstByteTimeout(*route_, time_left, RetryAllowed(), GroupPassTime());
  call.response_timeout = BeginSilenceWatch(call.idle_timeout);
  call.on_silence = [this, &upstream] { return OnSilence(upstream); };
  call.cancellation = cancellation_;
  call.fresh_connection = !route_->MayRetry();
  const std::size_t entries = std::max<std::size_t>(snapshot_->entries.size(), 1);
  call.most_idle =
      std::max<std::size_t>(static_cast<std::size_t>(service_->max_connections) / (2 * entries), 1);
  call.belongs = [this](const http_headers& headers) {
    const upstream_response_info info = shared_.codec.DecodeResponse(0, headers);
    return info.attempt_id.empty() || info.attempt_id == request_.attempt_id;
  };
  const auto stream = shared_.http->Open(call);
  if (!stream)
    return MakeErrorResult(stream.error());
  ApplyUpstreamState(upstream, *stream.value());
  return HandleResponse(*stream.value());
}

attempt_result forward_flow::MakeErrorResult(const error& failure) const {
  attempt_result attempt;
  attempt.reason = aborted_ ? std::string(kStoppingReason) : failure.message;
  attempt.ran = failure.outcome;
  attempt.connection_lost = failure.outcome == verdict::kMayHaveRun &&
                            failure.code != error_code::kTimeout && !client_disconnected_ &&
                            !aborted_;
  if (client_disconnected_ || aborted_ || TimeLeft() <= milliseconds(0))
    attempt.outcome = attempt_outcome::kAbandoned;
  else if (failure.outcome == verdict::kNotRun)
    attempt.outcome = attempt_outcome::kUnreachable;
  else if (failure.code == error_code::kTimeout)
    attempt.outcome = attempt_outcome::kStalled;
  return attempt;
}

attempt_result forward_flow::HandleResponse(http_stream& stream) {
  const upstream_response_info info =
      shared_.codec.DecodeResponse(stream.status(), stream.headers());
  attempt_result attempt;
  if ((info.wrong_instance || info.not_run) && info.attempt_id.empty() &&
      stream.is_on_kept_connection()) {
    attempt.reason = "status " + std::to_string(stream.status()) +
                     " without attempt id may be the refusal of an earlier request";
    return attempt;
  }
  if (info.wrong_instance || info.not_run) {
    answer_needed_ = false;
    const auto body = stream.ReadSome();  // Frees the connection for the next request.
    attempt.ran = verdict::kNotRun;
    attempt.outcome = info.wrong_instance             ? attempt_outcome::kReplaced
                      : !info.faulty_upstream.empty() ? attempt_outcome::kStalled
                                                      : attempt_outcome::kFull;
    attempt.group_stalled = attempt.outcome == attempt_outcome::kStalled;
    attempt.reason = "refused with " + std::to_string(stream.status()) +
                     (body ? "" : ", " + body.error().message);
    return attempt;
  }
  if (!info.authentic || info.encoded || info.attempt_id.empty()) {
    attempt.reason = "status " + std::to_string(stream.status()) +
                     " without stamp or attempt id, or with an encoded body";
    return attempt;
  }
  if (stream.status() < 300 && IsEventStream(stream.headers()))
    return RelayStream(stream);
  if (head_sent_) {
    // The client has received a part of a stream, and this is not the rest of it.
    attempt.ran = verdict::kRan;
    attempt.reason = "status " + std::to_string(stream.status()) + " instead of a resumed stream";
    return attempt;
  }
  return RelayBuffered(stream);
}

attempt_result forward_flow::RelayStream(http_stream& stream) {
  attempt_result attempt;
  sse_splitter splitter(shared_.settings.max_event_bytes);
  // Events are counted without a check: a stream that has begun is not cut for want of memory, and
  // what one stream holds is bounded by the size of an event.
  memory_reservation memory(shared_.memory);
  relayed_events events;
  // Only complete events count as progress: a faulty upstream may send single bytes from time to
  // time, or an endless event.
  time_point last_event_at = Now();
  milliseconds timeout = FirstByteTimeout(*route_, TimeLeft(), RetryAllowed(), GroupPassTime());
  if (!reported_silent_)
    (void)BeginSilenceWatch(timeout);
  for (;;) {
    stream.SetDeadline(std::min(last_event_at + timeout - rest_of_silence_, Now() + TimeLeft()));
    const auto chunk = stream.ReadSome();
    if (!chunk)
      return MakeErrorResult(chunk.error());
    if (!chunk.value())
      break;
    if (group_liveness_)
      group_liveness_->OnProgress(Now());
    events.passed.clear();
    bool is_continued = true;
    splitter.Feed(*chunk.value(), [&](std::string_view event) {
      is_continued = is_continued && TakeEvent(event, events);
    });
    memory.Set(chunk.value()->size() + events.passed.size() + events.held.size() +
               splitter.rest().size());
    if (!events.passed.empty()) {
      last_event_at = Now();
      is_silent_ = false;
      ObserveProgress();
      timeout = StreamIdleTimeout(*route_, TimeLeft(), RetryAllowed());
      stream.SetIdleTimeout(timeout);
    }
    // What `position_` counts as passed is sent before the attempt may be given up.
    if (!events.passed.empty() && !SendEvents(stream, events.passed)) {
      client_disconnected_ = true;
      attempt.outcome = attempt_outcome::kAbandoned;
      attempt.reason = "client closed its connection";
      return attempt;
    }
    if (!is_continued) {
      shared_.metrics.unplaced_runs.Add();
      attempt.reason = "resumed stream does not continue after the last event";
      return attempt;
    }
    if (splitter.overflowed()) {
      attempt.reason = "event exceeds the size limit";
      return attempt;
    }
  }
  if (!splitter.rest().empty()) {
    attempt.reason = "stream ended within an event";
    return attempt;
  }
  if (!position_.IsCompleteAtEnd()) {
    shared_.metrics.unplaced_runs.Add();
    attempt.reason = "resumed stream ended before the last event";
    return attempt;
  }
  (void)SendEvents(stream, events.held);
  attempt.ran = verdict::kRan;
  attempt.outcome = attempt_outcome::kServed;
  attempt.delivered = exchange_.Finish();
  return attempt;
}

bool forward_flow::TakeEvent(std::string_view event, relayed_events& events) {
  const event_action action = position_.OnEvent(event);
  if (action == event_action::kReject)
    return false;
  if (action == event_action::kPass)
    events.passed += events.held;
  if (action != event_action::kHold && action != event_action::kPassAhead)
    events.held.clear();
  if (action == event_action::kSkip)
    return true;
  CountEvent();
  (action == event_action::kHold ? events.held : events.passed) += event;
  return true;
}

bool forward_flow::SendEvents(const http_stream& stream, std::string_view events) {
  if (!head_sent_) {
    head_sent_ = true;
    status_ = stream.status();
    if (!events.empty())
      first_byte_at_ = Now();
    if (!exchange_.StartStream(status_, shared_.codec.EncodeForClient(stream.headers())))
      return false;
  }
  return exchange_.Write(events);
}

attempt_result forward_flow::RelayBuffered(http_stream& stream) {
  attempt_result attempt;
  http_response response{stream.status(), shared_.codec.EncodeForClient(stream.headers()), {}};
  memory_reservation memory(shared_.memory);
  buffer_accounting accounting(shared_.buffered_bytes, memory);
  stream.SetIdleTimeout(TimeLeft());
  stream.SetDeadline(Now() + TimeLeft());
  for (;;) {
    const auto chunk = stream.ReadSome();
    if (!chunk)
      return MakeErrorResult(chunk.error());
    if (!chunk.value())
      break;
    const bool has_memory = accounting.Add(chunk.value()->size());
    if (has_memory)
      response.body += *chunk.value();
    const bool too_large = response.body.size() > shared_.settings.max_response_bytes;
    if (too_large || !has_memory || shared_.buffered_bytes > shared_.settings.max_buffered_bytes) {
      attempt.reason = too_large ? "response exceeds the size limit"
                                 : "buffered responses exceed the total size limit";
      return attempt;
    }
  }
  attempt.ran = verdict::kRan;
  status_ = response.status;
  if (response.status >= kMinServerErrorStatus) {
    attempt.outcome = attempt_outcome::kFailed;
    attempt.reason = "upstream answered " + std::to_string(response.status);
    attempt.error_response = std::move(response);
    attempt.error_memory.emplace(std::move(memory));
    return attempt;
  }
  attempt.outcome = attempt_outcome::kServed;
  first_byte_at_ = Now();
  head_sent_ = true;
  memory.Set(0);  // The exchange counts the response from here on.
  attempt.delivered = exchange_.Respond(std::move(response));
  return attempt;
}

void forward_flow::Finish(const attempt_result& last_result) {
  if (last_result.delivered) {
    shared_.metrics.answered.Add();
    if (first_byte_at_)
      shared_.metrics.first_byte_time.Record(*first_byte_at_ - started_at_);
    shared_.metrics.total_time.Record(Now() - started_at_);
    shared_.durations[route_->name].Add(Elapsed());
    LearnWork();
    LogRequestEnd("answered", status_, "");
    return;
  }
  if (client_disconnected_) {
    shared_.metrics.abandoned.Add();
    LogRequestEnd("client-left", 0, last_result.reason);
    return;
  }
  if (head_sent_) {
    // The exchange is left incomplete, so that the client detects the truncated stream.
    shared_.metrics.failed.Add();
    LogRequestEnd("cut", status_, last_result.reason);
    return;
  }
  if (last_result.error_response) {
    shared_.metrics.answered.Add();
    LogRequestEnd("answered", last_result.error_response->status, "upstream-failure");
    exchange_.Respond(*last_result.error_response);
    return;
  }
  if (verdict_ == verdict::kNotRun && last_result.reason == kStoppingReason) {
    // Other entries may serve the request at once.
    SendOwnResponse({503, kStoppingReason, {}});
    return;
  }
  if (verdict_ == verdict::kNotRun &&
      last_result.reason == ToString(placement_obstacle::kForming)) {
    SendOwnResponse(MakeFormingResponse());
    return;
  }
  if (verdict_ == verdict::kNotRun) {
    const milliseconds blocked = shared_.BlockedTime(request_.shared_segments);
    SendOwnResponse({503, last_result.reason,
                     blocked.count() > 0 ? blocked
                     : held_back_        ? held_back_->retry_after
                                         : RetryAfter(*route_, obstacle_, last_result.outcome,
                                                      shared_.rules.Get().engine_stall_time)});
    return;
  }
  SendOwnResponse({TimeLeft() <= milliseconds(0) ? 504 : 502, last_result.reason, {}});
}

}  // namespace quincebank
