#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <utility>

#include "quincebank/base/json_reader.h"
#include "quincebank/net/http_client.h"

namespace quincebank {

/// \brief Makes a call whose every phase has the same timeout.
[[nodiscard]] inline http_call MakeCall(const endpoint& peer,
                                        std::string method,
                                        std::string target,
                                        std::string body,
                                        milliseconds timeout) {
  http_call call{peer, {std::move(method), std::move(target), {}, std::move(body)}};
  call.connect_timeout = timeout;
  call.response_timeout = timeout;
  call.idle_timeout = timeout;
  return call;
}

/// \brief Reads the body of an answer; any status but 200 is an error.
[[nodiscard]] inline result<std::string> GetText(http_client& http,
                                                 const endpoint& peer,
                                                 const std::string& target,
                                                 milliseconds timeout) {
  BOOST_OUTCOME_TRY(http_response response, http.Call(MakeCall(peer, "GET", target, {}, timeout)));
  if (response.status != 200) {
    return MakeError(error_code::kUnavailable,
                     ToString(peer) + target + " answered " + std::to_string(response.status));
  }
  return std::move(response.body);
}

}  // namespace quincebank
