#include "simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace quincebank::bench {
namespace {

constexpr double kTickSeconds = 0.05;
constexpr double kReportSeconds = 0.25;
// Work lengths are a constant part and an exponential one, with a mean of 1 s.
constexpr double kLeastWork = 0.25;
constexpr double kRandomWork = 0.75;
constexpr double kLeastPatience = 3;
constexpr double kRandomPatience = 3;
constexpr double kRetryDelay = 0.1;
constexpr double kP95 = 0.95;

double Exponential(random_source& random) {
  return -std::log(1 - random.Unit());
}

}  // namespace

double run_result::Goodput(const run_settings& settings) const {
  return good_work / (settings.duration - settings.measure_from) / kCapacity;
}

double run_result::P95() const {
  if (latencies.empty())
    return 0;
  std::vector<double> sorted = latencies;
  const auto position = static_cast<std::ptrdiff_t>(kP95 * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + position, sorted.end());
  return sorted[static_cast<std::size_t>(position)];
}

simulation::simulation(const run_settings& settings, std::unique_ptr<policy> admission)
    : settings_(settings),
      policy_(std::move(admission)),
      upstream_(settings.cold),
      random_(settings.seed),
      entries_(settings.following_entries) {
  result_.good_per_second.resize(static_cast<std::size_t>(settings.duration) + 1);
}

void simulation::Schedule(double at, event_kind kind, std::uint64_t id) {
  events_.push({at, next_order_++, kind, id});
}

run_result simulation::Run() {
  policy_->OnBoot(upstream_.boot_number());
  Schedule(0, event_kind::kArrival);
  Schedule(0, event_kind::kTick);
  Schedule(kReportSeconds, event_kind::kReport);
  if (settings_.crash_at)
    Schedule(*settings_.crash_at, event_kind::kCrash);
  if (settings_.turn_cold_at)
    Schedule(*settings_.turn_cold_at, event_kind::kTurnCold);
  while (now_ < settings_.duration) {
    const auto done = upstream_.Next();
    if (done && done->at <= events_.top().at) {
      now_ = done->at;
      Complete(*done);
      continue;
    }
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    Handle(next);
  }
  result_.crashes = upstream_.crashes();
  return std::move(result_);
}

void simulation::Handle(const event& next) {
  policy_step step;
  switch (next.kind) {
    case event_kind::kArrival:
      Arrive();
      break;
    case event_kind::kAttempt:
      BeginAttempt(next.id);
      break;
    case event_kind::kTimeout:
      TimeOut(next.id);
      break;
    case event_kind::kTick:
      policy_->Tick(now_, step);
      Apply(step);
      Schedule(now_ + kTickSeconds, event_kind::kTick);
      break;
    case event_kind::kReport:
      Report();
      Schedule(now_ + kReportSeconds, event_kind::kReport);
      break;
    case event_kind::kCrash:
      Fail(upstream_.Crash(now_));
      break;
    case event_kind::kTurnCold:
      upstream_.TurnCold(now_);
      break;
    case event_kind::kBooted:
      policy_->OnBoot(upstream_.boot_number());
      break;
  }
}

void simulation::Arrive() {
  const double rate = settings_.load(now_) * kCapacity;
  Schedule(now_ + Exponential(random_) / rate, event_kind::kArrival);
  request fresh;
  fresh.workspace = settings_.workspace(random_);
  fresh.arrived = now_;
  fresh.work = kLeastWork + kRandomWork * Exponential(random_);
  fresh.patience = kLeastPatience + kRandomPatience * random_.Unit();
  fresh.measured = now_ >= settings_.measure_from;
  if (fresh.measured) {
    ++result_.requests;
    ++result_.workspaces[fresh.workspace].requests;
  }
  requests_.push_back(fresh);
  budget_.OnRequest();
  BeginAttempt(requests_.size() - 1);
}

void simulation::BeginAttempt(std::uint64_t request_id) {
  request& wanted = requests_[request_id];
  ++wanted.attempts;
  if (wanted.measured)
    ++result_.attempts;
  const std::uint64_t id = next_attempt_++;
  const std::size_t entry = entries_.empty() ? 0 : random_.Below(entries_.size());
  attempts_.emplace(id, attempt{request_id, now_, entry, false});
  if (!entries_.empty() && entries_[entry].Check(VirtualTime(now_), random_)) {
    if (wanted.measured)
      ++result_.held;
    EndAttempt(id);
    return;
  }
  Schedule(now_ + wanted.patience, event_kind::kTimeout, id);
  policy_step step;
  policy_->Offer({id, wanted.workspace, now_ + wanted.patience}, now_, step);
  Apply(step);
}

void simulation::Apply(const policy_step& step) {
  for (const rejected_work& rejected : step.reject) {
    const attempt& refused = attempts_.at(rejected.id);
    if (requests_[refused.request].measured)
      ++result_.rejected;
    Follow(refused, rejected.retry_after);
    EndAttempt(rejected.id);
  }
  std::vector<std::uint64_t> failed;
  for (const std::uint64_t id : step.start) {
    attempt& begun = attempts_.at(id);
    begun.running = true;
    begun.begun = now_;
    Follow(begun, std::nullopt);
    if (!upstream_.Start(id, requests_[begun.request].work, now_))
      failed.push_back(id);
  }
  Fail(failed);
  Fail(upstream_.CrashIfOverloaded(now_));
}

void simulation::Follow(const attempt& decided, std::optional<milliseconds> retry_after) {
  if (entries_.empty())
    return;
  if (retry_after) {
    entries_[decided.entry].OnRejected(*retry_after, VirtualTime(now_));
  } else {
    entries_[decided.entry].OnAccepted(VirtualTime(now_));
  }
}

void simulation::Fail(const std::vector<std::uint64_t>& attempt_ids) {
  if (attempt_ids.empty())
    return;
  // Agents learn of a crash by the broken connections, and of the boot number a little later.
  Schedule(now_ + kTickSeconds, event_kind::kBooted);
  for (const std::uint64_t id : attempt_ids) {
    policy_step step;
    policy_->Finish(id, work_outcome::kUpstreamError, 0, now_, step);
    EndAttempt(id);
    Apply(step);
  }
}

void simulation::TimeOut(std::uint64_t attempt_id) {
  const auto found = attempts_.find(attempt_id);
  if (found == attempts_.end())
    return;
  policy_step step;
  if (found->second.running) {
    const double done = upstream_.Cancel(attempt_id, now_);
    if (requests_[found->second.request].measured)
      result_.wasted_work += done;
    const double stretch = (now_ - found->second.begun) / std::max(done, 1e-3);
    policy_->Finish(attempt_id, work_outcome::kTimedOut, stretch, now_, step);
  } else {
    policy_->Withdraw(attempt_id, now_, step);
  }
  EndAttempt(attempt_id);
  Apply(step);
}

void simulation::Report() {
  const double attained = upstream_.Attained(now_);
  const double stretch = (now_ - reported_at_) / std::max(attained - reported_attained_, 1e-6);
  std::vector<std::uint64_t> running;
  for (const auto& [id, one] : attempts_) {
    if (one.running && one.begun <= reported_at_)
      running.push_back(id);
  }
  // Hash order differs between libraries; the results must not.
  std::sort(running.begin(), running.end());
  for (const std::uint64_t id : running)
    policy_->ReportServiceTime(id, stretch);
  reported_at_ = now_;
  reported_attained_ = attained;
}

void simulation::Complete(const batching_upstream::completion& done) {
  upstream_.Finish(done);
  const attempt finished = attempts_.at(done.id);
  attempts_.erase(done.id);
  const request& answered = requests_[finished.request];
  if (answered.measured) {
    ++result_.good;
    result_.good_work += answered.work;
    result_.latencies.push_back(now_ - answered.arrived);
    ++result_.workspaces[answered.workspace].good;
  }
  ++result_.good_per_second[static_cast<std::size_t>(answered.arrived)];
  policy_step step;
  policy_->Finish(done.id, work_outcome::kServed, (now_ - finished.begun) / answered.work, now_,
                  step);
  Apply(step);
}

void simulation::EndAttempt(std::uint64_t attempt_id) {
  const std::uint64_t request_id = attempts_.at(attempt_id).request;
  attempts_.erase(attempt_id);
  if (requests_[request_id].attempts >= settings_.max_attempts)
    return;
  if (settings_.budget && !budget_.TryTakeToken())
    return;
  Schedule(now_ + kRetryDelay, event_kind::kAttempt, request_id);
}

}  // namespace quincebank::bench
