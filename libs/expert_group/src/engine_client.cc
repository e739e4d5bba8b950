#include "quincebank/expert_group/engine_client.h"

#include <boost/json/serialize.hpp>
#include <utility>

#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

constexpr milliseconds kEngineTimeout{1'000};

}  // namespace

engine_client::engine_client(http_client& http, endpoint engine, int rank)
    : http_(http), engine_(std::move(engine)), prefix_("/ranks/" + std::to_string(rank)) {}

result<std::string> engine_client::Call(const char* method, const char* path, std::string body) {
  http_call call{engine_, {method, prefix_ + path, {}, std::move(body)}};
  call.connect_timeout = kEngineTimeout;
  call.response_timeout = kEngineTimeout;
  call.idle_timeout = kEngineTimeout;
  BOOST_OUTCOME_TRY(http_response response, http_.Call(call));
  if (response.status != 200) {
    return MakeError(error_code::kConflict,
                     call.request.target + " answered " + std::to_string(response.status));
  }
  return std::move(response.body);
}

result<engine_view> engine_client::View() {
  BOOST_OUTCOME_TRY(const std::string text, Call("GET", "/view", {}));
  return EngineViewFromJson(text);
}

result<token_counts> engine_client::Tokens() {
  BOOST_OUTCOME_TRY(const std::string text, Call("GET", "/tokens", {}));
  BOOST_OUTCOME_TRY(const boost::json::value value, ParseJson(text));
  return TokenCountsFromJson(value);
}

result<void> engine_client::Send(const engine_order& order,
                                 const std::string& map,
                                 const std::string& body) {
  boost::json::object object = ToJson(order);
  if (order.kind == engine_order_kind::kStage) {
    object["map"] = map;
    BOOST_OUTCOME_TRY(boost::json::value placement, ParseJson(body));
    object["placement"] = std::move(placement);
  }
  BOOST_OUTCOME_TRY(Call("POST", "/orders", boost::json::serialize(object)));
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace quincebank
