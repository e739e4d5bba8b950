#include "quincebank/rpc/rpc_client.h"

#include <boost/json/serialize.hpp>
#include <optional>
#include <utility>

#include "quincebank/base/json_reader.h"
#include "quincebank/net/http_client.h"
#include "quincebank/rpc/impl/json_rpc_call.h"
#include "quincebank/rpc/impl/rpc_error.h"

namespace quincebank {

result<boost::json::value> rpc_client::Call(const endpoint& peer,
                                            const std::string& method,
                                            const boost::json::object& params,
                                            milliseconds timeout) {
  std::optional<error> transport;
  const auto send = [&](const std::string& request, std::string& response) {
    http_call call{peer, {"POST", "/rpc", {{"Content-Type", "application/json"}}, request}};
    call.connect_timeout = timeout;
    call.response_timeout = timeout;
    call.idle_timeout = timeout;
    auto answer = http_.Call(call);
    if (!answer) {
      transport = answer.error();
      return false;
    }
    response = std::move(answer.value().body);
    return true;
  };
  const impl::json_rpc_answer answer =
      impl::CallJsonRpc(method, boost::json::serialize(params), send);
  if (transport)
    return *transport;
  if (!answer.ok)
    return impl::ErrorFromRpc(answer.message, answer.data);
  return ParseJson(answer.result);
}

}  // namespace quincebank
