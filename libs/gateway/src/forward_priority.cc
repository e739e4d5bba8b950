// Admission by priority while capacity is short.

#include <algorithm>
#include <limits>
#include <utility>

#include "forward_flow.h"
#include "quincebank/base/clock.h"

namespace quincebank {
namespace {

constexpr std::string_view kCapacityReason = "priority-capacity";
constexpr std::string_view kPassTimeReason = "priority-pass-time";
// Retry-After is spread by this factor: all gateways reject at the same time, and a client that has
// been rejected before can't be told apart.
constexpr double kMinSpread = 0.6;
constexpr double kSpreadRange = 1;

group_pass_stats PassStats(const known_upstream& upstream, time_point now) {
  if (!upstream.liveness)
    return {};
  return {upstream.liveness->PassTime(now), upstream.liveness->mean_serving_batch_size()};
}

}  // namespace

priority_admission* gateway_context::AdmissionFor(const service_catalog& catalog,
                                                  const service_rule& service) {
  const auto found = admissions.find(service.name);
  if (found == admissions.end() || found->second.config_version < catalog.version()) {
    service_priorities priorities = FindPriorities(catalog, service.name);
    if (found == admissions.end()) {
      admissions.emplace(
          service.name,
          service_admission{catalog.version(), priority_admission(std::move(priorities))});
    } else {
      found->second.config_version = catalog.version();
      found->second.decision.SetPriorities(std::move(priorities));
    }
  }
  priority_admission& admission = admissions.find(service.name)->second.decision;
  return admission.priorities().differ() ? &admission : nullptr;
}

void forward_flow::ClaimCapacity() {
  if (claim_ || sends_ > 0 || !service_->engine)
    return;
  priority_admission* const admission = shared_.AdmissionFor(*catalog_, *service_);
  if (admission == nullptr)
    return;
  const admission_draws draws{shared_.random.Unit(), shared_.random.Unit()};
  const time_point now = Now();
  claim_ = admission->OnArrival(priority_, draws, now);
  if (!admission->HasCompetition(now))
    claim_.reset();
}

void forward_flow::OnCapacityGranted() {
  if (sends_ > 0 || !service_->engine)
    return;
  if (claim_)
    claim_->is_guaranteed = true;
  if (priority_admission* const admission = shared_.AdmissionFor(*catalog_, *service_))
    admission->OnAdmitted(priority_, Now());
}

engine_allowance forward_flow::AllowanceAt(const known_upstream& upstream) const {
  return claim_->At(*service_->engine, PassStats(upstream, Now()));
}

bool forward_flow::IsHeldBack() {
  if (!claim_ || claim_->may_wait() || obstacle_ != placement_obstacle::kFull)
    return false;
  held_back_ = FindShortage();
  return held_back_.has_value();
}

std::optional<held_back_request> forward_flow::FindShortage() {
  const time_point now = Now();
  std::vector<const known_upstream*> eligible;
  const std::vector<placement_candidate> candidates = FindCandidates(*snapshot_, eligible, {});
  held_back_request held;
  held.reason = kCapacityReason;
  int least_load = std::numeric_limits<int>::max();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const placement_candidate& candidate = candidates[i];
    if (candidate.superseded || candidate.ejected || candidate.rate_limited)
      continue;
    const int load = candidate.in_flight + candidate.reported.value_or(0);
    // Only some engines were queried for their loads; another one is open to the request.
    if (load < candidate.limit)
      return std::nullopt;
    const group_pass_stats pass_stats = PassStats(*eligible[i], now);
    const engine_allowance allowance = claim_->At(*service_->engine, pass_stats);
    if (allowance.pass_too_long && load < allowance.limit)
      held.reason = kPassTimeReason;
    if (load >= least_load)
      continue;
    least_load = load;
    held.load = load;
    held.allowance = allowance;
    held.pass_stats = pass_stats;
  }
  if (least_load == std::numeric_limits<int>::max())
    return std::nullopt;
  const double spread = kMinSpread + kSpreadRange * shared_.random.Unit();
  held.retry_after = std::chrono::duration_cast<milliseconds>(
      spread * CapacityRetryAfter(*service_->engine, held.pass_stats.pass_time));
  return held;
}

void forward_flow::OnNoCapacity() {
  if (!claim_ || obstacle_ != placement_obstacle::kFull)
    return;
  if (!held_back_)
    held_back_ = FindShortage();
  const bool for_pass_time = held_back_ && held_back_->reason == kPassTimeReason;
  shared_.metrics.registry
      .AddCounter({"quincebank_priority_rejected_total",
                   "Requests rejected while capacity was short, by priority.",
                   {{"reason", for_pass_time ? "pass-time" : "capacity"},
                    {"priority", std::to_string(priority_)}}})
      .Add();
}

milliseconds forward_flow::MaxQueueWait() const {
  return claim_ ? claim_->goal.queue_time : milliseconds::max();
}

void forward_flow::AddHeldBackFields(event_line& line) const {
  if (!held_back_)
    return;
  const auto to_ms = [](nanoseconds time) {
    return std::chrono::duration<double, std::milli>(time).count();
  };
  line.Add("priority", priority_)
      .Add("load", held_back_->load)
      .Add("limit", held_back_->allowance.limit)
      .Add("guaranteed", claim_->is_guaranteed)
      .Add("headroom", claim_->headroom_share)
      .Add("headroom_draw", claim_->draws.headroom)
      .Add("batch", held_back_->pass_stats.mean_batch_size)
      .Add("pass_ms", to_ms(held_back_->pass_stats.pass_time))
      .Add("pass_from_ms", to_ms(claim_->band.from))
      .Add("pass_full_ms", to_ms(claim_->band.full))
      .Add("rejected_share", held_back_->allowance.rejected_share)
      .Add("pass_draw", claim_->draws.pass_time);
}

}  // namespace quincebank
