// The part of a request flow that reads the caller's request.

#include <charconv>
#include <utility>

#include "quincebank/base/clock.h"
#include "quincebank/base/json_reader.h"
#include "quincebank/messages/header_names.h"
#include "request_flow.h"

namespace quincebank {
namespace {

// Larger bodies are not parsed for their prompt; their first blocks decide.
constexpr std::size_t kMaxParsedBody = 1'000'000;

result<long long> ReadNumber(const http_headers& headers,
                             std::string_view field,
                             long long min,
                             long long max,
                             long long fallback) {
  const auto text = headers.Find(field);
  if (!text)
    return fallback;
  long long value = 0;
  const char* const last = text->data() + text->size();
  const auto [end, ec] = std::from_chars(text->data(), last, value);
  if (ec != std::errc() || end != last || value < min || value > max) {
    error failure = MakeError(
        error_code::kInvalidArgument,
        "expected a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    failure.path = std::string(field);
    return failure;
  }
  return value;
}

// A route is found by its path prefix, so a path that leads elsewhere at the upstream would get the
// wrong route's rules. The answers to these methods have no body or are not HTTP messages.
result<void> CheckForwardable(std::string_view method, std::string_view path) {
  for (const std::string_view unsupported : {"HEAD", "CONNECT", "TRACE"}) {
    if (method == unsupported)
      return MakeError(error_code::kInvalidArgument,
                       "method " + std::string(method) + " can't be forwarded");
  }
  const auto parsed = ParseTarget(path);
  if (!parsed)
    return MakeError(error_code::kInvalidArgument, "malformed request path");
  const std::string segments = parsed->path + "/";
  if (segments.find("/../") != std::string::npos || segments.find("/./") != std::string::npos)
    return MakeError(error_code::kInvalidArgument, "request path with dot segments");
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::string PromptOf(const std::string& body) {
  if (body.size() > kMaxParsedBody)
    return body;
  const auto parsed = ParseJson(body);
  const boost::json::object* const object = parsed ? parsed.value().if_object() : nullptr;
  const boost::json::value* const prompt = object ? object->if_contains("prompt") : nullptr;
  if (prompt == nullptr || !prompt->is_string())
    return body;
  return std::string(prompt->get_string());
}

}  // namespace

result<void> request_flow::Prepare(const service_target& target) {
  snapshot_ = shared_.snapshots.Get();
  if (!snapshot_)
    return MakeError(error_code::kUnavailable, "no configuration is in force yet");
  const auto index = snapshot_->config->FindService(target.service);
  if (!index)
    return MakeError(error_code::kNotFound, "unknown service '" + target.service + "'");
  service_ = &snapshot_->config->services()[*index];
  view_ = &snapshot_->services[*index];
  if (!view_->table)
    return MakeError(error_code::kUnavailable, "service has no valid upstreams");
  path_ = target.path;
  BOOST_OUTCOME_TRY(CheckForwardable(exchange_.request().method, path_));
  const std::string plain_path = path_.substr(0, path_.find('?'));
  const route_config* const route =
      snapshot_->config->FindRoute(*index, exchange_.request().method, plain_path);
  if (route == nullptr) {
    return MakeError(error_code::kNotFound, "service '" + target.service + "' has no route for " +
                                                exchange_.request().method + " " + plain_path);
  }
  BOOST_OUTCOME_TRY(ReadCallerFields());
  BOOST_OUTCOME_TRY(spec_, MakeSpec(*route));
  if (service_->kind == service_kind::kModel)
    prefix_ = PrefixHashes(workspace_ + "/" + service_->name, PromptOf(exchange_.request().body));
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> request_flow::ReadCallerFields() {
  const http_headers& headers = exchange_.request().headers;
  workspace_ = std::string(headers.Get(kWorkspaceField));
  const auto share = snapshot_->config->FindWorkspace(workspace_);
  if (!share) {
    error failure =
        MakeError(error_code::kInvalidArgument, "unknown workspace '" + workspace_ + "'");
    failure.path = std::string(kWorkspaceField);
    return failure;
  }
  BOOST_OUTCOME_TRY(const long long priority,
                    ReadNumber(headers, kPriorityField, 0, kMaxPriority, share->priority));
  priority_ = static_cast<int>(priority);
  const long long longest = service_->total_timeout.count();
  BOOST_OUTCOME_TRY(const long long deadline,
                    ReadNumber(headers, kDeadlineField, 1, longest, longest));
  deadline_ = started_ + milliseconds(deadline);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<request_spec> request_flow::MakeSpec(const route_config& route) {
  const http_request& request = exchange_.request();
  request_spec spec;
  spec.deadline = deadline_;
  if (route.repeatable) {
    spec.kind = request_kind::kRepeatable;
    return spec;
  }
  const auto key = request.headers.Find(kIdempotencyKeyField);
  if (!key)
    return spec;
  spec.kind = request_kind::kKeyed;
  spec.retention = std::chrono::duration_cast<seconds>(service_->claim_retention);
  BOOST_OUTCOME_TRY(spec.key,
                    ParseRequestKey(service_->name, workspace_, *key, WallNow(), spec.retention));
  spec.first_send = request.headers.Get(kFirstSendField) == "true";
  spec.request_digest = RequestDigest(request.method, path_, request.body);
  return spec;
}

}  // namespace quincebank
