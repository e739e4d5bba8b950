#include "quincebank/rpc/rpc_server.h"

#include <json/json.h>
#include <jsonrpccpp/server.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <boost/json/serialize.hpp>
#include <map>
#include <sstream>
#include <utility>

#include "quincebank/base/json_reader.h"
#include "quincebank/base/log.h"
#include "quincebank/net/http_server.h"
#include "quincebank/rpc/impl/rpc_error.h"

namespace quincebank {
namespace {

// In the range that JSON-RPC 2.0 leaves to implementations, outside the codes that libjsonrpccpp
// takes for itself.
constexpr int kServerError = -32050;
constexpr const char* kUnreadable =
    R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"unreadable request"}})";
constexpr logger kLog{"rpc"};

std::string WriteJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

Json::Value ReadJson(const std::string& text) {
  Json::Value value;
  std::istringstream(text) >> value;
  return value;
}

}  // namespace

class rpc_server::impl final : public jsonrpc::IProcedureInvokationHandler {
 public:
  impl()
      : protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2,
                                                                        *this)) {}

  void Add(std::string_view name, rpc_method method) {
    const std::string text(name);
    protocol_->AddProcedure(
        jsonrpc::Procedure(text, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
    methods_[text] = std::move(method);
  }

  std::string Handle(const std::string& request) {
    std::string response;
    try {
      protocol_->HandleRequest(request, response);
    } catch (const std::exception& failure) {
      // The JSON library throws for a message that is nested too deeply.
      kLog.Warning("unreadable request: ", failure.what());
      response = kUnreadable;
    }
    return response;
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure,
                        const Json::Value& input,
                        Json::Value& output) override {
    const auto params = ParseJson(input.isNull() ? "{}" : WriteJson(input));
    if (!params || !params.value().is_object())
      throw jsonrpc::JsonRpcException(kServerError, "params must be an object");
    const auto answer = methods_.at(procedure.GetProcedureName())(params.value().get_object());
    if (!answer) {
      throw jsonrpc::JsonRpcException(kServerError, answer.error().message,
                                      ReadJson(quincebank::impl::RpcErrorData(answer.error())));
    }
    output = ReadJson(boost::json::serialize(answer.value()));
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                              const Json::Value& /*input*/) override {}

 private:
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
  std::map<std::string, rpc_method, std::less<>> methods_;
};

rpc_server::rpc_server() : impl_(std::make_unique<impl>()) {}

rpc_server::~rpc_server() = default;

void rpc_server::Add(std::string_view name, rpc_method method) {
  impl_->Add(name, std::move(method));
}

std::string rpc_server::Handle(const std::string& request) {
  return impl_->Handle(request);
}

void rpc_server::Serve(http_exchange& exchange) {
  exchange.Respond({200, {{"Content-Type", "application/json"}}, Handle(exchange.request().body)});
}

}  // namespace quincebank
