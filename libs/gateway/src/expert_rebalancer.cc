#include "quincebank/gateway/expert_rebalancer.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <numeric>
#include <thread>
#include <utility>

#include "quincebank/base/clock.h"
#include "quincebank/experts/popularity_record.h"

namespace quincebank {
namespace {

// Between checks whether all fibers have ended.
constexpr milliseconds kPoll{2};
// Between scans for groups that no fiber handles yet.
constexpr milliseconds kGroupScanPeriod{100};
// Between reads of the reports of one group that show whether its ranks use the same map.
constexpr milliseconds kMapCheckPeriod{1'000};
// Between reads of the expert counts of one group, and the shortest pause after a late read.
constexpr milliseconds kCountReadPeriod{100};
constexpr milliseconds kMinReadPause{10};
// A map is kept while its peak load is at most this multiple of the mean load.
constexpr double kToleratedPeakRatio = 1.2;
// Smallest fraction of the peak load, which determines the expert time, that a map change must
// save.
constexpr double kMinGain = 0.1;
// Peaks above this multiple of the mean load are lowered at once, smaller ones at most once per
// interval: orders to all ranks have a cost, and the counts of one window are noisy.
constexpr double kUrgentPeakRatio = 1.35;
constexpr milliseconds kNonUrgentChangeInterval{2'000};
// Minimum gain while only the stored popularity is known, which may have shifted since.
constexpr double kMinGainIfAssumed = 0.35;
// After this many consecutive reads without any expert choice, an idle group is recovered: its
// ranks may wait at a held pass that nobody releases.
constexpr int kIdleReadsBeforeRecovery = 5;
// A restored store goes back to a lower revision, by fewer revisions than this.
constexpr std::uint64_t kRevisionsPerEra = 1U << 20U;
// Most experts, over all sets, that one rank may load for one map change.
constexpr int kMaxLoadsPerRank = 24;
// Duration of a map change without the loading of experts.
constexpr milliseconds kMapSwitchTime{250};
// Expected time that a new map stays useful: at the busiest sites the popularity shifts every few
// seconds.
constexpr milliseconds kPlanHorizon{2'500};

/// Adds the expert choices between two reads of one rank to `window`, and sets `before` to `now`.
/// Adds nothing on the first read.
void AddCounts(const std::vector<std::uint64_t>& now,
               std::vector<std::uint64_t>& before,
               std::vector<std::vector<double>>& window) {
  const bool first = before.size() != now.size();
  for (std::size_t i = 0; !first && i < now.size(); ++i) {
    const std::size_t experts = window.front().size();
    window[i / experts][i % experts] += static_cast<double>(now[i] - std::min(before[i], now[i]));
  }
  before = now;
}

/// Numbers the terms of all coordinators in their order.
std::uint64_t TermNumber(const store_position& claim) {
  return claim.era * kRevisionsPerEra + claim.revision;
}

even_share_shape ShapeOf(const engine_profile& profile, std::size_t ranks) {
  return {static_cast<int>(ranks), profile.experts_per_set, profile.places_per_rank,
          profile.new_experts_per_plan, kMaxLoadsPerRank};
}

even_share_limits LimitsOf(const engine_profile& profile) {
  even_share_limits limits;
  limits.switch_time = kMapSwitchTime;
  limits.load_time = profile.expert_load_time;
  limits.horizon = kPlanHorizon;
  return limits;
}

}  // namespace

expert_rebalancer::expert_rebalancer(fleet_sync& sync,
                                     engine_port& port,
                                     event_log& log,
                                     const fleet_snapshot_holder& snapshots)
    : sync_(sync), port_(port), log_(log), snapshots_(snapshots) {}

void expert_rebalancer::Start(fiber_thread& thread) {
  ++running_fibers_;
  thread.SpawnLoop(
      "experts", [this, &thread] { ScanLoop(thread); }, stop_, [this] { --running_fibers_; });
}

void expert_rebalancer::AwaitEnd(time_point limit) const {
  while (running_fibers_ > 0 && Now() < limit)
    boost::this_fiber::sleep_for(kPoll);
}

void expert_rebalancer::Join() const {
  while (running_fibers_ > 0)
    std::this_thread::sleep_for(kPoll);
}

void expert_rebalancer::Stop() {
  stop_.Set();
}

bool expert_rebalancer::HasExpertServices() const {
  const auto snapshot = snapshots_.Get();
  if (!snapshot->catalog)
    return false;
  const auto& services = snapshot->catalog->services();
  return std::any_of(services.begin(), services.end(), [](const service_rule& service) {
    return service.engine && service.engine->expert_sets > 0;
  });
}

void expert_rebalancer::ScanLoop(fiber_thread& thread) {
  while (!stop_.WaitFor(kGroupScanPeriod)) {
    if (!HasExpertServices())
      continue;
    // Claimed even before any group has formed, so that groups are balanced as soon as they form.
    if (!sync_.IsCoordinator())
      sync_.TryClaimCoordinatorRole();
    if (!sync_.IsCoordinator())
      continue;
    for (const auto& [name, group] : FindRankGroups(snapshots_.Get())) {
      group_state& state = groups_[name];
      if (state.fiber_running)
        continue;
      state.fiber_running = true;
      ++running_fibers_;
      thread.Spawn([this, group = name, &state] {
        RunGuarded(group, [&] { GroupLoop(group, state); });
        state.fiber_running = false;
        --running_fibers_;
      });
    }
  }
}

void expert_rebalancer::GroupLoop(const std::string& group, group_state& state) {
  state = MakeState(0);
  const store_position term = sync_.CoordinatorTerm();
  // Another entry may have been the coordinator between two terms of this one.
  const auto in_term = [&] { return sync_.IsCoordinator() && sync_.CoordinatorTerm() == term; };
  map_versions& versions = versions_[group];
  versions.BeginTerm(TermNumber(term));
  log_.Write(event_line("expert.steering")
                 .Add("group", group)
                 .Add("era", term.era)
                 .Add("term", term.revision));
  map_rollout rollout(
      port_,
      {[] { return Now(); }, [](milliseconds time) { boost::this_fiber::sleep_for(time); }, in_term,
       [this] { return !stop_.IsSet(); }},
      versions, log_);
  // After a rollout, which takes longer than the period, the counts are read without delay.
  time_point next = Now();
  const auto wait = [&] {
    const auto left = std::chrono::duration_cast<milliseconds>(next - Now());
    return stop_.WaitFor(std::max(left, kMinReadPause));
  };
  while (!wait() && in_term()) {
    next = Now() + kCountReadPeriod;
    const auto groups = FindRankGroups(snapshots_.Get());
    const auto found = groups.find(group);
    if (found == groups.end())
      return;
    Balance(group, found->second, state, rollout, versions);
    if (versions.Exhausted()) {
      // The next claim begins a term with versions of its own.
      log_.Write(
          event_line("expert.term_exhausted").Add("group", group).Add("last", versions.last()));
      sync_.ResignCoordinator();
      return;
    }
  }
}

expert_rebalancer::group_state expert_rebalancer::MakeState(std::uint64_t epoch) {
  group_state state;
  state.fiber_running = true;
  state.epoch = epoch;
  return state;
}

void expert_rebalancer::Balance(const std::string& group,
                                const rank_group& view,
                                group_state& state,
                                map_rollout& rollout,
                                const map_versions& versions) {
  const rollout_group target{view.ranks, ShapeOf(view.profile, view.ranks.size()),
                             static_cast<std::size_t>(view.profile.expert_sets)};
  if (state.epoch != view.epoch) {
    state = MakeState(view.epoch);
    const rollout_outcome recovered = rollout.Recover(target);
    state.recovered = recovered == rollout_outcome::kUnchanged;
    if (!state.recovered)
      state.epoch = 0;
    return;
  }
  if (Now() >= state.next_map_check) {
    state.next_map_check = Now() + kMapCheckPeriod;
    if (rollout.MapsDiffer(target)) {
      state = MakeState(0);
      return;
    }
  }
  if (state.map.empty() && !ReadMap(target, state))
    return;
  // The configuration may state other dimensions of the groups than when the map was read.
  if (const auto fits = CheckGroupMap(target, state.map); !fits) {
    log_.Write(
        event_line("expert.map_outdated").Add("group", group).Add("reason", fits.error().message));
    state = MakeState(0);
    return;
  }
  if (!state.popularity.known())
    AssumePopularity(group, target, state);
  const bool known = ReadCounts(view, state);
  if (state.idle_reads == kIdleReadsBeforeRecovery) {
    state.idle_reads = 0;
    if (rollout.Recover(target) != rollout_outcome::kUnchanged)
      state = MakeState(0);
    return;
  }
  // The window in which a shift is detected mixes choices from before and after it, so planning
  // waits for the next window.
  const bool first_of_shift = state.shifted && !state.shifted_before;
  if (!known || first_of_shift)
    return;
  const even_share_plan plan =
      PlanEvenShares(target.shape, state.map, state.popularity.loads(), LimitsOf(view.profile));
  const double gain = plan.peak_before > 0 ? 1 - plan.peak_after / plan.peak_before : 0;
  const bool urgent = plan.peak_before > plan.mean * kUrgentPeakRatio;
  const bool due = urgent || Now() - state.last_change >= kNonUrgentChangeInterval;
  const double min_gain = state.popularity_assumed ? kMinGainIfAssumed : kMinGain;
  const bool change = gain >= min_gain && due && plan.loaded > 0 &&
                      plan.peak_before > plan.mean * kToleratedPeakRatio;
  log_.Write(event_line("expert.plan")
                 .Add("group", group)
                 .Add("epoch", state.epoch)
                 .Add("peak_before", plan.peak_before / plan.mean)
                 .Add("peak_after", plan.peak_after / plan.mean)
                 .Add("moved", state.popularity.moved())
                 .Add("choices", state.choices)
                 .Add("loaded", plan.loaded)
                 .Add("most_loads", plan.most_loads)
                 .Add("change", change));
  if (!change)
    return;
  const rollout_outcome outcome =
      rollout.Run(target, {plan.sets, plan.most_loads * view.profile.expert_load_time});
  log_.Write(event_line("expert.rollout")
                 .Add("group", group)
                 .Add("version", versions.last())
                 .Add("outcome", ToString(outcome)));
  state.last_change = Now();
  sync_.StorePopularity(group, EncodePopularity(state.popularity.loads()));
  if (outcome == rollout_outcome::kSwitched)
    state.map = plan.sets;
  else if (outcome != rollout_outcome::kUnchanged)
    state = MakeState(0);
}

bool expert_rebalancer::ReadMap(const rollout_group& target, group_state& state) {
  auto map = ReadGroupMap(port_, target, state.epoch);
  if (!map) {
    log_.Write(event_line("expert.map_unread")
                   .Add("group", target.ranks.front()->group->group)
                   .Add("reason", map.error().message));
    return false;
  }
  state.map = std::move(map).value();
  return true;
}

void expert_rebalancer::AssumePopularity(const std::string& group,
                                         const rollout_group& target,
                                         group_state& state) {
  const std::string stored = sync_.StoredPopularity(group);
  if (stored.empty())
    return;
  auto loads = DecodePopularity(stored);
  const bool fits = loads && loads.value().size() == target.sets &&
                    std::all_of(loads.value().begin(), loads.value().end(), [&](const auto& set) {
                      return set.size() == static_cast<std::size_t>(target.shape.experts);
                    });
  log_.Write(event_line("expert.popularity_assumed").Add("group", group).Add("fits", fits));
  if (!fits)
    return;
  state.popularity.Assume(std::move(loads).value());
  state.popularity_assumed = true;
}

bool expert_rebalancer::ReadCounts(const rank_group& view, group_state& state) {
  const auto sets = static_cast<std::size_t>(view.profile.expert_sets);
  const auto experts = static_cast<std::size_t>(view.profile.experts_per_set);
  std::vector<std::vector<double>> window(sets, std::vector<double>(experts, 0));
  const auto read = port_.Counts(view.ranks);
  for (std::size_t i = 0; i < read.size(); ++i) {
    if (!read[i] || read[i].value().epoch != state.epoch ||
        read[i].value().counts.size() != sets * experts)
      continue;
    AddCounts(read[i].value().counts, state.last_counts[view.ranks[i]->id], window);
  }
  const bool idle = std::all_of(window.begin(), window.end(), [](const std::vector<double>& set) {
    return std::all_of(set.begin(), set.end(), [](double count) { return count == 0; });
  });
  state.idle_reads = idle ? state.idle_reads + 1 : 0;
  state.choices = std::accumulate(window.front().begin(), window.front().end(), 0.0);
  if (idle)
    return state.popularity.known();
  // The first window of counts shows whether an assumed popularity still holds. It has no choices
  // from before a shift, so it counts as the second window of one.
  state.shifted_before = state.shifted || state.popularity_assumed;
  state.shifted = state.popularity.Add(window);
  state.popularity_assumed = false;
  if (state.shifted) {
    log_.Write(event_line("expert.shift")
                   .Add("epoch", state.epoch)
                   .Add("moved", state.popularity.moved()));
  }
  return state.popularity.known();
}

}  // namespace quincebank
