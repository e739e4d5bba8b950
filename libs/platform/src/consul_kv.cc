#include "quincebank/platform/consul_kv.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <string>
#include <utility>

#include "http_json.h"
#include "quincebank/base/digest.h"

namespace quincebank {
namespace {

// The service answers a watch up to a sixteenth later than asked, to spread the wake-ups.
constexpr int kWatchSpread = 16;

result<std::optional<kv_entry>> ParseEntry(const std::string& body) {
  BOOST_OUTCOME_TRY(const boost::json::value parsed, ParseJson(body));
  const boost::json::array* const list = parsed.if_array();
  if (list == nullptr || list->size() != 1)
    return MakeError(error_code::kInternal, "key-value service: expected an array of one entry");
  std::vector<error> errors;
  json_reader reader(list->front(), "/0", errors);
  const std::string encoded = reader.String("Value", "");
  kv_entry entry;
  entry.index = static_cast<std::uint64_t>(reader.Int("ModifyIndex", {1}));
  entry.leased = !reader.String("Session", "").empty();
  if (!errors.empty())
    return JoinErrors(errors);
  auto value = Base64Decode(encoded);
  if (!value)
    return MakeError(error_code::kInternal, "key-value service: value is not base64");
  entry.value = std::move(*value);
  return std::optional<kv_entry>(std::move(entry));
}

class consul_kv final : public kv_store {
 public:
  consul_kv(http_client& http, endpoint service, milliseconds timeout)
      : http_(http), service_(std::move(service)), timeout_(timeout) {}

  result<std::optional<kv_entry>> Get(std::string_view key) override {
    return Read(KeyTarget(key), timeout_);
  }

  result<std::optional<kv_entry>> Watch(std::string_view key,
                                        std::uint64_t seen,
                                        milliseconds wait) override {
    const std::string target = KeyTarget(key) + "?index=" + std::to_string(seen) +
                               "&wait=" + std::to_string(wait.count()) + "ms";
    return Read(target, timeout_ + wait + wait / kWatchSpread);
  }

  result<bool> CompareAndSwap(std::string_view key,
                              std::string_view value,
                              std::uint64_t expected) override {
    return Put(KeyTarget(key) + "?cas=" + std::to_string(expected), value);
  }

  result<void> Erase(std::string_view key) override {
    BOOST_OUTCOME_TRY(Write("DELETE", KeyTarget(key), {}));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  result<bool> EraseIf(std::string_view key, std::uint64_t expected) override {
    BOOST_OUTCOME_TRY(const http_response response,
                      Write("DELETE", KeyTarget(key) + "?cas=" + std::to_string(expected), {}));
    return response.body.starts_with("true");
  }

  result<std::string> OpenLease(milliseconds time_to_live) override {
    const auto body = boost::json::serialize(boost::json::object{
        {"TTL", std::to_string(time_to_live.count()) + "ms"}, {"Behavior", "release"}});
    BOOST_OUTCOME_TRY(const http_response response, Write("PUT", "/v1/session/create", body));
    BOOST_OUTCOME_TRY(const boost::json::value parsed, ParseJson(response.body));
    std::vector<error> errors;
    json_reader reader(parsed, "", errors);
    std::string lease = reader.String("ID");
    if (!errors.empty())
      return JoinErrors(errors);
    return lease;
  }

  result<void> RenewLease(std::string_view lease) override {
    BOOST_OUTCOME_TRY(Write("PUT", "/v1/session/renew/" + std::string(lease), {}));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  result<bool> Acquire(std::string_view key,
                       std::string_view value,
                       std::string_view lease) override {
    return Put(KeyTarget(key) + "?acquire=" + std::string(lease), value);
  }

 private:
  static std::string KeyTarget(std::string_view key) { return "/v1/kv/" + std::string(key); }

  result<std::optional<kv_entry>> Read(const std::string& target, milliseconds timeout) {
    BOOST_OUTCOME_TRY(const http_response response,
                      http_.Call(MakeCall(service_, "GET", target, {}, timeout)));
    if (response.status == 404)
      return std::optional<kv_entry>();
    if (response.status != 200)
      return Refused(response, verdict::kNotRun);
    return ParseEntry(response.body);
  }

  result<bool> Put(const std::string& target, std::string_view value) {
    if (value.size() > kKvValueLimit) {
      return MakeError(error_code::kInvalidArgument, "value of " + std::to_string(value.size()) +
                                                         " bytes exceeds the limit of " +
                                                         std::to_string(kKvValueLimit));
    }
    BOOST_OUTCOME_TRY(const http_response response, Write("PUT", target, value));
    return response.body.starts_with("true");
  }

  result<http_response> Write(const std::string& method,
                              const std::string& target,
                              std::string_view body) {
    BOOST_OUTCOME_TRY(http_response response,
                      http_.Call(MakeCall(service_, method, target, std::string(body), timeout_)));
    // A 5xx answer may come after the write has reached the service's log.
    if (response.status != 200)
      return Refused(response, response.status >= 500 ? verdict::kMayHaveRun : verdict::kNotRun);
    return response;
  }

  [[nodiscard]] error Refused(const http_response& response, verdict outcome) const {
    return MakeError(
        response.status == 404 ? error_code::kNotFound : error_code::kUnavailable,
        "key-value service " + ToString(service_) + " answered " + std::to_string(response.status),
        outcome);
  }

  http_client& http_;
  const endpoint service_;
  const milliseconds timeout_;
};

}  // namespace

std::unique_ptr<kv_store> MakeConsulKv(http_client& http, endpoint service, milliseconds timeout) {
  return std::make_unique<consul_kv>(http, std::move(service), timeout);
}

}  // namespace quincebank
