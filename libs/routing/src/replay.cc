#include "quincebank/routing/replay.h"

#include <boost/json/array.hpp>
#include <utility>

namespace quincebank {
namespace {

namespace json = boost::json;

constexpr std::string_view kPolicyKey = "policy";

}  // namespace

json::object OutcomeToJson(const route_input& input, const result<route_decision>& decision) {
  if (!decision.has_value()) {
    return {{"error", ToString(decision.error().code)},
            {"message", decision.error().message},
            {"verdict", ToString(decision.error().outcome)}};
  }
  json::array candidates;
  for (const route_candidate& candidate : decision.value().candidates()) {
    json::object one{{"upstream", input.table->at(candidate.index).id},
                     {"source", ToString(candidate.source)},
                     {"load", candidate.load},
                     {"cached_blocks", candidate.cached_blocks},
                     {"score_us", candidate.score}};
    if (candidate.excluded != exclusion::kNone)
      one["excluded"] = ToString(candidate.excluded);
    candidates.push_back(std::move(one));
  }
  return {{"upstream", input.table->at(decision.value().index).id},
          {"reason", ToString(decision.value().reason)},
          {"considered", decision.value().considered},
          {"candidates", std::move(candidates)}};
}

decision_record MakeRouteRecord(std::string request,
                                wall_time at,
                                const route_policy& policy,
                                const route_input& input,
                                const result<route_decision>& decision) {
  decision_record record;
  record.at = at;
  record.request = std::move(request);
  record.kind = kRouteRecordKind;
  record.input = ToJson(input);
  record.input[kPolicyKey] = policy.name;
  record.outcome = OutcomeToJson(input, decision);
  return record;
}

result<route_replay> Replay(const decision_record& record, std::string_view policy) {
  if (record.kind != kRouteRecordKind)
    return MakeError(error_code::kInvalidArgument, "record is of kind '" + record.kind + "'");
  json::object input = record.input;
  route_replay replay;
  if (const json::value* const name = input.if_contains(kPolicyKey);
      name != nullptr && name->is_string()) {
    replay.policy = std::string(name->get_string());
  }
  input.erase(kPolicyKey);
  if (!policy.empty())
    replay.policy = policy;
  const route_policy* const chosen = FindRoutePolicy(replay.policy);
  if (chosen == nullptr) {
    return error{error_code::kInvalidArgument, "unknown policy '" + replay.policy + "'",
                 verdict::kNotRun, "/policy"};
  }
  const auto stored = RouteInputFromJson(input);
  if (!stored.has_value())
    return stored.error();
  const route_input view = stored.value().View();
  replay.outcome = OutcomeToJson(view, Choose(*chosen, view));
  replay.recorded = record.outcome;
  replay.same = replay.outcome == replay.recorded;
  return replay;
}

}  // namespace quincebank
