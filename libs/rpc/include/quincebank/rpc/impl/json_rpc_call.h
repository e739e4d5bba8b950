#pragma once

// This header is also compiled as C++14: libjsonrpccpp's client does not compile as C++17 or later.

#include <functional>
#include <string>

namespace quincebank {
namespace impl {

struct json_rpc_answer {
  bool ok = false;
  std::string result;   ///< JSON text.
  std::string message;  ///< Of the error object.
  std::string data;     ///< JSON text of the error object's data.
};

/// Sends one message and reads its answer. Returns false if no answer came.
using json_rpc_send = std::function<bool(const std::string& request, std::string& response)>;

json_rpc_answer CallJsonRpc(const std::string& method,
                            const std::string& params,
                            const json_rpc_send& send);

}  // namespace impl
}  // namespace quincebank
