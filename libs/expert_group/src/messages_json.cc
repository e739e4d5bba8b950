#include "quincebank/expert_group/messages_json.h"

#include <array>
#include <boost/json/array.hpp>
#include <utility>

#include "quincebank/base/json_reader.h"
#include "quincebank/experts/switch_json.h"

namespace quincebank {
namespace {

namespace json = boost::json;

constexpr int_range kAny{};
constexpr int_range kReportBytes{kMinReportBytes, 65'536};
constexpr std::array<std::string_view, 4> kAnswerNames{"none", "prepared", "promised", "refused"};
constexpr std::array<std::string_view, 4> kOrderNames{"stage", "hold", "commit", "release"};

std::uint64_t ReadCount(json_reader& reader, std::string_view key) {
  return static_cast<std::uint64_t>(reader.Int(key, kAny));
}

json::object ChangeToJson(const change_id& change) {
  return {{"epoch", change.epoch}, {"coordinator", ToString(change.coordinator)}};
}

change_id ReadChange(json_reader& reader) {
  change_id change;
  if (!reader.Has("change"))
    reader.Fail("change", "missing");
  reader.Child("change", [&change](json_reader& child) {
    change.epoch = ReadCount(child, "epoch");
    const auto coordinator = ParseIncarnation(child.String("coordinator"));
    if (coordinator)
      change.coordinator = *coordinator;
    else
      child.Fail("coordinator", "expected 16 hexadecimal digits");
    child.Finish();
  });
  return change;
}

/// Reads the parameters of a method; `group` was read by the caller.
template <typename Message, typename Read>
result<Message> ReadParams(const json::object& params, const Read& read) {
  std::vector<error> errors;
  const json::value value(params);
  json_reader reader(value, "", errors);
  (void)reader.String("group", "");
  Message message;
  read(reader, message);
  reader.Finish();
  if (!errors.empty())
    return JoinErrors(errors);
  return message;
}

}  // namespace

json::object ToJson(const prepare_message& message) {
  return {{"change", ChangeToJson(message.change)}, {"map", ToHex(message.map)}};
}

json::object ToJson(const promise_request& message) {
  return {{"change", ChangeToJson(message.change)}, {"step", message.step}};
}

json::object ToJson(const decision_message& message) {
  return {{"record", ToJson(message.record)}};
}

json::object ToJson(const withdraw_message& message) {
  return {{"change", ChangeToJson(message.change)}};
}

result<prepare_message> PrepareFromJson(const json::object& params) {
  return ReadParams<prepare_message>(params, [](json_reader& reader, prepare_message& message) {
    message.change = ReadChange(reader);
    const auto digest = MapDigestFromHex(reader.String("map"));
    if (digest)
      message.map = *digest;
    else
      reader.Fail("map", "expected 64 hexadecimal digits");
  });
}

result<promise_request> PromiseFromJson(const json::object& params) {
  return ReadParams<promise_request>(params, [](json_reader& reader, promise_request& message) {
    message.change = ReadChange(reader);
    message.step = ReadCount(reader, "step");
  });
}

result<decision_message> DecisionFromJson(const json::object& params) {
  const json::value* const record = params.if_contains("record");
  if (record == nullptr)
    return MakeError(error_code::kInvalidArgument, "record is missing");
  BOOST_OUTCOME_TRY(const switch_decision decision, SwitchDecisionFromJson(*record));
  return decision_message{decision};
}

result<withdraw_message> WithdrawFromJson(const json::object& params) {
  return ReadParams<withdraw_message>(params, [](json_reader& reader, withdraw_message& message) {
    message.change = ReadChange(reader);
  });
}

json::object ToJson(const rank_answer& answer) {
  return {{"answer", kAnswerNames.at(static_cast<std::size_t>(answer.kind))},
          {"change", ChangeToJson(answer.change)},
          {"next_step", answer.next_step}};
}

result<rank_answer> RankAnswerFromJson(const json::value& value) {
  std::vector<error> errors;
  json_reader reader(value, "", errors);
  rank_answer answer;
  const std::string kind = reader.String("answer");
  bool known = false;
  for (std::size_t i = 0; i < kAnswerNames.size(); ++i) {
    if (kind != kAnswerNames.at(i))
      continue;
    answer.kind = static_cast<rank_answer_kind>(i);
    known = true;
  }
  if (!known)
    reader.Fail("answer", "unknown answer");
  answer.change = ReadChange(reader);
  answer.next_step = ReadCount(reader, "next_step");
  if (!errors.empty())
    return JoinErrors(errors);
  return answer;
}

result<engine_view> EngineViewFromJson(std::string_view text) {
  BOOST_OUTCOME_TRY(const json::value value, ParseJson(text));
  std::vector<error> errors;
  json_reader reader(value, "", errors);
  engine_view view;
  view.boot = ReadCount(reader, "boot");
  view.next_step = ReadCount(reader, "next_step");
  view.map = ReadCount(reader, "map");
  view.pending = ReadCount(reader, "pending");
  reader.Each("epochs", [&view](json_reader& child) {
    engine_epoch entry;
    entry.epoch = ReadCount(child, "epoch");
    entry.staged = child.Bool("staged", false);
    if (child.Has("hold"))
      entry.hold = ReadCount(child, "hold");
    view.epochs.push_back(entry);
  });
  if (!errors.empty())
    return JoinErrors(errors);
  return view;
}

json::object ToJson(const engine_order& order) {
  return {{"kind", kOrderNames.at(static_cast<std::size_t>(order.kind))},
          {"epoch", order.epoch},
          {"step", order.step},
          {"fence", order.fence}};
}

std::optional<rank_condition> RankConditionFromJson(const json::value& status) {
  std::vector<error> errors;
  json_reader reader(status, "", errors);
  rank_condition condition;
  condition.engine_lost = reader.Bool("engine_lost", false);
  condition.decided = ReadCount(reader, "decided");
  if (!reader.Has("engine"))
    return std::nullopt;
  reader.Child("engine", [&condition](json_reader& engine) {
    condition.boot = ReadCount(engine, "boot");
    condition.map = ReadCount(engine, "map");
    condition.pending = ReadCount(engine, "pending");
  });
  if (!errors.empty())
    return std::nullopt;
  return condition;
}

json::object ToJson(const token_counts& counts) {
  json::array layers;
  for (const std::vector<std::int64_t>& layer : counts.layers)
    layers.push_back(json::array(layer.begin(), layer.end()));
  json::object object{{"steps", counts.steps}, {"layers", std::move(layers)}};
  if (counts.busy_ns)
    object["busy_ns"] = *counts.busy_ns;
  return object;
}

result<token_counts> TokenCountsFromJson(const json::value& value) {
  const auto malformed = [] {
    return MakeError(error_code::kInvalidArgument, "malformed token counts");
  };
  std::vector<error> errors;
  json_reader reader(value, "", errors);
  token_counts counts;
  counts.steps = ReadCount(reader, "steps");
  if (reader.Has("busy_ns"))
    counts.busy_ns = reader.Int("busy_ns", kAny);
  if (!errors.empty())
    return JoinErrors(errors);
  const json::value* const layers = value.get_object().if_contains("layers");
  if (layers == nullptr || !layers->is_array())
    return malformed();
  for (const json::value& layer : layers->get_array()) {
    if (!layer.is_array())
      return malformed();
    std::vector<std::int64_t>& row = counts.layers.emplace_back();
    for (const json::value& count : layer.get_array()) {
      boost::system::error_code ec;
      row.push_back(count.to_number<std::int64_t>(ec));
      if (ec || row.back() < 0)
        return malformed();
    }
  }
  return counts;
}

json::object ToJson(const counts_request& request) {
  return {{"coordinator", ToString(incarnation{request.receipt.coordinator})},
          {"sender", ToString(incarnation{request.receipt.sender})},
          {"series", request.receipt.series},
          {"number", request.receipt.number},
          {"bytes", request.bytes}};
}

result<counts_request> CountsRequestFromJson(const json::object& params) {
  return ReadParams<counts_request>(params, [](json_reader& reader, counts_request& request) {
    const auto read = [&reader](std::string_view key) -> std::uint64_t {
      const auto id = ParseIncarnation(reader.String(key));
      if (!id)
        reader.Fail(key, "expected 16 hexadecimal digits");
      return id ? id->value : 0;
    };
    request.receipt.coordinator = read("coordinator");
    request.receipt.sender = read("sender");
    request.receipt.series = ReadCount(reader, "series");
    request.receipt.number = ReadCount(reader, "number");
    request.bytes = reader.Int("bytes", kReportBytes);
  });
}

}  // namespace quincebank
