#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <string>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/net/endpoint.h"
#include "quincebank/net/net_fwd.h"

namespace quincebank {

/// \brief Calls JSON-RPC 2.0 methods of other processes over `POST /rpc`.
class rpc_client {
 public:
  explicit rpc_client(http_client& http) : http_(http) {}

  /// \returns The method's result, the error that the method returned, or the transport's error.
  [[nodiscard]] result<boost::json::value> Call(const endpoint& peer,
                                                const std::string& method,
                                                const boost::json::object& params,
                                                milliseconds timeout);

 private:
  http_client& http_;
};

}  // namespace quincebank
