#include "quincebank/expert_group/group_coordinator.h"

#include <boost/json/serialize.hpp>
#include <utility>

#include "quincebank/base/json_reader.h"
#include "quincebank/base/log.h"
#include "quincebank/expert_group/switch_runner.h"
#include "quincebank/experts/group_restart.h"
#include "quincebank/experts/plan_json.h"
#include "quincebank/experts/switch_json.h"

namespace quincebank {
namespace {

constexpr logger kLog{"experts"};
constexpr milliseconds kLeaseTime{10'000};
constexpr milliseconds kLeaseRenewal{3'000};
constexpr milliseconds kMinWindow{1'000};
// A coordinator gets the counts of all ranks in each window. They may take half of the 16 KB/s that
// control may use on a node, so large groups have longer windows.
constexpr std::int64_t kCountBytesPerSecond = 8'192;
constexpr std::int64_t kBytesPerCount = 8;
/// Windows that the popularity estimate needs before a plan is made of it.
constexpr int kMinWindows = 3;

result<switch_decision> LastRecord(const switch_history& history) {
  if (history.committed.epoch == history.decided)
    return history.committed;
  return switch_decision{history.decided, switch_verdict::kAbort, 0, {}, {}};
}

}  // namespace

group_coordinator::group_coordinator(node_control& node,
                                     map_records& records,
                                     record_log& plans,
                                     incarnation self,
                                     const expert_group_config& group,
                                     int rank)
    : node_(node),
      records_(records),
      plans_(plans),
      self_(self),
      group_(group),
      rank_(rank),
      rpc_(node.http()),
      estimate_(group.layers, group.experts) {}

group_shape group_coordinator::Shape() const noexcept {
  return {group_.layers, static_cast<int>(group_.ranks.size()), group_.experts,
          group_.slots_per_rank};
}

expert_group_config group_coordinator::Settings() const {
  const auto config = node_.config();
  if (!config)
    return group_;
  for (const expert_group_config& group : config->expert_groups()) {
    if (group.name == group_.name)
      return group;
  }
  return group_;
}

std::vector<endpoint> group_coordinator::Agents() const {
  std::vector<endpoint> agents;
  const auto config = node_.config();
  for (const std::string& rank : group_.ranks) {
    const auto index = config ? config->FindUpstream(rank) : std::nullopt;
    if (!index)
      return {};
    const upstream_config& upstream = config->upstreams()[*index];
    agents.push_back({upstream.agent_address, upstream.agent_port});
  }
  return agents;
}

void group_coordinator::LeaseLoop() {
  milliseconds pause{0};
  while (!node_.WaitOrStop(pause)) {
    const bool led = leads_;
    leads_ = HoldLease();
    if (leads_ != led)
      kLog.Info(leads_ ? "coordinates group " : "no longer coordinates group ", group_.name);
    // A holder renews; the others look less often the higher their rank, which bounds the calls of
    // a large group.
    pause = leads_ ? kLeaseRenewal : kLeaseRenewal * (1 + rank_);
  }
}

milliseconds group_coordinator::Window() const {
  const std::int64_t counts = static_cast<std::int64_t>(group_.ranks.size()) * group_.layers *
                              static_cast<std::int64_t>(group_.experts);
  return std::max(kMinWindow, milliseconds(counts * kBytesPerCount * 1'000 / kCountBytesPerSecond));
}

bool group_coordinator::HoldLease() {
  if (leads_ && node_.kv().RenewLease(lease_))
    return true;
  const std::string key = "experts/" + group_.name + "/coordinator";
  // Only a free key is worth the two writes of an attempt.
  const auto current = node_.kv().Get(key);
  if (!current || (current.value() && current.value()->leased))
    return false;
  auto lease = node_.kv().OpenLease(kLeaseTime);
  if (!lease)
    return false;
  lease_ = std::move(lease).value();
  const std::string holder = boost::json::serialize(
      boost::json::object{{"upstream", group_.ranks[static_cast<std::size_t>(rank_)]},
                          {"incarnation", ToString(self_)}});
  const auto taken = node_.kv().Acquire(key, holder, lease_);
  return taken && taken.value();
}

void group_coordinator::PlanLoop() {
  while (!node_.WaitOrStop(Window())) {
    if (!leads_) {
      last_.reset();
      hindrance_ = "another agent coordinates";
      continue;
    }
    RunWindow();
  }
}

void group_coordinator::RunWindow() {
  hindrance_.clear();
  if (!Collect() || windows_ < kMinWindows)
    return;
  Plan();
}

bool group_coordinator::Collect() {
  const std::vector<endpoint> agents = Agents();
  const boost::json::object params{{"group", group_.name}, {"tokens", true}};
  token_counts sum;
  std::size_t rank = 0;
  const auto answers = CallAll(rpc_, agents, "experts.status", params);
  if (RestartGroup(answers))
    return false;
  for (const auto& answer : answers) {
    const std::string& name = group_.ranks[rank++];
    const boost::json::object* const status = answer ? answer->if_object() : nullptr;
    const boost::json::value* const tokens = status ? status->if_contains("tokens") : nullptr;
    if (tokens == nullptr) {
      hindrance_ = "no token counts of " + name;
      return false;
    }
    const auto counts = TokenCountsFromJson(*tokens);
    const boost::json::value* const phase = status->if_contains("phase");
    if (!counts || phase == nullptr || *phase != "idle") {
      hindrance_ = name + " is not idle";
      return false;
    }
    if (sum.layers.empty())
      sum.layers.assign(counts.value().layers.size(),
                        std::vector<std::int64_t>(static_cast<std::size_t>(group_.experts)));
    if (counts.value().layers.size() != static_cast<std::size_t>(group_.layers)) {
      hindrance_ = name + " counts other layers than configured";
      return false;
    }
    sum.steps += counts.value().steps;
    for (std::size_t layer = 0; layer < sum.layers.size(); ++layer) {
      const std::vector<std::int64_t>& from = counts.value().layers[layer];
      if (from.size() != sum.layers[layer].size()) {
        hindrance_ = name + " counts other experts than configured";
        return false;
      }
      for (std::size_t expert = 0; expert < from.size(); ++expert)
        sum.layers[layer][expert] += from[expert];
    }
  }
  if (agents.empty()) {
    hindrance_ = "a rank is not in the configuration";
    return false;
  }
  Observe(sum);
  return true;
}

bool group_coordinator::RestartGroup(
    const std::vector<std::optional<boost::json::value>>& answers) {
  std::vector<rank_condition> ranks;
  for (const auto& answer : answers) {
    const auto condition = answer ? RankConditionFromJson(*answer) : std::nullopt;
    if (!condition || !condition->engine_lost)
      return false;
    ranks.push_back(*condition);
  }
  if (ranks.empty())
    return false;
  hindrance_ = "the engines of all ranks have other maps than the records say";
  const auto history = records_.ReadHistory();
  if (!history)
    return true;
  const auto wanted = PlanGroupRestart(history.value(), ranks);
  // Without a plan, some agents may not have heard of the last record.
  const auto record = wanted ? records_.Create(*wanted) : LastRecord(history.value());
  if (!record)
    return true;
  if (wanted && record.value() == *wanted)
    kLog.Info("group ", group_.name, " has restarted and goes on at epoch ", wanted->epoch);
  boost::json::object message = ToJson(decision_message{record.value()});
  message["group"] = group_.name;
  (void)CallAll(rpc_, Agents(), "experts.decision", message);
  return true;
}

void group_coordinator::Observe(const token_counts& sum) {
  const auto ranks = static_cast<std::int64_t>(group_.ranks.size());
  next_step_ = sum.steps / static_cast<step_number>(ranks);
  if (last_ && sum.steps < last_->steps)
    last_.reset();  // An engine has restarted.
  if (last_) {
    // Ranks are read at slightly different steps; the mean number of steps fits the sum.
    const auto steps = static_cast<std::int64_t>(sum.steps - last_->steps) / ranks;
    if (steps < 1)
      return;
    for (int layer = 0; layer < group_.layers; ++layer) {
      std::vector<std::int64_t> tokens = sum.layers[static_cast<std::size_t>(layer)];
      for (std::size_t expert = 0; expert < tokens.size(); ++expert)
        tokens[expert] -= last_->layers[static_cast<std::size_t>(layer)][expert];
      estimate_.Observe(layer, tokens, steps);
    }
    ++windows_;
  }
  last_ = sum;
}

result<plan_input> group_coordinator::PlanInput() {
  BOOST_OUTCOME_TRY(const switch_history history, records_.ReadHistory());
  if (history.committed.verdict == switch_verdict::kRestart) {
    current_ = {};
    current_digest_ = {};
  } else if (history.committed.epoch != 0 && history.committed.map != current_digest_) {
    BOOST_OUTCOME_TRY(const std::string body, records_.FetchMap(history.committed.map));
    BOOST_OUTCOME_TRY(const boost::json::value value, ParseJson(body));
    BOOST_OUTCOME_TRY(current_, ExpertMapFromJson(value));
    current_digest_ = history.committed.map;
  }
  const expert_group_config settings = Settings();
  plan_input input;
  input.settings.expert_bytes = settings.expert_bytes;
  input.settings.cost_per_megabyte = settings.cost_per_megabyte;
  input.settings.horizon_steps = settings.horizon_steps;
  input.settings.min_steps_between_changes = settings.min_steps_between_changes;
  input.current = current_;
  input.speeds.assign(group_.ranks.size(), kSpeedUnit);
  for (int layer = 0; layer < group_.layers; ++layer) {
    input.popularity.push_back(
        {estimate_.Smoothed(layer), estimate_.Recent(layer), estimate_.StandardError(layer)});
  }
  input.steps_since_change =
      static_cast<std::int64_t>(next_step_ - std::min(next_step_, history.committed.step));
  return input;
}

void group_coordinator::Plan() {
  const auto input = PlanInput();
  if (!input) {
    hindrance_ = "no plan: " + input.error().message;
    return;
  }
  const auto outcome = PlanRebalance(Shape(), input.value());
  if (!outcome) {
    hindrance_ = "no plan: " + outcome.error().message;
    return;
  }
  decision_record record = RecordPlan(group_.name, Shape(), input.value(), outcome.value());
  last_plan_ = record.outcome;
  last_plan_.erase("map");
  last_plan_["record"] = plans_.Append(std::move(record));
  if (outcome.value().change)
    Change(outcome.value());
}

void group_coordinator::Change(const plan_outcome& outcome) {
  const std::string body = boost::json::serialize(ToJson(outcome.map));
  const map_digest digest = DigestOfMap(body);
  if (const auto stored = records_.StoreMap(digest, body); !stored) {
    hindrance_ = "map not stored: " + stored.error().message;
    return;
  }
  switch_runner runner(rpc_, records_, self_, {group_.name, Agents(), Settings().step_margin},
                       digest, [this](milliseconds pause) { return node_.WaitOrStop(pause); });
  const auto decision = runner.Run();
  last_change_ = decision ? ToJson(*decision) : boost::json::object{{"verdict", "none"}};
  last_change_["wanted_map"] = ToHex(digest);
  kLog.Info("group ", group_.name, ": ", ToString(outcome.reason), ", ",
            boost::json::serialize(last_change_));
}

boost::json::object group_coordinator::Status() const {
  return {{"leads", leads_},
          {"windows", windows_},
          {"hindrance", hindrance_},
          {"last_plan", last_plan_},
          {"last_change", last_change_}};
}

}  // namespace quincebank
