#include "quincebank/messages/attempt_event.h"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "quincebank/base/digest.h"
#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

namespace json = boost::json;

struct sse_fields {
  std::string_view name;
  std::string_view data;
};

sse_fields SplitFields(std::string_view text) {
  constexpr std::string_view kEvent = "event: ";
  constexpr std::string_view kData = "data: ";
  sse_fields fields;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    if (line.starts_with(kEvent)) {
      fields.name = line.substr(kEvent.size());
    } else if (line.starts_with(kData)) {
      fields.data = line.substr(kData.size());
    }
  }
  return fields;
}

std::string Event(std::string_view name, const std::string& data) {
  return "event: " + std::string(name) + "\ndata: " + data + "\n\n";
}

struct encoder {
  std::string operator()(const attempt_heartbeat& event) const {
    return Event("heartbeat", json::serialize(ToJson(event.load)));
  }
  std::string operator()(const attempt_head& event) const {
    return Event("head", EncodeHead(event));
  }
  std::string operator()(const attempt_body& event) const {
    return Event("body", Base64Encode(event.bytes));
  }
  std::string operator()(const attempt_end& event) const {
    return Event("end", json::serialize(ToJson(event.load)));
  }
  std::string operator()(const attempt_failure& event) const {
    json::object data{
        {"code", ToString(event.failure.code)},        {"message", event.failure.message},
        {"verdict", ToString(event.failure.outcome)},  {"answer_gone", event.answer_gone},
        {"retry_after_ms", event.retry_after.count()}, {"load", ToJson(event.load)}};
    if (event.refused_by_ledger)
      data["ledger"] = ToString(*event.refused_by_ledger);
    return Event("failure", json::serialize(data));
  }
};

result<attempt_event> DecodeHeartbeat(std::string_view data) {
  BOOST_OUTCOME_TRY(const json::value parsed, ParseJson(data));
  BOOST_OUTCOME_TRY(const agent_load load, AgentLoadFromJson(parsed));
  return attempt_event(attempt_heartbeat{load});
}

result<attempt_event> DecodeHeadEvent(std::string_view data) {
  BOOST_OUTCOME_TRY(attempt_head head, DecodeHead(data));
  return attempt_event(std::move(head));
}

result<attempt_event> DecodeBody(std::string_view data) {
  auto bytes = Base64Decode(data);
  if (!bytes)
    return MakeError(error_code::kInternal, "attempt event: body is not base64");
  return attempt_event(attempt_body{std::move(*bytes)});
}

result<attempt_event> DecodeEnd(std::string_view data) {
  BOOST_OUTCOME_TRY(const json::value parsed, ParseJson(data));
  BOOST_OUTCOME_TRY(const agent_load load, AgentLoadFromJson(parsed));
  return attempt_event(attempt_end{load});
}

result<attempt_event> DecodeFailure(std::string_view data) {
  constexpr int_range kRetryAfterMs{0, 3'600'000};
  BOOST_OUTCOME_TRY(const json::value parsed, ParseJson(data));
  std::vector<error> errors;
  json_reader reader(parsed, "", errors);
  attempt_failure event;
  event.failure.code = ParseErrorCode(reader.String("code")).value_or(error_code::kInternal);
  event.failure.message = reader.String("message", "");
  event.failure.outcome = ParseVerdict(reader.String("verdict")).value_or(verdict::kMayHaveRun);
  event.answer_gone = reader.Bool("answer_gone", false);
  event.retry_after = reader.Millis("retry_after_ms", kRetryAfterMs, milliseconds(0));
  const std::string ledger = reader.String("ledger", "");
  if (!ledger.empty())
    event.refused_by_ledger = ParseBeginOutcome(ledger);
  reader.Child("load", [&](json_reader&) {});
  const json::value* const load =
      parsed.is_object() ? parsed.get_object().if_contains("load") : nullptr;
  if (load != nullptr) {
    BOOST_OUTCOME_TRY(event.load, AgentLoadFromJson(*load));
  }
  if (!errors.empty())
    return JoinErrors(errors);
  return attempt_event(std::move(event));
}

struct decoder {
  std::string_view name;
  result<attempt_event> (*decode)(std::string_view data);
};

constexpr std::array<decoder, 5> kDecoders{{{"heartbeat", DecodeHeartbeat},
                                            {"head", DecodeHeadEvent},
                                            {"body", DecodeBody},
                                            {"end", DecodeEnd},
                                            {"failure", DecodeFailure}}};

}  // namespace

std::string Encode(const attempt_event& event) {
  return std::visit(encoder{}, event);
}

result<attempt_event> DecodeAttemptEvent(std::string_view text) {
  const sse_fields fields = SplitFields(text);
  for (const decoder& known : kDecoders) {
    if (known.name == fields.name)
      return known.decode(fields.data);
  }
  return MakeError(error_code::kInternal,
                   "attempt event: unknown event '" + std::string(fields.name) + "'");
}

std::string EncodeHead(const attempt_head& head) {
  json::array headers;
  for (const http_header& field : head.headers)
    headers.push_back(json::array{field.name, field.value});
  return json::serialize(json::object{{"status", head.status}, {"headers", headers}});
}

result<attempt_head> DecodeHead(std::string_view text) {
  constexpr int_range kStatus{100, 599};
  BOOST_OUTCOME_TRY(const json::value parsed, ParseJson(text));
  std::vector<error> errors;
  json_reader reader(parsed, "", errors);
  attempt_head head;
  head.status = static_cast<int>(reader.Int("status", kStatus));
  const json::value* const headers =
      parsed.is_object() ? parsed.get_object().if_contains("headers") : nullptr;
  if (headers == nullptr || !headers->is_array()) {
    reader.Fail("headers", "expected an array");
    return JoinErrors(errors);
  }
  for (const json::value& field : headers->get_array()) {
    const json::array* const pair = field.if_array();
    if (pair == nullptr || pair->size() != 2 || !pair->at(0).is_string() ||
        !pair->at(1).is_string()) {
      reader.Fail("headers", "expected pairs of name and value");
      continue;
    }
    head.headers.Add(std::string(pair->at(0).get_string()), std::string(pair->at(1).get_string()));
  }
  if (!errors.empty())
    return JoinErrors(errors);
  return head;
}

}  // namespace quincebank
