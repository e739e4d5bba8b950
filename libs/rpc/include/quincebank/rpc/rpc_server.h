#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/net/net_fwd.h"

namespace quincebank {

using rpc_method = std::function<result<boost::json::value>(const boost::json::object& params)>;

/// \brief JSON-RPC 2.0 methods of one process, by libjsonrpccpp.
///
/// Add all methods before the first call; calls may then come from several threads.
///
/// \example
///   rpc_server rpc;
///   rpc.Add("agent.status", [&](const auto&) { return agent.Status(); });
class rpc_server {
 public:
  rpc_server();
  ~rpc_server();
  rpc_server(const rpc_server&) = delete;
  rpc_server& operator=(const rpc_server&) = delete;

  void Add(std::string_view name, rpc_method method);
  /// \brief Answers one JSON-RPC message.
  [[nodiscard]] std::string Handle(const std::string& request);
  /// \brief Answers a `POST /rpc` exchange.
  void Serve(http_exchange& exchange);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace quincebank
