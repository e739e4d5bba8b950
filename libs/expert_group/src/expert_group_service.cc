#include "quincebank/expert_group/expert_group_service.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <utility>
#include <vector>

#include "quincebank/base/digest.h"
#include "quincebank/base/json_reader.h"
#include "quincebank/base/log.h"
#include "quincebank/experts/count_report.h"
#include "quincebank/net/run_on.h"

namespace quincebank {
namespace {

constexpr logger kLog{"experts"};
constexpr milliseconds kTick{250};
/// A record holds about 10 KB for each layer of 256 experts.
constexpr std::size_t kKeptPlans = 8;

}  // namespace

/// What exists once the configuration has named the group.
struct expert_group_service::member {
  member(expert_group_service& service,
         const expert_group_config& config,
         int index,
         endpoint engine)
      : group(config),
        rank(index),
        records(service.node_.kv(), config.name),
        driver(engine_client(service.node_.http(), std::move(engine), index), records, index),
        encoder(service.self_.value),
        coordinator(service.node_, records, service.plans_, service.self_, config, index) {}

  const expert_group_config group;
  const int rank;
  map_records records;
  rank_driver driver;
  count_encoder encoder;
  group_coordinator coordinator;
};

expert_group_service::expert_group_service(node_control& node,
                                           incarnation self,
                                           std::string upstream,
                                           bool record_stdout)
    : node_(node),
      self_(self),
      upstream_(std::move(upstream)),
      plans_(kKeptPlans, record_stdout ? WriteRecordLine : nullptr) {}

expert_group_service::~expert_group_service() = default;

void expert_group_service::OnConfig(const effective_config& config) {
  for (const expert_group_config& group : config.expert_groups()) {
    int rank = 0;
    for (const std::string& name : group.ranks) {
      if (name == upstream_)
        Join(config, group, rank);
      ++rank;
    }
  }
}

void expert_group_service::Join(const effective_config& config,
                                const expert_group_config& group,
                                int rank) {
  if (member_) {
    const expert_group_config& held = member_->group;
    const bool same = held.name == group.name && held.ranks == group.ranks &&
                      held.layers == group.layers && held.experts == group.experts &&
                      held.slots_per_rank == group.slots_per_rank;
    if (!same)
      kLog.Warning("group ", group.name, " has changed; restart the agents of its ranks");
    return;
  }
  const upstream_config& upstream = config.upstreams()[*config.FindUpstream(upstream_)];
  member_ = std::make_unique<member>(*this, group, rank,
                                     endpoint{upstream.upstream_address, upstream.upstream_port});
  kLog.Info("rank ", rank, " of group ", group.name);
  node_.SpawnTracked([this] {
    do
      member_->driver.Tick(std::chrono::steady_clock::now());
    while (!node_.WaitOrStop(kTick));
  });
  node_.SpawnTracked([this] { member_->coordinator.LeaseLoop(); });
  node_.SpawnTracked([this] { member_->coordinator.PlanLoop(); });
}

result<void> expert_group_service::CheckGroup(const boost::json::object& params) const {
  const boost::json::value* const group = params.if_contains("group");
  const bool given = group != nullptr && group->is_string();
  if (!member_ || (given && group->get_string() != member_->group.name))
    return MakeError(error_code::kNotFound, upstream_ + " is not a rank of that group");
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<boost::json::value> expert_group_service::Status(const boost::json::object& params) {
  std::vector<error> errors;
  const boost::json::value value(params);
  json_reader reader(value, "", errors);
  (void)reader.String("group", "");
  const bool with_tokens = reader.Bool("tokens", false);
  const bool with_records = reader.Has("records_since");
  const auto since = static_cast<std::uint64_t>(reader.Int("records_since", {}, 0));
  reader.Finish();
  if (!errors.empty())
    return JoinErrors(errors);
  boost::json::object status = member_->driver.Status();
  status["group"] = member_->group.name;
  status["rank"] = member_->rank;
  status["coordinator"] = member_->coordinator.Status();
  if (with_tokens) {
    BOOST_OUTCOME_TRY(const token_counts counts, member_->driver.Tokens());
    status["tokens"] = ToJson(counts);
  }
  if (with_records) {
    boost::json::array records;
    for (const decision_record& record : plans_.Since(since, kKeptPlans))
      records.push_back(ToJson(record));
    status["records"] = std::move(records);
  }
  return boost::json::value(std::move(status));
}

result<boost::json::value> expert_group_service::Counts(const boost::json::object& params) {
  BOOST_OUTCOME_TRY(const counts_request request, CountsRequestFromJson(params));
  BOOST_OUTCOME_TRY(token_counts counts, member_->driver.Tokens());
  const expert_group_config& group = member_->group;
  const auto fits = [&](const std::vector<std::int64_t>& layer) {
    return layer.size() == static_cast<std::size_t>(group.experts);
  };
  if (counts.layers.size() != static_cast<std::size_t>(group.layers) ||
      !std::all_of(counts.layers.begin(), counts.layers.end(), fits))
    return MakeError(error_code::kConflict, "the engine counts other layers or experts");
  count_reading reading{member_->driver.map_in_use(), counts.steps, counts.busy_ns, {}};
  for (const std::vector<std::int64_t>& layer : counts.layers)
    reading.tokens.insert(reading.tokens.end(), layer.begin(), layer.end());
  const count_report report =
      member_->encoder.Next(reading, request.receipt, static_cast<std::size_t>(request.bytes));
  return boost::json::value(boost::json::object{{"phase", member_->driver.Status().at("phase")},
                                                {"counts", Base64Encode(EncodeReport(report))}});
}

void expert_group_service::AddMethods(rpc_server& rpc) {
  const auto add = [&](std::string_view name, auto handler) {
    rpc.Add(name, [this, handler](const boost::json::object& params) {
      return RunOn(node_.thread(), [&]() -> result<boost::json::value> {
        BOOST_OUTCOME_TRY(CheckGroup(params));
        return handler(params);
      });
    });
  };
  add("experts.prepare", [this](const auto& params) -> result<boost::json::value> {
    BOOST_OUTCOME_TRY(const prepare_message message, PrepareFromJson(params));
    return boost::json::value(ToJson(member_->driver.Prepare(message)));
  });
  add("experts.promise", [this](const auto& params) -> result<boost::json::value> {
    BOOST_OUTCOME_TRY(const promise_request message, PromiseFromJson(params));
    return boost::json::value(ToJson(member_->driver.Promise(message)));
  });
  add("experts.decision", [this](const auto& params) -> result<boost::json::value> {
    BOOST_OUTCOME_TRY(const decision_message message, DecisionFromJson(params));
    member_->driver.Decide(message);
    return boost::json::value(boost::json::object{});
  });
  add("experts.withdraw", [this](const auto& params) -> result<boost::json::value> {
    BOOST_OUTCOME_TRY(const withdraw_message message, WithdrawFromJson(params));
    member_->driver.Withdraw(message);
    return boost::json::value(boost::json::object{});
  });
  add("experts.counts", [this](const auto& params) { return Counts(params); });
  add("experts.status", [this](const auto& params) { return Status(params); });
}

}  // namespace quincebank
