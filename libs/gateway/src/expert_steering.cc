#include "quincebank/gateway/expert_steering.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <numeric>
#include <utility>

#include "quincebank/base/clock.h"

namespace quincebank {
namespace {

// Between looks for groups without a coordinator.
constexpr milliseconds kLook{250};
// Between reads of one group's counts.
constexpr milliseconds kCountPeriod{200};
// Weight that older counts keep at each read.
constexpr double kKeptShare = 0.6;
// With fewer choices in a set the loads say little.
constexpr double kLeastChoices = 3'000;
// Least part of the expert time that a change of the map must save.
constexpr double kLeastGain = 0.12;
// Peaks up to this multiple of the mean load are left alone.
constexpr double kTolerablePeak = 1.3;
// Experts that one rank may load for a change: popularity moves on while they load.
constexpr int kLoadsPerRank = 3;

/// Adds what was chosen between two reads of one rank.
void AddCounts(const std::vector<std::uint64_t>& now,
               std::vector<std::uint64_t>& before,
               std::vector<std::vector<double>>& loads) {
  const bool first = before.size() != now.size();
  for (std::size_t at = 0; !first && at < now.size(); ++at) {
    const std::size_t experts = loads.front().size();
    loads[at / experts][at % experts] +=
        static_cast<double>(now[at] - std::min(before[at], now[at]));
  }
  before = now;
}

}  // namespace

expert_steering::expert_steering(const gateway_settings& settings,
                                 fleet_sync& sync,
                                 engine_port& port,
                                 event_log& log,
                                 const fleet_snapshot_box& box)
    : settings_(settings), sync_(sync), port_(port), log_(log), box_(box) {}

void expert_steering::Start(fiber_thread& thread) {
  thread.Spawn([this, &thread] { Loop(thread); });
}

void expert_steering::Stop() {
  stop_.Set();
}

bool expert_steering::IsCoordinator() const {
  return sync_.RegistrationHolds() && box_.Get()->coordinator == settings_.name;
}

std::map<std::string, expert_steering::group_view> expert_steering::Groups() const {
  std::map<std::string, group_view> groups;
  const auto snapshot = box_.Get();
  if (!snapshot->catalog)
    return groups;
  for (const auto& [service, upstreams] : snapshot->upstreams) {
    const service_rule* const rule = snapshot->catalog->FindService(service);
    if (rule == nullptr || !rule->engine || rule->engine->expert_sets == 0)
      continue;
    for (const known_upstream& upstream : upstreams) {
      const auto& membership = upstream.record.group;
      if (!membership || membership->size <= 1)
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

void expert_steering::Loop(fiber_thread& thread) {
  while (!stop_.WaitFor(kLook)) {
    const auto groups = Groups();
    if (groups.empty())
      continue;
    if (box_.Get()->coordinator.empty()) {
      sync_.ClaimCoordination();
      continue;
    }
    if (!IsCoordinator())
      continue;
    for (const auto& [name, view] : groups) {
      group_memory& memory = groups_[name];
      if (memory.running)
        continue;
      memory.running = true;
      thread.Spawn([this, group = name, &memory] {
        GroupLoop(group, memory);
        memory.running = false;
      });
    }
  }
}

void expert_steering::GroupLoop(const std::string& group, group_memory& memory) {
  memory = {.running = true};
  log_.Write(event_line("expert.steering").Add("group", group));
  while (!stop_.WaitFor(kCountPeriod) && IsCoordinator()) {
    const auto groups = Groups();
    const auto found = groups.find(group);
    if (found == groups.end())
      return;
    Balance(group, found->second, memory);
  }
}

void expert_steering::Balance(const std::string& group,
                              const group_view& view,
                              group_memory& memory) {
  map_rollout rollout(
      port_, {[] { return Now(); }, [](milliseconds time) { boost::this_fiber::sleep_for(time); }},
      log_);
  if (memory.epoch != view.epoch) {
    memory = {.running = true, .epoch = view.epoch};
    ++changing_;
    const rollout_outcome recovered = rollout.Recover(view.ranks);
    --changing_;
    memory.recovered = recovered == rollout_outcome::kUnchanged;
    if (!memory.recovered)
      memory.epoch = 0;
    return;
  }
  if (memory.map.empty() && !ReadMap(view, memory))
    return;
  if (!ReadCounts(view, memory))
    return;
  const even_share_shape shape{static_cast<int>(view.ranks.size()), view.profile.experts_per_set,
                               view.profile.places_per_rank, view.profile.new_experts_per_plan,
                               kLoadsPerRank};
  const even_share_plan plan = PlanEvenShares(shape, memory.map, memory.loads);
  const double gain = plan.peak_before > 0 ? 1 - plan.peak_after / plan.peak_before : 0;
  const bool change =
      gain >= kLeastGain && plan.loaded > 0 && plan.peak_before > plan.mean * kTolerablePeak;
  log_.Write(event_line("expert.plan")
                 .Add("group", group)
                 .Add("epoch", memory.epoch)
                 .Add("peak_before", plan.peak_before / plan.mean)
                 .Add("peak_after", plan.peak_after / plan.mean)
                 .Add("loaded", plan.loaded)
                 .Add("change", change));
  if (!change)
    return;
  ++changing_;
  const rollout_outcome outcome = rollout.Run(view.ranks, plan.sets);
  --changing_;
  log_.Write(event_line("expert.rollout")
                 .Add("group", group)
                 .Add("version", rollout.last_version())
                 .Add("outcome", ToString(outcome)));
  if (outcome == rollout_outcome::kSwitched)
    memory.map = plan.sets;
  else if (outcome != rollout_outcome::kUnchanged)
    memory = {.running = true};
}

bool expert_steering::ReadMap(const group_view& view, group_memory& memory) {
  const auto sets = static_cast<std::size_t>(view.profile.expert_sets);
  std::vector<rank_experts> map(sets, rank_experts(view.ranks.size()));
  std::optional<std::uint64_t> version;
  for (std::size_t rank = 0; rank < view.ranks.size(); ++rank) {
    auto held = port_.Held(*view.ranks[rank]);
    if (!held) {
      log_.Write(event_line("expert.map_unread")
                     .Add("upstream", view.ranks[rank]->id)
                     .Add("reason", held.error().message));
      return false;
    }
    const bool fits = held.value().epoch == memory.epoch && held.value().experts.size() == sets &&
                      version.value_or(held.value().version) == held.value().version;
    if (!fits)
      return false;
    version = held.value().version;
    for (std::size_t set = 0; set < sets; ++set)
      map[set][rank] = std::move(held.value().experts[set]);
    // A group that has just formed uses the initial map.
    if (*version != 0)
      continue;
    const even_share_shape shape{static_cast<int>(view.ranks.size()), view.profile.experts_per_set,
                                 view.profile.places_per_rank, view.profile.new_experts_per_plan,
                                 kLoadsPerRank};
    map.assign(sets, InitialExperts(shape));
    break;
  }
  memory.map = std::move(map);
  return true;
}

bool expert_steering::ReadCounts(const group_view& view, group_memory& memory) {
  const auto sets = static_cast<std::size_t>(view.profile.expert_sets);
  const auto experts = static_cast<std::size_t>(view.profile.experts_per_set);
  if (memory.loads.empty())
    memory.loads.assign(sets, std::vector<double>(experts, 0));
  for (std::vector<double>& loads : memory.loads) {
    for (double& load : loads)
      load *= kKeptShare;
  }
  const auto read = port_.Counts(view.ranks);
  for (std::size_t i = 0; i < read.size(); ++i) {
    if (!read[i] || read[i].value().epoch != memory.epoch ||
        read[i].value().counts.size() != sets * experts)
      continue;
    AddCounts(read[i].value().counts, memory.last_counts[view.ranks[i]->id], memory.loads);
  }
  const std::vector<double>& some = memory.loads.front();
  return std::accumulate(some.begin(), some.end(), 0.0) >= kLeastChoices;
}

}  // namespace quincebank
