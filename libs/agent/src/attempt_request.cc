#include "attempt_request.h"

#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include "quincebank/base/digest.h"
#include "quincebank/messages/header_names.h"

namespace quincebank {
namespace {

constexpr std::array<std::string_view, 9> kInternalFields{
    kAttemptField,    kIncarnationField, kConfigVersionField, kServiceField, kLoadField,
    kRepeatableField, kFirstSendField,   kHedgeField,         "Host"};

error WrongField(std::string_view field) {
  error failure = MakeError(error_code::kInvalidArgument, "missing or malformed header field");
  failure.path = std::string(field);
  return failure;
}

bool IsInternal(std::string_view name) {
  for (const std::string_view field : kInternalFields) {
    if (http_headers({{std::string(name), {}}}).Find(field))
      return true;
  }
  return false;
}

result<std::optional<long long>> ReadNumber(const http_headers& headers,
                                            std::string_view field,
                                            long long max) {
  const auto text = headers.Find(field);
  if (!text)
    return std::optional<long long>();
  long long value = 0;
  const char* const last = text->data() + text->size();
  const auto [end, ec] = std::from_chars(text->data(), last, value);
  if (ec != std::errc() || end != last || value < 0 || value > max)
    return WrongField(field);
  return std::optional<long long>(value);
}

}  // namespace

result<attempt_request> ParseAttemptRequest(const http_request& request) {
  constexpr long long kLongestDeadlineMs = 86'400'000;
  attempt_request parsed;
  const auto attempt = ParseAttemptId(request.headers.Get(kAttemptField));
  if (!attempt)
    return WrongField(kAttemptField);
  const auto wanted = ParseIncarnation(request.headers.Get(kIncarnationField));
  if (!wanted)
    return WrongField(kIncarnationField);
  parsed.attempt = *attempt;
  parsed.wanted = *wanted;
  parsed.repeatable = request.headers.Get(kRepeatableField) == "true";
  parsed.admission.hedge = parsed.repeatable && request.headers.Get(kHedgeField) == "true";
  parsed.workspace = std::string(request.headers.Get(kWorkspaceField));
  parsed.admission.workspace = StableHash64(parsed.workspace);
  BOOST_OUTCOME_TRY(const auto priority,
                    ReadNumber(request.headers, kPriorityField, kHighestPriority));
  if (priority)
    parsed.admission.priority = static_cast<std::uint8_t>(*priority);
  BOOST_OUTCOME_TRY(const auto deadline,
                    ReadNumber(request.headers, kDeadlineField, kLongestDeadlineMs));
  if (deadline)
    parsed.admission.deadline = milliseconds(*deadline);
  parsed.forwarded.method = request.method;
  parsed.forwarded.target = request.target.substr(kAttemptPrefix.size());
  parsed.forwarded.body = request.body;
  for (const http_header& field : request.headers) {
    if (IsHopByHop(field.name) || IsInternal(field.name))
      continue;
    parsed.forwarded.headers.Add(field.name, field.value);
  }
  return parsed;
}

}  // namespace quincebank
