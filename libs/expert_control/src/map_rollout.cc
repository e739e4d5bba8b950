#include "quincebank/expert_control/map_rollout.h"

#include <algorithm>
#include <array>
#include <utility>

namespace quincebank {
namespace {

// Passes between the newest one reported and a held one, at least: one may begin while the hold is
// on its way, and the orders then have a whole pass before the group has to wait. If the pass
// begins before the hold arrives, the hold is refused and tried again.
constexpr std::uint64_t kLeastLead = 2;
// Passes from this length on are longer than the orders take, so that the next one is held: a group
// is that slow because its map does not fit, and a pass more with it is worse than a refused hold.
constexpr milliseconds kLongPass{100};
constexpr std::uint64_t kLongPassLead = 1;
constexpr std::uint64_t kMostLead = 60;
// Attempts to place a hold before its pass has begun.
constexpr int kHoldTries = 3;
// Each such repeat of a short order waits for as long as a slow host may take to answer.
constexpr int kLongWaitPeriod = 5;
// Growth of the lead with each attempt, in leads.
constexpr int kLeadGrowth = 4;
// Rounds of a recovery; each begins with fresh reports.
constexpr int kRecoverRounds = 8;
constexpr milliseconds kReadRetry{100};
// Time for an accepted order to show in a report that is made afterwards.
constexpr milliseconds kReportMargin{15};
constexpr int kReadTries = 3;
// Kinds of answers to an order.
constexpr std::size_t kOrderAnswers = 5;
// Passes are counted over at least this time: reports of two ranks may be half a pass apart.
constexpr milliseconds kPassSpan{150};

std::vector<std::size_t> All(std::size_t count) {
  std::vector<std::size_t> members(count);
  for (std::size_t i = 0; i < count; ++i)
    members[i] = i;
  return members;
}

/// \param change  its step is not compared with that of a rank that does not tell.
bool IsArmedFor(const rank_report& report, const armed_map& change) noexcept {
  return report.armed && report.armed->version == change.version &&
         (report.armed->step == 0 || report.armed->step == change.step);
}

}  // namespace

std::string_view ToString(order_kind kind) noexcept {
  constexpr std::array<std::string_view, 5> kNames{"prepare", "arm", "disarm", "hold", "release"};
  return kNames.at(static_cast<std::size_t>(kind));
}

std::string_view ToString(order_answer answer) noexcept {
  constexpr std::array<std::string_view, kOrderAnswers> kNames{"begun", "holds", "conflict",
                                                               "replaced", "unanswered"};
  return kNames.at(static_cast<std::size_t>(answer));
}

std::string_view ToString(rollout_outcome outcome) noexcept {
  constexpr std::array<std::string_view, 4> kNames{"switched", "unchanged", "group-lost",
                                                   "unknown"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

map_rollout::map_rollout(engine_port& port,
                         rollout_clock clock,
                         map_versions& versions,
                         event_log& log,
                         const rollout_settings& settings)
    : port_(port), clock_(std::move(clock)), versions_(versions), log_(log), settings_(settings) {}

rollout_outcome map_rollout::Read(const std::vector<const upstream_record*>& ranks,
                                  group_state& group) {
  for (int tries = 0; tries < kReadTries; ++tries) {
    if (tries > 0)
      clock_.sleep(kReadRetry);
    const auto reports = port_.Reports(ranks);
    group.clear();
    for (std::size_t i = 0; i < ranks.size(); ++i) {
      if (reports[i])
        group.push_back({ranks[i], reports[i].value(), reports[i].value().orders});
    }
    if (group.size() == ranks.size())
      break;
  }
  if (group.size() != ranks.size())
    return rollout_outcome::kUnknown;
  const rank_report& first = group.front().report;
  std::uint64_t step = 0;
  report_age_ = milliseconds(0);
  reported_version_ = 0;
  for (const rank_state& rank : group) {
    report_age_ = std::max(report_age_, rank.report.age);
    if (!rank.report.open || rank.report.epoch != first.epoch || rank.report.group != first.group)
      return rollout_outcome::kGroupLost;
    step = std::max(step, rank.report.step);
    reported_version_ =
        std::max({reported_version_, rank.report.map, rank.report.prepared.value_or(0),
                  rank.report.armed ? rank.report.armed->version : 0});
  }
  if (versions_.IsOfLaterTerm(reported_version_)) {
    log_.Write(event_line("expert.later_term")
                   .Add("group", first.group)
                   .Add("reported", reported_version_)
                   .Add("last", versions_.last()));
    return rollout_outcome::kUnknown;
  }
  MeasurePasses(step);
  return rollout_outcome::kUnchanged;
}

std::optional<std::uint64_t> map_rollout::NewVersion(const group_state& group) {
  const std::optional<std::uint64_t> version = versions_.Next(reported_version_);
  if (!version) {
    log_.Write(event_line("expert.no_version")
                   .Add("group", group.front().report.group)
                   .Add("last", versions_.last()));
  }
  return version;
}

std::vector<const upstream_record*> map_rollout::Records(const group_state& group) {
  std::vector<const upstream_record*> ranks;
  ranks.reserve(group.size());
  for (const rank_state& rank : group)
    ranks.push_back(rank.record);
  return ranks;
}

void map_rollout::MeasurePasses(std::uint64_t step) {
  const time_point now = clock_.now();
  if (seen_step_ != 0 && step >= seen_step_) {
    if (step == seen_step_ || now - seen_at_ < kPassSpan)
      return;
    pass_time_ = (now - seen_at_) / static_cast<std::int64_t>(step - seen_step_);
  }
  seen_step_ = step;
  seen_at_ = now;
}

void map_rollout::AwaitFreshReports() {
  clock_.sleep(report_age_ * 2 + kReportMargin);
}

std::optional<std::uint64_t> map_rollout::FirstHeld(const group_state& group) noexcept {
  std::optional<std::uint64_t> first;
  for (const rank_state& rank : group) {
    if (rank.report.held)
      first = std::min(first.value_or(*rank.report.held), *rank.report.held);
  }
  return first;
}

std::uint64_t map_rollout::LastStep(const group_state& group) noexcept {
  std::uint64_t step = 0;
  for (const rank_state& rank : group)
    step = std::max(step, rank.report.step);
  return step;
}

std::uint64_t map_rollout::StepAfter(const group_state& group, milliseconds lead) const {
  const std::uint64_t step = LastStep(group);
  const nanoseconds ahead = lead + report_age_;
  const std::uint64_t passes =
      pass_time_.count() > 0 ? static_cast<std::uint64_t>(ahead / pass_time_) : kLeastLead;
  const std::uint64_t least = pass_time_ >= kLongPass ? kLongPassLead : kLeastLead;
  const std::uint64_t chosen = step + std::clamp(passes, least, kMostLead);
  log_.Write(event_line("expert.hold_chosen")
                 .Add("group", group.front().report.group)
                 .Add("begun", step)
                 .Add("step", chosen)
                 .Add("pass_us", static_cast<std::int64_t>(pass_time_.count() / 1'000))
                 .Add("report_age_ms", report_age_)
                 .Add("lead_ms", lead));
  return chosen;
}

milliseconds map_rollout::NextPatience(order_kind kind,
                                       milliseconds patience,
                                       int repeats) const noexcept {
  const milliseconds longer = std::min(patience + patience / 2, settings_.most_patience);
  if (kind == order_kind::kPrepare)
    return longer;
  return repeats % kLongWaitPeriod == 0 ? settings_.most_patience
                                        : std::min(longer, settings_.held_patience);
}

std::optional<bool> map_rollout::Settle(group_state& group,
                                        const std::vector<std::size_t>& members,
                                        const engine_order& order,
                                        const std::function<bool(const rank_report&)>& wanted) {
  const time_point until = clock_.now() + settings_.settle_limit;
  std::vector<std::size_t> open = members;
  std::vector<std::size_t> disputed;
  std::vector<bool> repeated(group.size(), false);
  bool fits = true;
  milliseconds patience =
      order.kind == order_kind::kPrepare ? settings_.prepare_patience : settings_.order_patience;
  int repeats = 0;
  while (!open.empty()) {
    if (!clock_.may_act()) {
      log_.Write(event_line("expert.order_withheld")
                     .Add("group", group.front().report.group)
                     .Add("order", ToString(order.kind))
                     .Add("version", order.version)
                     .Add("step", order.step));
      return std::nullopt;
    }
    std::vector<rank_order> orders;
    for (const std::size_t member : open) {
      orders.push_back({group[member].record, order});
      orders.back().order.epoch = group[member].report.epoch;
      orders.back().order.expected_orders = group[member].orders;
    }
    const std::vector<order_answer> answers = port_.Send(orders, patience);
    std::vector<std::size_t> unanswered;
    std::array<std::uint64_t, kOrderAnswers> counted{};
    for (std::size_t i = 0; i < open.size(); ++i) {
      rank_state& rank = group[open[i]];
      ++counted.at(static_cast<std::size_t>(answers[i]));
      if (answers[i] == order_answer::kConflict || answers[i] == order_answer::kReplaced) {
        log_.Write(event_line("expert.order_refused")
                       .Add("upstream", rank.record->id)
                       .Add("group", rank.report.group)
                       .Add("order", ToString(order.kind))
                       .Add("version", order.version)
                       .Add("step", order.step)
                       .Add("epoch", rank.report.epoch)
                       .Add("answer", ToString(answers[i])));
      }
      switch (answers[i]) {
        case order_answer::kBegun:
          ++rank.orders;
          break;
        case order_answer::kHolds:
          break;
        case order_answer::kConflict:
          if (repeated[open[i]])
            disputed.push_back(open[i]);
          else
            fits = false;
          break;
        case order_answer::kReplaced:
          fits = false;
          break;
        case order_answer::kUnanswered:
          repeated[open[i]] = true;
          unanswered.push_back(open[i]);
          break;
      }
    }
    event_line line("expert.orders");
    line.Add("group", group.front().report.group)
        .Add("order", ToString(order.kind))
        .Add("version", order.version)
        .Add("step", order.step)
        .Add("epoch", group.front().report.epoch)
        .Add("first", group[open.front()].record->id);
    for (std::size_t answer = 0; answer < counted.size(); ++answer) {
      if (counted[answer] != 0)
        line.Add(ToString(static_cast<order_answer>(answer)), counted[answer]);
    }
    log_.Write(std::move(line));
    open = std::move(unanswered);
    if (open.empty() && !disputed.empty()) {
      const auto causes = ExplainRefusals(group, disputed, order, wanted);
      if (!causes)
        return std::nullopt;
      fits = fits && causes->fits;
      open = causes->miscounted;
      disputed.clear();
    }
    if (open.empty())
      break;
    if (clock_.now() >= until)
      return std::nullopt;
    clock_.sleep(settings_.settle_retry);
    ++repeats;
    patience = NextPatience(order.kind, patience, repeats);
  }
  return fits;
}

std::optional<map_rollout::refusal_causes> map_rollout::ExplainRefusals(
    group_state& group,
    const std::vector<std::size_t>& members,
    const engine_order& order,
    const std::function<bool(const rank_report&)>& wanted) {
  AwaitFreshReports();
  std::vector<const upstream_record*> ranks;
  ranks.reserve(members.size());
  for (const std::size_t member : members)
    ranks.push_back(group[member].record);
  const auto reports = port_.Reports(ranks);
  refusal_causes causes;
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (!reports[i])
      return std::nullopt;
    rank_state& rank = group[members[i]];
    const rank_report& report = reports[i].value();
    const bool right_count = report.orders == std::exchange(rank.orders, report.orders);
    const bool same =
        report.epoch == rank.report.epoch && report.incarnation == rank.report.incarnation;
    if (!same || !wanted(report)) {
      causes.fits = false;
      continue;
    }
    // No report tells which map a rank is loading. If an order with the right count is refused, it
    // is this one, since ranks refuse versions that they have had.
    if (order.kind == order_kind::kPrepare && !right_count && report.prepared != order.version)
      causes.miscounted.push_back(members[i]);
  }
  return causes;
}

rollout_outcome map_rollout::WaitPrepared(group_state& group,
                                          std::uint64_t version,
                                          milliseconds loading) {
  std::vector<std::size_t> pending = All(group.size());
  const time_point until = clock_.now() + settings_.load_limit;
  milliseconds pause = std::max(loading, settings_.poll);
  while (clock_.now() < until && clock_.may_act() && clock_.may_hold()) {
    clock_.sleep(pause);
    pause = settings_.poll;
    std::vector<const upstream_record*> ranks;
    ranks.reserve(pending.size());
    for (const std::size_t member : pending)
      ranks.push_back(group[member].record);
    const auto reports = port_.Reports(ranks);
    std::vector<std::size_t> loading_on;
    for (std::size_t i = 0; i < pending.size(); ++i) {
      rank_state& rank = group[pending[i]];
      if (!reports[i]) {
        loading_on.push_back(pending[i]);
        continue;
      }
      const rank_report& report = reports[i].value();
      if (!report.open || report.epoch != rank.report.epoch || report.group != rank.report.group)
        return rollout_outcome::kGroupLost;
      rank.report = report;
      rank.orders = report.orders;
      if (report.prepared != version)
        loading_on.push_back(pending[i]);
    }
    MeasurePasses(LastStep(group));
    pending = std::move(loading_on);
    if (pending.empty())
      return rollout_outcome::kUnchanged;
  }
  return rollout_outcome::kUnknown;
}

rollout_outcome map_rollout::Run(const rollout_group& target, const map_change& change) {
  group_state group;
  const rollout_outcome read = Read(target.ranks, group);
  if (read != rollout_outcome::kUnchanged)
    return read;
  const bool idle = std::all_of(group.begin(), group.end(), [&](const rank_state& rank) {
    return !rank.report.armed && !rank.report.held && rank.report.map == group.front().report.map;
  });
  if (!idle)
    return Recover(target);
  const auto version = NewVersion(group);
  if (!version)
    return rollout_outcome::kUnknown;
  const auto prepared =
      Settle(group, All(group.size()), {order_kind::kPrepare, *version, 0, 0, 0, &change.map},
             // Loading takes a while, so only the number of orders shows that it has begun.
             [&](const rank_report& report) { return !report.armed; });
  if (!prepared)
    return rollout_outcome::kUnknown;
  if (!*prepared)
    return rollout_outcome::kUnchanged;
  const rollout_outcome loaded = WaitPrepared(group, *version, change.loading);
  if (loaded != rollout_outcome::kUnchanged)
    return loaded;
  if (!clock_.may_hold())
    return rollout_outcome::kUnknown;
  return Switch(target, group, *version);
}

rollout_outcome map_rollout::Switch(const rollout_group& target,
                                    group_state& group,
                                    std::uint64_t version) {
  std::uint64_t step = 0;
  bool holds = false;
  for (int tries = 0; tries < kHoldTries && !holds; ++tries) {
    if (tries > 0) {
      AwaitFreshReports();
      const rollout_outcome read = Read(target.ranks, group);
      if (read != rollout_outcome::kUnchanged)
        return read;
    }
    // A refused hold shows that the estimate was short, as after a new formation of the group.
    step = StepAfter(group, settings_.switch_lead * (1 + kLeadGrowth * tries));
    const auto held = Settle(group, {0}, {order_kind::kHold, 0, step, 0, 0, nullptr},
                             [&](const rank_report& report) { return report.held == step; });
    if (!held)
      return Recover(target);
    holds = *held;
  }
  if (!holds)
    return rollout_outcome::kUnchanged;
  group.front().report.held = step;
  const auto armed = Settle(
      group, All(group.size()), {order_kind::kArm, version, step, 0, 0, nullptr},
      [&](const rank_report& report) { return report.armed && report.armed->version == version; });
  if (!armed || !*armed || !ConfirmArmed(group, {version, step}))
    return Recover(target);
  if (Release(group) != rollout_outcome::kUnchanged)
    return Recover(target);
  return WaitSwitched(group, version);
}

bool map_rollout::ConfirmArmed(const group_state& group, const armed_map& change) {
  const time_point until = clock_.now() + report_age_ * 2 + settings_.confirm_limit;
  std::vector<std::size_t> open = All(group.size());
  while (clock_.may_act()) {
    std::vector<const upstream_record*> ranks;
    ranks.reserve(open.size());
    for (const std::size_t member : open)
      ranks.push_back(group[member].record);
    const auto reports = port_.Reports(ranks);
    std::vector<std::size_t> unconfirmed;
    for (std::size_t i = 0; i < open.size(); ++i) {
      const rank_report& before = group[open[i]].report;
      const bool confirmed = reports[i] && reports[i].value().epoch == before.epoch &&
                             reports[i].value().incarnation == before.incarnation &&
                             IsArmedFor(reports[i].value(), change);
      if (!confirmed)
        unconfirmed.push_back(open[i]);
    }
    open = std::move(unconfirmed);
    if (open.empty())
      return true;
    if (clock_.now() >= until)
      break;
    clock_.sleep(settings_.settle_retry);
  }
  log_.Write(event_line("expert.arm_unconfirmed")
                 .Add("group", group.front().report.group)
                 .Add("version", change.version)
                 .Add("step", change.step)
                 .Add("ranks", static_cast<std::uint64_t>(open.size()))
                 .Add("first", open.empty() ? std::string_view() : group[open.front()].record->id));
  return false;
}

/// The pass may take a while to begin; an idle group begins none.
rollout_outcome map_rollout::WaitSwitched(const group_state& group, std::uint64_t version) {
  // All ranks begin the pass together.
  const std::array<const upstream_record*, 1> first{group.front().record};
  const time_point until = clock_.now() + settings_.switch_limit;
  while (clock_.now() < until) {
    clock_.sleep(settings_.poll);
    const auto report = std::move(port_.Reports(first).front());
    if (!report)
      continue;
    if (!report.value().open || report.value().epoch != group.front().report.epoch)
      return rollout_outcome::kGroupLost;
    if (report.value().map == version)
      break;
  }
  return rollout_outcome::kSwitched;
}

rollout_outcome map_rollout::Release(group_state& group) {
  std::vector<std::size_t> held;
  std::uint64_t step = 0;
  for (std::size_t i = 0; i < group.size(); ++i) {
    if (!group[i].report.held)
      continue;
    held.push_back(i);
    step = *group[i].report.held;
  }
  const bool same = std::all_of(held.begin(), held.end(), [&](std::size_t member) {
    return group[member].report.held == step;
  });
  const auto is_free = [](const rank_report& report) { return !report.held; };
  for (const std::size_t member : held) {
    const std::vector<std::size_t> members = same ? held : std::vector<std::size_t>{member};
    const engine_order order{order_kind::kRelease, 0, *group[member].report.held, 0, 0, nullptr};
    if (!Settle(group, members, order, is_free).value_or(false))
      return rollout_outcome::kUnknown;
    if (same)
      break;
  }
  log_.Write(
      event_line("expert.released").Add("group", group.front().report.group).Add("step", step));
  return rollout_outcome::kUnchanged;
}

rollout_outcome map_rollout::Recover(const rollout_group& target) {
  group_state group;
  (void)Read(target.ranks, group);  // Tells how old reports are.
  bool may_finish = true;
  for (int round = 0; round < kRecoverRounds && clock_.may_act(); ++round) {
    // Reports older than the last order would hide its effect.
    AwaitFreshReports();
    const rollout_outcome read = Read(target.ranks, group);
    if (read == rollout_outcome::kUnknown)
      continue;
    if (read != rollout_outcome::kUnchanged)
      return read;
    const unfinished_change left = FindUnfinished(group);
    log_.Write(event_line("expert.recover")
                   .Add("group", group.front().report.group)
                   .Add("epoch", group.front().report.epoch)
                   .Add("armed", static_cast<std::uint64_t>(left.armed))
                   .Add("held", static_cast<std::uint64_t>(left.held))
                   .Add("loaded", static_cast<std::uint64_t>(left.loaded))
                   .Add("version", left.change.version)
                   .Add("step", left.change.step));
    if (left.armed == 0 && left.held == 0 && left.loaded == 0 && left.one_map)
      return rollout_outcome::kUnchanged;
    if (left.armed == 0 && !left.one_map) {
      (void)Unify(target, group);
      continue;
    }
    if (left.armed == group.size() && left.same && left.held == 0)
      return rollout_outcome::kSwitched;  // The pass has not begun yet, since the group is idle.
    if (may_finish && left.armed > 0 && left.same && left.ready == group.size()) {
      may_finish = Finish(group, left.change);
      continue;
    }
    (void)Undo(target, group, left.change.step);
  }
  return rollout_outcome::kUnknown;
}

map_rollout::unfinished_change map_rollout::FindUnfinished(const group_state& group) const {
  unfinished_change left;
  for (const rank_state& rank : group) {
    const rank_report& report = rank.report;
    if (report.armed && left.armed == 0)
      left.change = *report.armed;
    left.same = left.same && (!report.armed || *report.armed == left.change);
    left.armed += report.armed ? 1 : 0;
    left.held += report.held ? 1 : 0;
    const std::uint64_t loaded = report.prepared.value_or(report.map);
    left.loaded += loaded != report.map && loaded != replacement_ ? 1 : 0;
    left.one_map = left.one_map && report.map == group.front().report.map;
  }
  for (const rank_state& rank : group) {
    left.ready += rank.report.armed || rank.report.prepared == left.change.version ? 1 : 0;
    if (left.armed == 0)
      left.change.step = std::max(left.change.step, rank.report.held.value_or(0));
  }
  return left;
}

/// Orders that an earlier coordinator has sent may still be carried out, and they all lead to the
/// same switch: a change is therefore completed where that is possible.
bool map_rollout::Finish(group_state& group, const armed_map& change) {
  const bool held = std::any_of(group.begin(), group.end(),
                                [](const rank_state& rank) { return rank.report.held; });
  const engine_order hold{order_kind::kHold, 0, change.step, 0, 0, nullptr};
  const auto is_held = [&](const rank_report& report) { return report.held == change.step; };
  if (!held && !Settle(group, {0}, hold, is_held).value_or(false))
    return false;
  if (!held)
    group.front().report.held = change.step;
  const engine_order arm{order_kind::kArm, change.version, change.step, 0, 0, nullptr};
  const auto armed = Settle(group, All(group.size()), arm, [&](const rank_report& report) {
    return report.armed && report.armed->version == change.version;
  });
  return armed.value_or(false) && ConfirmArmed(group, change) &&
         Release(group) == rollout_outcome::kUnchanged;
}

bool map_rollout::MapsDiffer(const rollout_group& target) {
  const auto reports = port_.Reports(target.ranks);
  const auto first = std::find_if(reports.begin(), reports.end(),
                                  [](const auto& report) { return report.has_value(); });
  return std::any_of(first, reports.end(), [&](const auto& report) {
    return report && report.value().epoch == first->value().epoch &&
           report.value().map != first->value().map;
  });
}

rollout_outcome map_rollout::Unify(const rollout_group& target, group_state& group) {
  // Reports of one read may be from before and after the pass that begins with a new map.
  AwaitFreshReports();
  const rollout_outcome read = Read(target.ranks, group);
  const unfinished_change left = FindUnfinished(group);
  if (read != rollout_outcome::kUnchanged || left.one_map || left.armed > 0)
    return read;
  // A hold that an earlier attempt has left stays, so that no pass begins in between.
  const std::uint64_t step = FirstHeld(group).value_or(StepAfter(group, settings_.switch_lead));
  const auto is_held = [&](const rank_report& report) { return report.held == step; };
  const engine_order hold{order_kind::kHold, 0, step, 0, 0, nullptr};
  if (left.held == 0 && !Settle(group, {0}, hold, is_held).value_or(false))
    return rollout_outcome::kUnknown;
  if (left.held == 0)
    group.front().report.held = step;
  const auto map = CompleteGroupMap(port_, target, group.front().report.epoch);
  log_.Write(event_line("expert.maps_differ")
                 .Add("group", group.front().report.group)
                 .Add("step", step)
                 .Add("reason", map ? "" : map.error().message));
  if (!map)
    return rollout_outcome::kUnknown;
  const auto version = NewVersion(group);
  if (!version)
    return rollout_outcome::kUnknown;
  const auto prepared =
      Settle(group, All(group.size()), {order_kind::kPrepare, *version, 0, 0, 0, &map.value()},
             [](const rank_report& report) { return !report.armed; });
  if (!prepared.value_or(false) ||
      WaitPrepared(group, *version, milliseconds(0)) != rollout_outcome::kUnchanged)
    return rollout_outcome::kUnknown;
  if (left.held == 0)
    group.front().report.held = step;
  return Finish(group, {*version, step}) ? rollout_outcome::kSwitched : rollout_outcome::kUnknown;
}

/// Holds the pass at every rank, so that no earlier coordinator can release it, disarms all, and
/// replaces what is loaded by the present map under a newer version: an arm order of the earlier
/// coordinator that is still on its way is then refused.
rollout_outcome map_rollout::Undo(const rollout_group& target,
                                  group_state& group,
                                  std::uint64_t step) {
  if (step != 0) {
    std::vector<std::size_t> free;
    for (std::size_t i = 0; i < group.size(); ++i) {
      if (!group[i].report.held)
        free.push_back(i);
    }
    const engine_order hold{order_kind::kHold, 0, step, 0, 0, nullptr};
    const auto is_held = [](const rank_report& report) { return report.held.has_value(); };
    if (!Settle(group, free, hold, is_held).value_or(false))
      return rollout_outcome::kUnknown;
    for (const std::size_t member : free)
      group[member].report.held = step;
  }
  for (std::size_t member = 0; member < group.size(); ++member) {
    if (!group[member].report.armed)
      continue;
    const engine_order disarm{
        order_kind::kDisarm, group[member].report.armed->version, 0, 0, 0, nullptr};
    const auto is_free = [](const rank_report& report) { return !report.armed; };
    if (!Settle(group, {member}, disarm, is_free).value_or(false))
      return rollout_outcome::kUnknown;
  }
  const std::uint64_t epoch = group.front().report.epoch;
  const bool one_map = FindUnfinished(group).one_map;
  const auto present =
      one_map ? ReadGroupMap(port_, target, epoch) : CompleteGroupMap(port_, target, epoch);
  if (!present) {
    log_.Write(event_line("expert.map_unread")
                   .Add("group", group.front().report.group)
                   .Add("reason", present.error().message));
    return rollout_outcome::kUnknown;
  }
  const auto version = NewVersion(group);
  if (!version)
    return rollout_outcome::kUnknown;
  replacement_ = *version;
  const bool replaced =
      Settle(group, All(group.size()), {order_kind::kPrepare, *version, 0, 0, 0, &present.value()},
             [&](const rank_report& report) {
               return !report.armed && report.prepared.value_or(0) >= *version;
             })
          .value_or(false);
  if (!replaced)
    return rollout_outcome::kUnknown;
  const group_state ordered = group;
  AwaitFreshReports();
  const rollout_outcome read = Read(Records(group), group);
  if (read != rollout_outcome::kUnchanged)
    return read;
  for (std::size_t i = 0; i < group.size(); ++i) {
    // A report that counts fewer orders than the rank has accepted is older than they are.
    const bool outdated =
        ordered[i].report.orders > 0 && group[i].report.orders < ordered[i].orders;
    if (outdated || group[i].report.armed)
      return rollout_outcome::kUnknown;
    // Holds that an outdated report hides are released as well.
    if (!group[i].report.held)
      group[i].report.held = ordered[i].report.held;
  }
  // With different maps the holds stay until the group is brought to one.
  return one_map ? Release(group) : rollout_outcome::kUnknown;
}

}  // namespace quincebank
