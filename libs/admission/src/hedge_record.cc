#include "quincebank/admission/hedge_record.h"

#include <utility>
#include <vector>

#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

namespace json = boost::json;

json::object ToJson(const hedge_copy& copy) {
  return {{"attempt", copy.attempt}, {"agent", copy.agent}};
}

hedge_copy ReadCopy(json_reader& reader) {
  hedge_copy copy;
  copy.attempt = reader.String("attempt");
  copy.agent = reader.String("agent");
  reader.Finish();
  return copy;
}

json::object Outcome(const hedge_input& input, const hedge_copy& first, const hedge_copy& second) {
  const hedge_reason reason = DecideHedge(input);
  json::object outcome{{"sent", reason == hedge_reason::kSend}, {"reason", ToString(reason)}};
  outcome["first"] = ToJson(first);
  if (reason == hedge_reason::kSend)
    outcome["second"] = ToJson(second);
  return outcome;
}

}  // namespace

decision_record MakeHedgeRecord(std::string request,
                                wall_time at,
                                const hedge_input& input,
                                const hedge_copy& first,
                                const hedge_copy& second) {
  decision_record record;
  record.at = at;
  record.request = std::move(request);
  record.kind = kHedgeRecordKind;
  record.input = {{"quantile", input.settings.quantile},
                  {"min_samples", input.settings.min_samples},
                  {"min_delay_ms", input.settings.min_delay.count()},
                  {"samples", input.latency.samples},
                  {"quantile_ms", input.latency.quantile.count()},
                  {"repeatable", input.repeatable},
                  {"elapsed_ms", input.elapsed.count()},
                  {"other_upstream", input.other_upstream},
                  {"budget_granted", input.budget_granted},
                  {"first", ToJson(first)}};
  if (input.other_upstream)
    record.input["second"] = ToJson(second);
  record.outcome = Outcome(input, first, second);
  return record;
}

result<json::object> ReplayHedge(const decision_record& record) {
  if (record.kind != kHedgeRecordKind)
    return MakeError(error_code::kInvalidArgument, "record is of kind '" + record.kind + "'");
  std::vector<error> errors;
  const json::value root(record.input);
  json_reader reader(root, "", errors);
  hedge_input input;
  input.settings.quantile = reader.Number("quantile", 0, 1, 0);
  input.settings.min_samples = static_cast<std::size_t>(reader.Int("min_samples", {}));
  input.settings.min_delay = milliseconds(reader.Int("min_delay_ms", {}));
  input.latency.samples = static_cast<std::size_t>(reader.Int("samples", {}));
  input.latency.quantile = milliseconds(reader.Int("quantile_ms", {}));
  input.repeatable = reader.Bool("repeatable", false);
  input.elapsed = milliseconds(reader.Int("elapsed_ms", {}));
  input.other_upstream = reader.Bool("other_upstream", false);
  input.budget_granted = reader.Bool("budget_granted", false);
  hedge_copy first;
  hedge_copy second;
  reader.Child("first", [&](json_reader& copy) { first = ReadCopy(copy); });
  reader.Child("second", [&](json_reader& copy) { second = ReadCopy(copy); });
  reader.Finish();
  if (!errors.empty())
    return JoinErrors(errors);
  return Outcome(input, first, second);
}

}  // namespace quincebank
