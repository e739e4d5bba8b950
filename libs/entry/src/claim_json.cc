#include "claim_json.h"

#include <array>
#include <optional>
#include <vector>

#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 5> kOutcomes{"owned", "held", "absent", "used", "not-run"};
constexpr int_range kDeadlineMs{0, 86'400'000};

json::object ToJson(const claim& value) {
  const auto expires = std::chrono::duration_cast<seconds>(value.expires.time_since_epoch());
  return {{"key", ToString(attempt_id{value.key.high, value.key.low})},
          {"request", ToString(incarnation{value.request_digest})},
          {"attempt", ToString(value.attempt)},
          {"agent", value.target.agent},
          {"incarnation", ToString(value.target.life)},
          {"expires", expires.count()}};
}

claim ReadClaim(json_reader& reader) {
  claim value;
  const auto key = ParseAttemptId(reader.String("key"));
  const auto request = ParseIncarnation(reader.String("request"));
  const auto attempt = ParseAttemptId(reader.String("attempt"));
  const auto life = ParseIncarnation(reader.String("incarnation"));
  value.target.agent = reader.String("agent", "");
  value.expires = wall_time(seconds(reader.Int("expires", {0})));
  if (!key || !request || !attempt || !life) {
    reader.Fail("key", "claim with a malformed id");
    return value;
  }
  value.key = {key->high, key->low};
  value.request_digest = request->value;
  value.attempt = *attempt;
  value.target.life = *life;
  return value;
}

}  // namespace

json::object ToJson(const forwarded_claim& forwarded, milliseconds left) {
  const claim_request& request = forwarded.request;
  return {{"bucket", forwarded.bucket},
          {"claim", ToJson(request.value)},
          {"expected", request.expected ? ToString(*request.expected) : ""},
          {"deadline_ms", left.count()}};
}

result<forwarded_claim> ForwardedClaimFromJson(const json::object& object, time_point now) {
  std::vector<error> errors;
  const json::value value(object);
  json_reader reader(value, "", errors);
  forwarded_claim forwarded;
  forwarded.bucket = reader.String("bucket");
  const std::string expected = reader.String("expected", "");
  if (!expected.empty()) {
    forwarded.request.expected = ParseAttemptId(expected);
    if (!forwarded.request.expected)
      reader.Fail("expected", "expected 32 hexadecimal digits");
  }
  forwarded.request.deadline = now + reader.Millis("deadline_ms", kDeadlineMs, milliseconds(0));
  if (!reader.Has("claim"))
    reader.Fail("claim", "missing");
  reader.Child("claim", [&](json_reader& child) { forwarded.request.value = ReadClaim(child); });
  if (!errors.empty())
    return JoinErrors(errors);
  return forwarded;
}

json::object ToJson(const claim_decision& decision) {
  json::object object{{"outcome", kOutcomes.at(static_cast<std::size_t>(decision.outcome))}};
  if (decision.outcome == claim_outcome::kHeld)
    object["holder"] = ToJson(decision.holder);
  if (decision.outcome == claim_outcome::kNotRun) {
    object["code"] = ToString(decision.failure.code);
    object["message"] = decision.failure.message;
  }
  return object;
}

result<claim_decision> ClaimDecisionFromJson(const json::value& value) {
  std::vector<error> errors;
  json_reader reader(value, "", errors);
  claim_decision decision;
  const std::string outcome = reader.String("outcome");
  std::optional<claim_outcome> known;
  for (std::size_t i = 0; i < kOutcomes.size(); ++i) {
    if (kOutcomes.at(i) == outcome)
      known = static_cast<claim_outcome>(i);
  }
  if (!known)
    reader.Fail("outcome", "unknown outcome");
  decision.outcome = known.value_or(claim_outcome::kNotRun);
  if (decision.outcome == claim_outcome::kHeld && !reader.Has("holder"))
    reader.Fail("holder", "missing");
  reader.Child("holder", [&](json_reader& child) { decision.holder = ReadClaim(child); });
  decision.failure =
      MakeError(ParseErrorCode(reader.String("code", "")).value_or(error_code::kUnavailable),
                reader.String("message", ""));
  if (!errors.empty())
    return JoinErrors(errors);
  return decision;
}

}  // namespace quincebank
