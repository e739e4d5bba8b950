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

// Between looks for groups without a coordinator.
constexpr milliseconds kGroupScanPeriod{100};
// Between reads of one group's counts.
constexpr milliseconds kCountReadPeriod{100};
constexpr milliseconds kMinReadPause{10};
// Peaks up to this multiple of the mean load are left alone.
constexpr double kToleratedPeakRatio = 1.2;
// Least part of the expert time that a change of the map must save.
constexpr double kMinGain = 0.1;
// Peaks beyond this are lowered at once. Smaller ones are lowered now and then: orders to all ranks
// are not free, and counts of one window are noisy.
constexpr double kUrgentPeakRatio = 1.35;
constexpr milliseconds kNonUrgentChangeInterval{2'000};
// Gain that justifies a change for a popularity that is only assumed: it may have shifted since.
constexpr double kMinGainIfAssumed = 0.35;
// Reads of the counts in a row without any choice after which a group that stands still is looked
// at: a pass may be held that nobody releases.
constexpr int kIdleReadsBeforeRecovery = 5;
// Map versions begin with the revision of the store, which grows from coordinator to coordinator,
// and leave this many bits for the changes of one of them.
constexpr int kChangeNumberBits = 16;
// Experts that one rank may load for a change, of all sets together.
constexpr int kMaxLoadsPerRank = 24;
// Time of a change beside the loading of experts.
constexpr milliseconds kMapSwitchTime{250};
// How long a map is expected to fit: popularity shifts every few seconds at the busiest sites.
constexpr milliseconds kPlanHorizon{2'500};

/// Adds what was chosen between two reads of one rank.
void AddCounts(const std::vector<std::uint64_t>& now,
               std::vector<std::uint64_t>& before,
               std::vector<std::vector<double>>& window) {
  const bool first = before.size() != now.size();
  for (std::size_t at = 0; !first && at < now.size(); ++at) {
    const std::size_t experts = window.front().size();
    window[at / experts][at % experts] +=
        static_cast<double>(now[at] - std::min(before[at], now[at]));
  }
  before = now;
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
                                     const fleet_snapshot_box& snapshots)
    : sync_(sync), port_(port), log_(log), snapshots_(snapshots) {}

void expert_rebalancer::Start(fiber_thread& thread) {
  ++running_fibers_;
  thread.SpawnLoop(
      "experts", [this, &thread] { ScanLoop(thread); }, stop_, [this] { --running_fibers_; });
}

void expert_rebalancer::Join() const {
  constexpr milliseconds kPoll{2};
  while (running_fibers_ > 0)
    std::this_thread::sleep_for(kPoll);
}

void expert_rebalancer::Stop() {
  stop_.Set();
}

std::map<std::string, expert_rebalancer::group_view> expert_rebalancer::Groups() const {
  std::map<std::string, group_view> groups;
  const auto snapshot = snapshots_.Get();
  if (!snapshot->catalog)
    return groups;
  for (const auto& [service, upstreams] : snapshot->upstreams) {
    const service_rule* const rule = snapshot->catalog->FindService(service);
    if (rule == nullptr || !rule->engine || rule->engine->expert_sets == 0)
      continue;
    for (const known_upstream& upstream : upstreams) {
      const auto& membership = upstream.record.group;
      if (!membership || membership->size <= 1 || upstream.superseded)
        continue;
      group_view& view = groups[service + "/" + membership->group];
      view.snapshot = snapshot;
      view.profile = *rule->engine;
      view.ranks.resize(static_cast<std::size_t>(membership->size), nullptr);
      if (membership->open && membership->rank < membership->size)
        view.ranks[static_cast<std::size_t>(membership->rank)] = &upstream.record;
      view.epoch = std::max(view.epoch, membership->epoch);
    }
  }
  std::erase_if(groups, [](const auto& named) {
    const group_view& view = named.second;
    return std::any_of(view.ranks.begin(), view.ranks.end(), [&](const upstream_record* rank) {
      return rank == nullptr || rank->group->epoch != view.epoch;
    });
  });
  return groups;
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
    // The role is claimed before groups have formed, so that they are balanced as soon as they
    // have.
    if (!sync_.IsCoordinator())
      sync_.TryClaimCoordinatorRole();
    if (!sync_.IsCoordinator())
      continue;
    for (const auto& [name, view] : Groups()) {
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
  log_.Write(event_line("expert.steering").Add("group", group));
  map_rollout rollout(
      port_,
      {[] { return Now(); }, [](milliseconds time) { boost::this_fiber::sleep_for(time); },
       [this] { return sync_.IsCoordinator(); }},
      log_);
  // A rollout takes longer than the period; the counts since then are read at once.
  time_point next = Now();
  const auto wait = [&] {
    const auto left = std::chrono::duration_cast<milliseconds>(next - Now());
    return stop_.WaitFor(std::max(left, kMinReadPause));
  };
  while (!wait() && sync_.IsCoordinator()) {
    next = Now() + kCountReadPeriod;
    const auto groups = Groups();
    const auto found = groups.find(group);
    if (found == groups.end())
      return;
    Balance(group, found->second, state, rollout);
  }
}

expert_rebalancer::group_state expert_rebalancer::MakeState(std::uint64_t epoch) {
  group_state state;
  state.fiber_running = true;
  state.epoch = epoch;
  return state;
}

void expert_rebalancer::Balance(const std::string& group,
                                const group_view& view,
                                group_state& state,
                                map_rollout& rollout) {
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
  if (state.map.empty() && !ReadMap(target, state))
    return;
  if (!state.popularity.known())
    AssumePopularity(group, target, state);
  const bool known = ReadCounts(view, state);
  if (state.idle_reads == kIdleReadsBeforeRecovery) {
    state.idle_reads = 0;
    if (rollout.Recover(target) != rollout_outcome::kUnchanged)
      state = MakeState(0);
    return;
  }
  // The window in which popularity shifts holds choices of before and after; the next one is used.
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
      rollout.Run(target, {plan.sets, plan.most_loads * view.profile.expert_load_time,
                           view.snapshot->store_revision << kChangeNumberBits});
  log_.Write(event_line("expert.rollout")
                 .Add("group", group)
                 .Add("version", rollout.last_version())
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

bool expert_rebalancer::ReadCounts(const group_view& view, group_state& state) {
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
  // The first window tells whether an assumption holds; it holds no choices of before.
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
