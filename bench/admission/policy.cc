#include "policy.h"

#include <algorithm>
#include <cmath>

#include "quincebank/base/random.h"
#include "upstream.h"

namespace quincebank::bench {
namespace {

constexpr milliseconds kUnloaded{1000};
// Work that takes up to 30% longer than on an unloaded upstream is good.
constexpr double kGoodStretch = 1.3;
constexpr double kLargestStretch = 1000;

milliseconds Millis(double value) {
  return milliseconds(static_cast<milliseconds::rep>(value * 1000));
}

}  // namespace

time_point VirtualTime(double seconds_since_start) {
  return time_point(std::chrono::duration_cast<time_point::duration>(
      std::chrono::duration<double>(1 + seconds_since_start)));
}

void no_limit::Offer(const offered_work& work, double /*now*/, policy_step& step) {
  step.start.push_back(work.id);
}

fixed_limit::fixed_limit(std::size_t limit, std::size_t queue_limit)
    : limit_(limit), queue_limit_(queue_limit) {}

void fixed_limit::Offer(const offered_work& work, double /*now*/, policy_step& step) {
  if (in_flight_ < limit_) {
    ++in_flight_;
    step.start.push_back(work.id);
  } else if (queue_.size() < queue_limit_) {
    queue_.push_back(work.id);
  } else {
    step.reject.push_back({work.id, kUnloaded});
  }
}

void fixed_limit::Finish(std::uint64_t /*id*/,
                         work_outcome /*outcome*/,
                         double /*stretch*/,
                         double /*now*/,
                         policy_step& step) {
  --in_flight_;
  if (queue_.empty())
    return;
  ++in_flight_;
  step.start.push_back(queue_.front());
  queue_.pop_front();
}

void fixed_limit::Withdraw(std::uint64_t id, double /*now*/, policy_step& /*step*/) {
  std::erase(queue_, id);
}

gate_policy::gate_policy(const admission_settings& settings) : gate_(settings) {}

void gate_policy::Offer(const offered_work& work, double now, policy_step& step) {
  const admission_decision decision =
      gate_.Offer({.workspace = Mix64(work.workspace + 1), .deadline = Millis(work.deadline - now)},
                  VirtualTime(now));
  if (decision.rejected()) {
    step.reject.push_back({work.id, decision.refused.retry_after});
  } else {
    tickets_.emplace(work.id, decision.ticket);
    ids_.emplace(decision.ticket.value, work.id);
    if (decision.admitted())
      step.start.push_back(work.id);
  }
  Collect(now, step);
}

void gate_policy::Finish(std::uint64_t id,
                         work_outcome outcome,
                         double stretch,
                         double now,
                         policy_step& step) {
  const admission_ticket ticket = tickets_.at(id);
  gate_.Finish(ticket, outcome, Millis(std::min(stretch, kLargestStretch)), VirtualTime(now));
  ids_.erase(ticket.value);
  tickets_.erase(id);
  Collect(now, step);
}

void gate_policy::ReportServiceTime(std::uint64_t id, double stretch) {
  gate_.ReportServiceTime(tickets_.at(id), Millis(std::min(stretch, kLargestStretch)));
}

void gate_policy::Withdraw(std::uint64_t id, double now, policy_step& step) {
  const admission_ticket ticket = tickets_.at(id);
  gate_.Cancel(ticket);
  ids_.erase(ticket.value);
  tickets_.erase(id);
  Collect(now, step);
}

void gate_policy::Tick(double now, policy_step& step) {
  Collect(now, step);
}

void gate_policy::OnBoot(std::uint64_t boot_number) {
  gate_.OnUpstreamBoot(boot_number);
}

void gate_policy::Collect(double now, policy_step& step) {
  const queue_changes changes = gate_.ProcessQueue(VirtualTime(now));
  for (const admission_ticket ticket : changes.admitted)
    step.start.push_back(ids_.at(ticket.value));
  for (const shed_ticket& shed : changes.shed) {
    const std::uint64_t id = ids_.at(shed.ticket.value);
    ids_.erase(shed.ticket.value);
    tickets_.erase(id);
    step.reject.push_back({id, shed.refused.retry_after});
  }
}

const char* ToString(policy_kind kind) noexcept {
  switch (kind) {
    case policy_kind::kNoLimit:
      return "no limit";
    case policy_kind::kFixedAtKnee:
      return "fixed 16 (knee)";
    case policy_kind::kFixedTooHigh:
      return "fixed 64";
    case policy_kind::kGate:
      return "gate (4 to 64)";
  }
  return "";
}

admission_settings GateSettings() {
  admission_settings settings;
  settings.cold_limit = static_cast<std::size_t>(batching_upstream::kColdKnee);
  settings.full_limit = kFullLimit;
  settings.queue_limit = kQueueLimit;
  settings.expected_service_time = kUnloaded;
  settings.ramp.good_service_time = Millis(kGoodStretch);
  return settings;
}

std::unique_ptr<policy> MakePolicy(policy_kind kind) {
  switch (kind) {
    case policy_kind::kNoLimit:
      return std::make_unique<no_limit>();
    case policy_kind::kFixedAtKnee:
      return std::make_unique<fixed_limit>(static_cast<std::size_t>(batching_upstream::kWarmKnee),
                                           kQueueLimit);
    case policy_kind::kFixedTooHigh:
      return std::make_unique<fixed_limit>(kFullLimit, kQueueLimit);
    case policy_kind::kGate:
      break;
  }
  return std::make_unique<gate_policy>(GateSettings());
}

}  // namespace quincebank::bench
