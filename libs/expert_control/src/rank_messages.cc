#include "quincebank/expert_control/rank_messages.h"

#include <boost/json/array.hpp>

#include "quincebank/base/json_reader.h"
#include "quincebank/expert_control/rank_limits.h"

namespace quincebank {
namespace {

namespace json = boost::json;

std::uint64_t Number(json_reader& reader, std::string_view key) {
  return static_cast<std::uint64_t>(reader.Int(key, {}));
}

template <typename Number>
json::array Numbers(const std::vector<Number>& numbers) {
  return json::array(numbers.begin(), numbers.end());
}

result<std::vector<int>> ReadExperts(const json::value& value) {
  const json::array* const array = value.if_array();
  if (array == nullptr)
    return MakeError(error_code::kInvalidArgument, "expected an array of experts");
  std::vector<int> experts;
  experts.reserve(array->size());
  for (const json::value& item : *array) {
    boost::system::error_code ec;
    const auto expert = item.to_number<std::int64_t>(ec);
    if (ec || expert < 0 || expert > kMaxExpert)
      return MakeError(error_code::kInvalidArgument, "expected the number of an expert");
    experts.push_back(static_cast<int>(expert));
  }
  return experts;
}

const json::value& MemberOrNull(const json::value& value, std::string_view key) {
  static const json::value kNull;
  const json::object* const object = value.if_object();
  const json::value* const member = object == nullptr ? nullptr : object->if_contains(key);
  return member == nullptr ? kNull : *member;
}

}  // namespace

json::object ToJson(const rank_report& report) {
  json::object object{{"incarnation", report.incarnation},
                      {"group", report.group},
                      {"epoch", report.epoch},
                      {"rank", report.rank},
                      {"open", report.open},
                      {"step", report.step},
                      {"map", report.map},
                      {"orders", report.orders}};
  if (report.prepared)
    object["prepared"] = *report.prepared;
  if (report.armed)
    object["armed"] =
        json::object{{"version", report.armed->version}, {"step", report.armed->step}};
  if (report.held)
    object["held"] = *report.held;
  if (report.kv_used != 0)
    object["kv_used"] = report.kv_used;
  if (report.pace != 0)
    object["pace"] = report.pace;
  return object;
}

result<rank_report> RankReportFromJson(const json::value& value) {
  std::vector<error> errors;
  json_reader reader(value, "", errors);
  rank_report report;
  report.incarnation = Number(reader, "incarnation");
  report.group = reader.String("group");
  report.epoch = Number(reader, "epoch");
  report.rank = static_cast<int>(reader.Int("rank", {0, kMaxRank}));
  report.open = reader.Bool("open", false);
  report.step = Number(reader, "step");
  report.map = Number(reader, "map");
  report.orders = Number(reader, "orders");
  if (reader.Has("prepared"))
    report.prepared = Number(reader, "prepared");
  reader.Child("armed", [&](json_reader& armed) {
    report.armed = armed_map{Number(armed, "version"), Number(armed, "step")};
  });
  if (reader.Has("held"))
    report.held = Number(reader, "held");
  report.kv_used = reader.Int("kv_used", {0, kMaxRankTokens}, 0);
  report.pace = static_cast<int>(reader.Int("pace", {0, kMaxRankPace}, 0));
  if (!errors.empty())
    return JoinErrors(errors);
  return report;
}

json::object ToJson(const held_experts& held) {
  json::array sets;
  for (const std::vector<int>& set : held.experts)
    sets.push_back(Numbers(set));
  return {{"epoch", held.epoch}, {"version", held.version}, {"experts", std::move(sets)}};
}

result<held_experts> HeldExpertsFromJson(const json::value& value) {
  std::vector<error> errors;
  json_reader reader(value, "", errors);
  held_experts held;
  held.epoch = Number(reader, "epoch");
  held.version = Number(reader, "version");
  if (!errors.empty())
    return JoinErrors(errors);
  const json::array* const sets = MemberOrNull(value, "experts").if_array();
  if (sets == nullptr)
    return MakeError(error_code::kInvalidArgument, "an answer without experts");
  for (const json::value& set : *sets) {
    BOOST_OUTCOME_TRY(std::vector<int> experts, ReadExperts(set));
    held.experts.push_back(std::move(experts));
  }
  return held;
}

}  // namespace quincebank
