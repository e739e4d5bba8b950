#include "quincebank/platform/host_list.h"

#include <boost/json/array.hpp>
#include <utility>

#include "http_json.h"

namespace quincebank {
namespace {

class http_host_list final : public host_list {
 public:
  http_host_list(http_client& http, endpoint service, std::string path, milliseconds timeout)
      : http_(http), service_(std::move(service)), path_(std::move(path)), timeout_(timeout) {}

  result<std::optional<std::vector<host_entry>>> ReadIfChanged() override {
    http_call call = MakeCall(service_, "GET", path_, {}, timeout_);
    if (!tag_.empty())
      call.request.headers.Set("If-None-Match", tag_);
    BOOST_OUTCOME_TRY(const http_response response, http_.Call(call));
    if (response.status == 304)
      return std::optional<std::vector<host_entry>>();
    if (response.status != 200) {
      return MakeError(error_code::kUnavailable,
                       ToString(service_) + path_ + " answered " + std::to_string(response.status));
    }
    BOOST_OUTCOME_TRY(std::vector<host_entry> hosts, ParseHostList(response.body));
    tag_ = std::string(response.headers.Get("ETag"));
    return std::optional<std::vector<host_entry>>(std::move(hosts));
  }

 private:
  http_client& http_;
  const endpoint service_;
  const std::string path_;
  const milliseconds timeout_;
  std::string tag_;  ///< Entity tag of the list read last.
};

}  // namespace

result<std::vector<host_entry>> ParseHostList(std::string_view text) {
  BOOST_OUTCOME_TRY(const boost::json::value parsed, ParseJson(text));
  if (!parsed.is_array())
    return MakeError(error_code::kInvalidArgument, "host list: expected an array");
  std::vector<error> errors;
  std::vector<host_entry> hosts;
  std::size_t index = 0;
  for (const boost::json::value& element : parsed.get_array()) {
    json_reader group(element, "/" + std::to_string(index++), errors);
    host_entry host;
    group.Child("labels", [&](json_reader& labels) {
      host.host = labels.String("host");
      host.failure_domain = labels.String("failure_domain");
      host.role = labels.String("role");
      host.leaving = labels.String("state", "live") == "leaving";
    });
    for (const std::string& target : group.Strings("targets")) {
      auto process = ParseEndpoint(target);
      if (!process) {
        group.Fail("targets", process.error().message);
        continue;
      }
      host.process = std::move(process.value());
      hosts.push_back(host);
    }
  }
  if (!errors.empty())
    return JoinErrors(errors);
  return hosts;
}

std::unique_ptr<host_list> MakeHttpHostList(http_client& http,
                                            endpoint service,
                                            std::string path,
                                            milliseconds timeout) {
  return std::make_unique<http_host_list>(http, std::move(service), std::move(path), timeout);
}

}  // namespace quincebank
