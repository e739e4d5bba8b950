#include "agent_impl.h"

#include <boost/fiber/operations.hpp>
#include <utility>

#include "quincebank/base/clock.h"
#include "quincebank/base/json_reader.h"
#include "quincebank/base/log.h"
#include "quincebank/messages/header_names.h"

namespace quincebank {
namespace {

constexpr logger kLog{"agent"};
// The gate asks for a call at least every 100 ms, so that expired work leaves the queue.
constexpr milliseconds kSweepInterval{50};
constexpr milliseconds kProbeTimeout{1000};
// An engine notices a closed connection at its next step; the place stays taken until then.
constexpr milliseconds kCancelGrace{100};

result<attempt_id> ReadAttemptId(json_reader& reader) {
  const auto attempt = ParseAttemptId(reader.String("attempt"));
  if (!attempt)
    return MakeError(error_code::kInvalidArgument, "attempt: expected 32 hexadecimal digits");
  return *attempt;
}

result<incarnation> ReadIncarnation(json_reader& reader) {
  const auto given = ParseIncarnation(reader.String("incarnation"));
  if (!given)
    return MakeError(error_code::kInvalidArgument, "incarnation: expected 16 hexadecimal digits");
  return *given;
}

}  // namespace

agent_service::impl::impl(fiber_thread& traffic_thread,
                          incarnation self,
                          const upstream_settings& settings,
                          const ledger_limits& limits)
    : traffic(traffic_thread),
      self_(self),
      settings_(settings),
      http_(traffic_thread),
      probe_(MakeHttpProbe(http_, settings.upstream, kProbeTimeout)),
      gate_(std::make_unique<admission_gate>(settings.admission)),
      ledger_(self, limits, Now(), std::chrono::system_clock::now()) {}

void agent_service::impl::Start() {
  SpawnLoop("probe", &impl::ProbeLoop);
  SpawnLoop("sweep", &impl::SweepLoop);
}

void agent_service::impl::SpawnLoop(std::string what, void (impl::*loop)()) {
  ++fibers;
  traffic.SpawnLoop(
      std::move(what), [this, loop] { (this->*loop)(); }, stop, [this] { --fibers; });
}

void agent_service::impl::Spawn(std::function<void()> task) {
  ++fibers;
  traffic.Spawn([this, task = std::move(task)] {
    RunGuarded("agent task", task);
    --fibers;
  });
}

void agent_service::impl::ProbeLoop() {
  while (!stop.WaitFor(settings_.probe_interval)) {
    const auto report = probe_->Probe();
    if (!report) {
      if (boot_ != 0)
        kLog.Warning("upstream is unreachable: ", report.error().message);
      boot_ = 0;
      gate_->OnConnectionLost();
    } else {
      if (report.value().boot != boot_)
        kLog.Info("upstream boot ", report.value().boot, ", limit starts cold");
      boot_ = report.value().boot;
      gate_->OnUpstreamBoot(boot_);
    }
    ApplyQueue();
  }
}

void agent_service::impl::ReportProgress() {
  const time_point now = Now();
  for (auto& [attempt, running] : running_) {
    const auto interval = running.streaming ? running.pace.Report(now) : std::nullopt;
    if (!interval)
      continue;
    // On the scale of the time to the first token, by which finished work is judged.
    gate_->ReportServiceTime(running.ticket,
                             *interval * settings_.admission.ramp.good_service_time.count() /
                                 settings_.good_token_interval.count());
  }
}

void agent_service::impl::SweepLoop() {
  while (!stop.WaitFor(kSweepInterval)) {
    ReportProgress();
    ApplyQueue();
    ledger_.Expire(Now());
  }
}

void agent_service::impl::ApplyQueue() {
  const queue_changes changes = gate_->ProcessQueue(Now());
  for (const admission_ticket ticket : changes.admitted) {
    const auto found = waiting_.find(ticket.value);
    if (found == waiting_.end())
      continue;
    found->second->admitted = true;
    found->second->decided = true;
    found->second->signal.Notify();
  }
  for (const shed_ticket& shed : changes.shed) {
    const auto found = waiting_.find(shed.ticket.value);
    if (found == waiting_.end())
      continue;
    found->second->refused = shed.refused;
    found->second->decided = true;
    found->second->signal.Notify();
  }
}

std::optional<rejection> agent_service::impl::WaitForSlot(http_exchange& exchange,
                                                          admission_ticket ticket,
                                                          admission_wait& wait) {
  ApplyQueue();
  bool connected = true;
  for (std::uint64_t seen = 0; !wait.decided;) {
    seen = wait.signal.WaitFor(seen, kHeartbeatInterval);
    if (wait.decided || !connected)
      continue;
    connected = exchange.Write(Encode(attempt_heartbeat{Load()}));
    if (connected)
      continue;
    // The entry is gone and the attempt has not begun, so nobody needs it to run.
    gate_->Cancel(ticket);
    wait.decided = true;
    wait.refused.failure = MakeError(error_code::kUnavailable, "entry closed the connection");
  }
  waiting_.erase(ticket.value);
  if (wait.admitted)
    return std::nullopt;
  return wait.refused;
}

void agent_service::impl::RunAttempt(http_exchange& exchange) {
  auto parsed = ParseAttemptRequest(exchange.request());
  if (!parsed) {
    Reject(exchange, {parsed.error(), std::nullopt, false, milliseconds(0), Load()});
    return;
  }
  attempt_request& request = parsed.value();
  const attempt_state known = ledger_.Status(request.attempt, request.wanted, Now());
  if (known != attempt_state::kNeverSeen) {
    Reject(exchange, FailureOf(known));
    return;
  }
  if (directory_) {
    const workspace_rank rank = directory_->RankOf(request.workspace);
    request.admission.weight = rank.weight;
  }
  const admission_decision decision = gate_->Offer(request.admission, Now());
  if (decision.rejected()) {
    Reject(exchange, Refusal(decision.refused));
    return;
  }
  // Registered before this fiber suspends for the first time: another one may take the ticket from
  // the queue at once, and a decision that finds nobody waiting would be lost with its slot.
  admission_wait wait;
  wait.attempt = request.attempt;
  wait.repeatable = request.repeatable;
  if (decision.queued())
    waiting_.emplace(decision.ticket.value, &wait);
  exchange.StartStream(200, {{"Content-Type", "text/event-stream"}});
  if (decision.queued()) {
    const auto refused = WaitForSlot(exchange, decision.ticket, wait);
    if (refused) {
      exchange.Write(Encode(Refusal(*refused)));
      exchange.Finish();
      return;
    }
  } else {
    ApplyQueue();
  }
  const begin_outcome begun =
      ledger_.Begin(request.attempt, request.wanted, Now(), request.repeatable);
  if (begun != begin_outcome::kStart) {
    gate_->Finish(decision.ticket, work_outcome::kIgnored, milliseconds(0), Now());
    ApplyQueue();
    attempt_failure failure;
    failure.failure =
        MakeError(error_code::kConflict, "attempt not started: " + std::string(ToString(begun)));
    failure.refused_by_ledger = begun;
    failure.load = Load();
    exchange.Write(Encode(failure));
    exchange.Finish();
    return;
  }
  const attempt_id attempt = request.attempt;
  Start(request, decision.ticket);
  Tail(exchange, attempt, 0);
}

void agent_service::impl::Start(const attempt_request& request, admission_ticket ticket) {
  running_.emplace(
      request.attempt,
      running_attempt{
          new attempt_signal, new call_cancellation, request.repeatable, ticket, false, {}});
  Spawn([this, request, ticket] { RunUpstream(request, ticket); });
}

void agent_service::impl::RunUpstream(const attempt_request& request, admission_ticket ticket) {
  const time_point started = Now();
  milliseconds first_byte{0};
  const result<void> copied = CopyAnswer(request, started, first_byte);
  const time_point now = Now();
  const ref_ptr<call_cancellation> cancellation = running_.at(request.attempt).cancellation;
  if (!copied && cancellation->cancelled()) {
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now - started);
    FinishCancelled(request, ticket, first_byte.count() > 0 ? first_byte : elapsed);
  } else if (copied) {
    served_.Add();
    service_times_.Record(first_byte);
    gate_->Finish(ticket, work_outcome::kServed, first_byte, now);
  } else {
    kLog.Warning("attempt ", ToString(request.attempt), " failed: ", copied.error().message);
    failed_.Add();
    ledger_.Fail(request.attempt, copied.error().outcome, now);
    const bool timeout = copied.error().code == error_code::kTimeout;
    gate_->Finish(ticket, timeout ? work_outcome::kTimedOut : work_outcome::kUpstreamError,
                  first_byte, now);
    if (!timeout)
      gate_->OnConnectionLost();
  }
  ApplyQueue();
  const auto ended = running_.extract(request.attempt);
  ended.mapped().signal->Notify();
}

void agent_service::impl::FinishCancelled(const attempt_request& request,
                                          admission_ticket ticket,
                                          milliseconds service_time) {
  cancelled_.Add();
  ledger_.Fail(request.attempt, verdict::kMayHaveRun, Now());
  running_.at(request.attempt).signal->Notify();
  boost::this_fiber::sleep_for(kCancelGrace);
  // Work that was too slow for its caller is evidence; without it, cancelling would hide a slow
  // upstream from the limit. A copy that merely lost a race says nothing.
  const bool slow = service_time > settings_.admission.ramp.good_service_time;
  gate_->Finish(ticket, slow ? work_outcome::kTimedOut : work_outcome::kIgnored, service_time,
                Now());
}

result<void> agent_service::impl::CopyAnswer(const attempt_request& request,
                                             time_point started,
                                             milliseconds& first_byte) {
  http_call call{settings_.upstream, request.forwarded};
  call.connect_timeout = settings_.connect_timeout;
  call.response_timeout = settings_.first_byte_timeout;
  call.idle_timeout = settings_.silence_timeout;
  call.cancellation = running_.at(request.attempt).cancellation;
  BOOST_OUTCOME_TRY(const std::unique_ptr<http_stream> stream, http_.Open(call));
  attempt_head head{stream->status(), {}};
  for (const http_header& field : stream->headers()) {
    if (IsHopByHop(field.name))
      continue;
    head.headers.Add(field.name, field.value);
  }
  running_.at(request.attempt).streaming =
      settings_.streams_tokens && head.headers.Get("Content-Type").starts_with("text/event-stream");
  ledger_.SetHead(request.attempt, head.status, EncodeHead(head));
  const ref_ptr<attempt_signal> signal = running_.at(request.attempt).signal;
  signal->Notify();
  for (;;) {
    BOOST_OUTCOME_TRY(const std::optional<std::string> piece, stream->ReadSome());
    if (first_byte.count() == 0)
      first_byte = std::chrono::duration_cast<milliseconds>(Now() - started);
    if (!piece)
      break;
    running_.at(request.attempt).pace.Take(*piece, Now());
    if (!ledger_.Append(request.attempt, *piece)) {
      return MakeError(error_code::kInternal, "answer is larger than an agent holds",
                       verdict::kMayHaveRun);
    }
    signal->Notify();
  }
  ledger_.Complete(request.attempt, head.status, Now());
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<boost::json::value> agent_service::impl::AttemptStatus(const boost::json::object& params) {
  std::vector<error> errors;
  const boost::json::value value(params);
  json_reader reader(value, "", errors);
  BOOST_OUTCOME_TRY(const attempt_id attempt, ReadAttemptId(reader));
  const auto wanted = ParseIncarnation(reader.String("incarnation", ""));
  const attempt_state state =
      wanted ? ledger_.Status(attempt, *wanted, Now()) : ledger_.Status(attempt, Now());
  return boost::json::value{{"state", ToString(state)}, {"load", ToJson(Load())}};
}

result<boost::json::value> agent_service::impl::BlockAttempt(const boost::json::object& params) {
  std::vector<error> errors;
  const boost::json::value value(params);
  json_reader reader(value, "", errors);
  BOOST_OUTCOME_TRY(const attempt_id attempt, ReadAttemptId(reader));
  BOOST_OUTCOME_TRY(const incarnation wanted, ReadIncarnation(reader));
  const attempt_state state = ledger_.Block(attempt, wanted, Now());
  return boost::json::value{{"state", ToString(state)}, {"load", ToJson(Load())}};
}

result<bool> agent_service::impl::CancelWaiting(attempt_id attempt) {
  for (const auto& [ticket, wait] : waiting_) {
    if (wait->attempt != attempt)
      continue;
    if (!wait->repeatable)
      return MakeError(error_code::kConflict, "the attempt is not repeatable");
    // It may have been admitted a moment ago; it has not begun in either case.
    gate_->Cancel({ticket});
    wait->admitted = false;
    wait->decided = true;
    wait->refused.failure = MakeError(error_code::kConflict, "cancelled by the entry");
    wait->signal.Notify();
    ApplyQueue();
    return true;
  }
  return false;
}

result<boost::json::value> agent_service::impl::CancelAttempt(const boost::json::object& params) {
  std::vector<error> errors;
  const boost::json::value value(params);
  json_reader reader(value, "", errors);
  BOOST_OUTCOME_TRY(const attempt_id attempt, ReadAttemptId(reader));
  BOOST_OUTCOME_TRY(const incarnation wanted, ReadIncarnation(reader));
  if (wanted != self_)
    return MakeError(error_code::kStale, "the attempt belongs to another incarnation");
  bool cancelled = false;
  const auto running = running_.find(attempt);
  if (running != running_.end()) {
    if (!running->second.repeatable)
      return MakeError(error_code::kConflict, "the attempt is not repeatable");
    running->second.cancellation->Cancel();
    cancelled = true;
  } else {
    BOOST_OUTCOME_TRY(cancelled, CancelWaiting(attempt));
  }
  // The cancellation may have overtaken the attempt itself, which then must not start.
  if (!cancelled)
    cancelled = ledger_.Block(attempt, wanted, Now()) == attempt_state::kBlocked;
  return boost::json::value{{"cancelled", cancelled}, {"load", ToJson(Load())}};
}

void agent_service::impl::SetDirectory(std::shared_ptr<const agent_directory> directory) {
  directory_ = std::move(directory);
}

void agent_service::impl::SetUpstream(const upstream_settings& settings) {
  gate_->SetLimits(settings.admission.cold_limit, settings.admission.full_limit,
                   settings.admission.queue_limit);
  gate_->SetWarmRequests(settings.admission.ramp.warm_requests);
  ledger_.SetHorizon(AttemptHorizon(settings.claim_retention), Now());
  ApplyQueue();
  if (settings.upstream != settings_.upstream)
    probe_ = MakeHttpProbe(http_, settings.upstream, kProbeTimeout);
  settings_ = settings;
}

void agent_service::impl::SetDraining(bool draining) {
  if (draining != draining_)
    kLog.Info(draining ? "failure domain or host is out, new work is refused"
                       : "failure domain and host are in, new work is accepted");
  draining_ = draining;
  gate_->SetDraining(draining_ || leaving_);
  ApplyQueue();
}

void agent_service::impl::SetLeaving() {
  leaving_ = true;
  gate_->SetDraining(true);
  ApplyQueue();
}

std::string agent_service::impl::Metrics(const control_bytes& bytes) {
  SetControlGauges(metrics_, bytes);
  const agent_load load = Load();
  metrics_.AddGauge({"quincebank_agent_in_flight", "Attempts at the upstream.", {}})
      .Set(load.in_flight);
  metrics_.AddGauge({"quincebank_agent_queued", "Attempts in the queue.", {}}).Set(load.queued);
  metrics_.AddGauge({"quincebank_agent_limit", "Limit of attempts at the upstream.", {}})
      .Set(load.limit);
  metrics_.AddGauge({"quincebank_agent_cold", "1 while the upstream is in cold start.", {}})
      .Set(load.cold ? 1 : 0);
  metrics_.AddGauge({"quincebank_agent_held_bytes", "Bytes of held answers.", {}})
      .Set(static_cast<std::int64_t>(ledger_.held_bytes()));
  metrics_.AddGauge({"quincebank_agent_known_attempts", "Attempts in the ledger.", {}})
      .Set(static_cast<std::int64_t>(ledger_.records()));
  return ToPrometheusText(metrics_.Snapshot());
}

agent_load agent_service::impl::Load() const {
  const admission_state state = gate_->State();
  agent_load load;
  load.in_flight = static_cast<std::uint32_t>(state.in_flight);
  load.queued = static_cast<std::uint32_t>(state.queued);
  load.limit = static_cast<std::uint32_t>(state.limit);
  load.cold = state.phase == admission_phase::kCold;
  load.draining = draining_;
  load.leaving = leaving_;
  load.life = self_;
  load.boot = boot_;
  load.config_version = directory_ ? directory_->version() : 0;
  return load;
}

}  // namespace quincebank
