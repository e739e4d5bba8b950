#include "quincebank/rpc/impl/json_rpc_call.h"

#include <json/json.h>
#include <jsonrpccpp/client.h>

#include <exception>
#include <sstream>

namespace quincebank {
namespace impl {
namespace {

class connector final : public jsonrpc::IClientConnector {
 public:
  explicit connector(const json_rpc_send& send) : send_(send) {}

  void SendRPCMessage(const std::string& message,
                      std::string& result) throw(jsonrpc::JsonRpcException) override {
    if (!send_(message, result))
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "no answer");
  }

 private:
  const json_rpc_send& send_;
};

std::string Write(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

}  // namespace

json_rpc_answer CallJsonRpc(const std::string& method,
                            const std::string& params,
                            const json_rpc_send& send) {
  json_rpc_answer answer;
  Json::Value input;
  std::istringstream(params) >> input;
  connector transport(send);
  jsonrpc::Client client(transport, jsonrpc::JSONRPC_CLIENT_V2);
  try {
    answer.result = Write(client.CallMethod(method, input));
    answer.ok = true;
  } catch (const jsonrpc::JsonRpcException& failure) {
    answer.message = failure.GetMessage();
    answer.data = Write(failure.GetData());
  } catch (const std::exception& failure) {
    // The JSON library throws for an answer that is nested too deeply.
    answer.message = std::string("unreadable answer: ") + failure.what();
    answer.data = "null";
  }
  return answer;
}

}  // namespace impl
}  // namespace quincebank
