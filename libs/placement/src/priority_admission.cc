#include "quincebank/placement/priority_admission.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

namespace quincebank {
namespace {

// Bounds on the headroom that a priority leaves, as a share of an engine's slots. With 10 slots the
// lowest priority leaves about 1.7 in the usual mix. Since passes of smaller batches are shorter, a
// batch of four fifths of the slots still serves nine tenths as many streams.
constexpr double kMinHeadroom = 0.05;
constexpr double kMaxHeadroom = 0.2;
// Part of the recent arrivals (one eighth) from which on a priority competes with others.
constexpr int kCompetingPart = 8;
// Fewer recent arrivals, as after a start, do not show the parts of the priorities.
constexpr int kMinArrivals = 16;
// Shares of the strictest event gap at which the pass time begins to count and counts fully. The
// lower priorities divide this range, the lowest first. A mean pass time close to the objective
// makes streams late already, since single passes are longer.
constexpr double kPassTimeFrom = 0.7;
constexpr double kPassTimeFull = 0.95;
// Largest share of a priority that is rejected for the pass time, until the guarantee applies.
constexpr double kMaxRejectedShare = 0.8;
// Occupancy of the batch below which rejecting hardly shortens a pass, and from which it does.
constexpr double kFutileOccupancy = 0.25;
constexpr double kFullOccupancy = 0.5;
constexpr milliseconds kMinRetryAfter{500};
constexpr milliseconds kMaxRetryAfter{5'000};
constexpr milliseconds kDefaultRetryAfter{1'000};

nanoseconds Scale(nanoseconds time, double factor) noexcept {
  return nanoseconds(static_cast<nanoseconds::rep>(static_cast<double>(time.count()) * factor));
}

/// Position of a value in a range, from 0 to 1.
double Progress(double value, double from, double to) noexcept {
  return std::clamp((value - from) / (to - from), 0.0, 1.0);
}

double RejectedShare(const pass_time_band& band,
                     const engine_profile& profile,
                     const group_pass_stats& pass_stats) noexcept {
  if (band.full.count() == 0 || pass_stats.pass_time <= band.from)
    return 0;
  const double occupancy = pass_stats.mean_batch_size / std::max(profile.batch_slots, 1);
  return kMaxRejectedShare * Progress(occupancy, kFutileOccupancy, kFullOccupancy) *
         Progress(static_cast<double>(pass_stats.pass_time.count()),
                  static_cast<double>(band.from.count()), static_cast<double>(band.full.count()));
}

bool ServedBy(const route_rule& route, std::string_view service) {
  return std::any_of(route.services.begin(), route.services.end(),
                     [&](const weighted_service& one) { return one.service == service; });
}

void KeepShortest(milliseconds& shortest, milliseconds objective) noexcept {
  if (objective.count() > 0 && (shortest.count() == 0 || objective < shortest))
    shortest = objective;
}

}  // namespace

service_priorities FindPriorities(const service_catalog& catalog, std::string_view service) {
  service_priorities found;
  std::set<int> present;
  const auto& workspaces = catalog.workspaces();
  const bool all_override =
      !workspaces.empty() && std::all_of(workspaces.begin(), workspaces.end(),
                                         [](const auto& one) { return one.priority.has_value(); });
  for (const route_rule& route : catalog.routes()) {
    if (!ServedBy(route, service))
      continue;
    if (route.anonymous || !all_override)
      present.insert(route.priority);
    for (const workspace_rule& workspace : workspaces)
      present.insert(workspace.priority.value_or(route.priority));
    KeepShortest(found.latency_objective, route.latency_objective);
    KeepShortest(found.event_gap_objective, route.event_gap_objective);
  }
  found.present.assign(present.begin(), present.end());
  return found;
}

engine_allowance priority_claim::At(const engine_profile& profile,
                                    const group_pass_stats& pass_stats) const noexcept {
  engine_allowance allowance;
  allowance.limit = EngineRequestLimit(profile, pass_stats, goal);
  if (is_highest)
    return allowance;
  const int slots = std::max(profile.batch_slots, 1);
  allowance.limit = std::min(allowance.limit, slots);
  if (is_guaranteed)
    return allowance;
  const int batch =
      std::min(EngineBatchLimit(profile, pass_stats, goal.pass_time), allowance.limit);
  // The fraction of a slot is left by a part of the requests.
  const int headroom = static_cast<int>(headroom_share * slots + draws.headroom);
  allowance.limit = std::max(batch - headroom, 0);
  allowance.rejected_share = RejectedShare(band, profile, pass_stats);
  allowance.pass_too_long = draws.pass_time < allowance.rejected_share;
  return allowance;
}

priority_admission::priority_admission(service_priorities priorities)
    : priorities_(std::move(priorities)) {}

priority_admission::recent_counts& priority_admission::CountsAt(int priority,
                                                                time_point now) noexcept {
  const std::int64_t period = now.time_since_epoch() / kPeriod;
  auto& window = windows_.at(static_cast<std::size_t>(std::clamp(priority, 0, 9)));
  recent_counts& counts = window.at(static_cast<std::size_t>(period) % kWindowPeriods);
  if (counts.period != period)
    counts = {period, 0, 0};
  return counts;
}

priority_admission::recent_counts priority_admission::Sum(std::size_t priority,
                                                          time_point now) const noexcept {
  recent_counts sum;
  sum.period = now.time_since_epoch() / kPeriod;
  for (const recent_counts& counts : windows_.at(priority)) {
    if (counts.period + static_cast<std::int64_t>(kWindowPeriods) <= sum.period)
      continue;
    sum.arrived += counts.arrived;
    sum.admitted += counts.admitted;
  }
  return sum;
}

bool priority_admission::IsShort(std::size_t priority, time_point now) const noexcept {
  const recent_counts recent = Sum(priority, now);
  return recent.arrived > 2 * recent.admitted;
}

priority_claim priority_admission::OnArrival(int priority,
                                             const admission_draws& draws,
                                             time_point now) noexcept {
  ++CountsAt(priority, now).arrived;
  priority_claim claim;
  claim.draws = draws;
  claim.goal = MakeLatencyGoal(priorities_.latency_objective, priorities_.event_gap_objective);
  claim.is_highest = priorities_.present.empty() || priority <= priorities_.present.front();
  if (claim.is_highest)
    return claim;
  int arrived = 0;
  int higher = 0;
  for (std::size_t other = 0; other < kPriorities; ++other) {
    const recent_counts recent = Sum(other, now);
    arrived += recent.arrived;
    if (static_cast<int>(other) < priority)
      higher += recent.arrived;
    else
      claim.is_guaranteed = claim.is_guaranteed || IsShort(other, now);
  }
  claim.headroom_share =
      std::clamp(kMaxHeadroom * higher / std::max(arrived, 1), kMinHeadroom, kMaxHeadroom);
  if (higher > 0)
    claim.band = PassTimeBand(priority);
  return claim;
}

bool priority_admission::HasCompetition(time_point now) const noexcept {
  std::array<int, kPriorities> arrived{};
  for (std::size_t priority = 0; priority < kPriorities; ++priority)
    arrived.at(priority) = Sum(priority, now).arrived;
  const int all = std::accumulate(arrived.begin(), arrived.end(), 0);
  if (all < kMinArrivals)
    return false;
  return std::count_if(arrived.begin(), arrived.end(),
                       [&](int one) { return one > 0 && one * kCompetingPart >= all; }) > 1;
}

void priority_admission::OnAdmitted(int priority, time_point now) noexcept {
  ++CountsAt(priority, now).admitted;
}

pass_time_band priority_admission::PassTimeBand(int priority) const noexcept {
  const auto& present = priorities_.present;
  const auto lower = std::upper_bound(present.begin(), present.end(), priority);
  if (present.size() < 2 || priority <= present.front())
    return {};
  const double width = (kPassTimeFull - kPassTimeFrom) / static_cast<double>(present.size() - 1);
  const double from = kPassTimeFrom + width * static_cast<double>(present.end() - lower);
  const nanoseconds gap = priorities_.event_gap_objective;
  return {Scale(gap, from), Scale(gap, from + width)};
}

void ApplyAllowance(const engine_allowance& allowance, placement_candidate& candidate) noexcept {
  candidate.limit = allowance.EffectiveLimit();
  candidate.query_from = std::max(std::min(candidate.limit, candidate.slots) / 2, 1);
}

milliseconds CapacityRetryAfter(const engine_profile& profile, nanoseconds pass_time) noexcept {
  if (pass_time.count() <= 0 || profile.mean_answer_tokens <= 0)
    return kDefaultRetryAfter;
  const double passes = profile.mean_answer_tokens / std::max(profile.tokens_per_event, 1);
  return std::clamp(std::chrono::duration_cast<milliseconds>(Scale(pass_time, passes)),
                    kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace quincebank
