#include "refusal.h"

#include <array>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "quincebank/messages/header_names.h"

namespace quincebank {
namespace {

struct code_status {
  error_code code;
  int status;
};

constexpr std::array<code_status, 10> kStatuses{{
    {error_code::kInvalidArgument, 400},
    {error_code::kNotFound, 404},
    {error_code::kConflict, 409},
    {error_code::kUnavailable, 503},
    {error_code::kTimeout, 504},
    {error_code::kOverloaded, 503},
    {error_code::kDraining, 503},
    {error_code::kStale, 503},
    {error_code::kTruncated, 502},
    {error_code::kInternal, 500},
}};

}  // namespace

int StatusOf(const error& failure) noexcept {
  for (const code_status& known : kStatuses) {
    if (known.code != failure.code)
      continue;
    // 503 invites a blind repeat, which is wrong for a request that may have run.
    if (known.status == 503 && failure.outcome != verdict::kNotRun)
      return 502;
    return known.status;
  }
  return 500;
}

void Refuse(http_exchange& exchange,
            const error& failure,
            std::string_view request,
            milliseconds retry_after) {
  http_response response{StatusOf(failure), {{"Content-Type", "application/json"}}, {}};
  response.headers.Set(kVerdictField, std::string(ToString(failure.outcome)));
  response.headers.Set(kRequestField, std::string(request));
  if (retry_after.count() > 0) {
    response.headers.Set(kRetryAfterField,
                         std::to_string(std::chrono::ceil<seconds>(retry_after).count()));
  }
  response.body = boost::json::serialize(
      boost::json::object{{"error", boost::json::object{{"code", ToString(failure.code)},
                                                        {"message", Describe(failure)},
                                                        {"verdict", ToString(failure.outcome)},
                                                        {"request", request}}}});
  exchange.Respond(std::move(response));
}

}  // namespace quincebank
