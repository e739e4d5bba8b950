#include "quincebank/expert_group/group_coordinator.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <utility>

#include "quincebank/base/digest.h"
#include "quincebank/base/json_reader.h"
#include "quincebank/base/log.h"
#include "quincebank/expert_group/switch_runner.h"
#include "quincebank/experts/count_budget.h"
#include "quincebank/experts/group_restart.h"
#include "quincebank/experts/plan_json.h"
#include "quincebank/experts/switch_json.h"

namespace quincebank {
namespace {

constexpr logger kLog{"experts"};
constexpr milliseconds kLeaseTime{10'000};
constexpr milliseconds kLeaseRenewal{3'000};
/// Rates are whole numbers of tokens in this many steps.
constexpr std::int64_t kRateSteps = 1'000;
constexpr std::int64_t kNotTold = -1;
/// Windows that the popularity estimate needs before a plan is made of it.
constexpr int kMinWindows = 3;
/// Windows before a present map is changed: a new coordinator must know a straggler again first.
constexpr int kMinWindowsWithMap = 6;
/// Windows that a plan waits for a sudden change to show in full. A plan made too early would put
/// the rest of the change off by the least time between two changes.
constexpr int kMaxDeferrals = 2;

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
      speeds_(group.ranks.size()),
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
  while (!node_.WaitOrStop(BudgetFor(Shape()).window)) {
    if (!leads_) {
      readers_.clear();  // 4 MB at 58 layers of 32 x 256.
      hindrance_ = "another agent coordinates";
      continue;
    }
    RunWindow();
  }
}

void group_coordinator::RunWindow() {
  hindrance_.clear();
  idle_ranks_ = 0;
  const bool collected = Collect();
  if (idle_ranks_ == 0)
    RestartGroup();
  if (!collected || windows_ < kMinWindows)
    return;
  Plan();
}

void group_coordinator::StartReports() {
  if (!readers_.empty())
    return;
  const auto counters =
      static_cast<std::size_t>(group_.layers) * static_cast<std::size_t>(group_.experts);
  readers_.assign(group_.ranks.size(), count_reader(self_.value, counters));
  last_totals_.assign(group_.ranks.size(), {});
}

bool group_coordinator::Collect() {
  const std::vector<endpoint> agents = Agents();
  if (agents.empty()) {
    hindrance_ = "a rank is not in the configuration";
    return false;
  }
  StartReports();
  const std::int64_t bytes = BudgetFor(Shape()).report_bytes;
  std::vector<boost::json::object> requests;
  for (const count_reader& reader : readers_) {
    requests.push_back(ToJson(counts_request{reader.receipt(), bytes}));
    requests.back()["group"] = group_.name;
  }
  std::vector<bool> reported(readers_.size(), false);
  std::size_t rank = 0;
  for (const auto& answer : CallAll(rpc_, agents, "experts.counts", requests)) {
    if (!answer)
      hindrance_ = "no token counts of " + group_.ranks[rank];
    else
      reported[rank] = Take(rank, *answer);
    ++rank;
  }
  ObserveTimes(reported);
  next_step_ = 0;  // A restarted engine counts from 0.
  const std::uint64_t epoch = readers_.front().last().epoch;
  for (rank = 0; rank < readers_.size(); ++rank) {
    next_step_ = std::max(next_step_, readers_[rank].last().steps);
    if (!readers_[rank].complete() && hindrance_.empty())
      hindrance_ = "not all counts of " + group_.ranks[rank] + " are known yet";
    if (readers_[rank].last().epoch != epoch && hindrance_.empty())
      hindrance_ = group_.ranks[rank] + " uses another map";
  }
  if (!hindrance_.empty())
    return false;
  Observe();
  return true;
}

void group_coordinator::RestartGroup() {
  std::vector<rank_condition> ranks;
  const boost::json::object params{{"group", group_.name}};
  for (const auto& answer : CallAll(rpc_, Agents(), "experts.status", params)) {
    const auto condition = answer ? RankConditionFromJson(*answer) : std::nullopt;
    if (!condition || !condition->engine_lost)
      return;
    ranks.push_back(*condition);
  }
  if (ranks.empty())
    return;
  hindrance_ = "the engines of all ranks have other maps than the records say";
  const auto history = records_.ReadHistory();
  if (!history)
    return;
  const auto wanted = PlanGroupRestart(history.value(), ranks);
  // Without a plan, some agents may not have heard of the last record.
  const auto record = wanted ? records_.Create(*wanted) : LastRecord(history.value());
  if (!record)
    return;
  if (wanted && record.value() == *wanted)
    kLog.Info("group ", group_.name, " has restarted and goes on at epoch ", wanted->epoch);
  boost::json::object message = ToJson(decision_message{record.value()});
  message["group"] = group_.name;
  (void)CallAll(rpc_, Agents(), "experts.decision", message);
}

bool group_coordinator::Take(std::size_t rank, const boost::json::value& answer) {
  const std::string& name = group_.ranks[rank];
  const boost::json::object* const object = answer.if_object();
  const boost::json::value* const counts = object ? object->if_contains("counts") : nullptr;
  const boost::json::value* const phase = object ? object->if_contains("phase") : nullptr;
  const auto bytes = counts != nullptr && counts->is_string()
                         ? Base64Decode(std::string_view(counts->get_string()))
                         : std::nullopt;
  const auto report = bytes ? DecodeReport(*bytes, readers_[rank].rates().size())
                            : result<count_report>(MakeError(error_code::kInvalidArgument,
                                                             "no report of token counts"));
  if (!report) {
    hindrance_ = name + ": " + report.error().message;
    return false;
  }
  if (phase == nullptr || *phase != "idle")
    hindrance_ = name + " is not idle";
  else
    ++idle_ranks_;
  return readers_[rank].Take(report.value());
}

void group_coordinator::ObserveTimes(const std::vector<bool>& reported) {
  std::vector<rank_time> times(readers_.size());
  for (std::size_t rank = 0; rank < times.size(); ++rank) {
    if (!reported[rank])
      continue;
    const count_report& now = readers_[rank].last();
    const rank_totals before =
        std::exchange(last_totals_[rank], rank_totals{now.steps, now.tokens, now.busy_ns});
    // A restarted engine counts from 0; its first window tells nothing.
    if (!now.busy_ns || !before.busy_ns || now.steps <= before.steps || now.tokens < before.tokens)
      continue;
    times[rank] = {*now.busy_ns - *before.busy_ns,
                   static_cast<std::int64_t>(now.tokens - before.tokens)};
  }
  AddSamples(speeds_, MeasureSpeeds(times));
}

void group_coordinator::Observe() {
  std::size_t index = 0;
  for (int layer = 0; layer < group_.layers; ++layer) {
    std::vector<std::int64_t> tokens;
    for (int expert = 0; expert < group_.experts; ++expert, ++index) {
      double rate = 0;
      bool told = false;
      for (const count_reader& reader : readers_) {
        rate += reader.rates()[index];
        told = told || (reader.fresh()[index] && reader.rates()[index] > 0);
      }
      tokens.push_back(told || rate <= 0 ? std::llround(rate * kRateSteps) : kNotTold);
    }
    estimate_.Observe(layer, tokens, kRateSteps);
  }
  ++windows_;
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
  input.speed_histories = speeds_;
  input.speeds = EstimateSpeeds(input.speed_histories);
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
  if (!current_.layers.empty() && windows_ < kMinWindowsWithMap)
    return;
  if (!current_.layers.empty() && estimate_.expects_jump() && deferrals_ < kMaxDeferrals) {
    ++deferrals_;
    hindrance_ = "a sudden change of popularity is not confirmed yet";
    return;
  }
  deferrals_ = 0;
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
  const std::vector<std::int64_t> speeds = EstimateSpeeds(speeds_);
  return {{"speeds", boost::json::array(speeds.begin(), speeds.end())},
          {"leads", leads_},
          {"windows", windows_},
          {"hindrance", hindrance_},
          {"last_plan", last_plan_},
          {"last_change", last_change_}};
}

}  // namespace quincebank
