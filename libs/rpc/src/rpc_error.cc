#include "quincebank/rpc/impl/rpc_error.h"

#include <boost/json/serialize.hpp>

#include "quincebank/base/json_reader.h"

namespace quincebank::impl {

std::string RpcErrorData(const error& failure) {
  return boost::json::serialize(boost::json::object{{"code", ToString(failure.code)},
                                                    {"message", failure.message},
                                                    {"verdict", ToString(failure.outcome)},
                                                    {"path", failure.path}});
}

error ErrorFromRpc(const std::string& message, const std::string& data) {
  error failure = MakeError(error_code::kInternal, message, verdict::kMayHaveRun);
  const auto parsed = ParseJson(data);
  if (!parsed || !parsed.value().is_object())
    return failure;
  std::vector<error> ignored;
  json_reader reader(parsed.value(), "", ignored);
  failure.code = ParseErrorCode(reader.String("code", "")).value_or(error_code::kInternal);
  failure.outcome = ParseVerdict(reader.String("verdict", "")).value_or(verdict::kMayHaveRun);
  // libjsonrpccpp puts its own text before the message of a server error.
  failure.message = reader.String("message", message);
  failure.path = reader.String("path", "");
  return failure;
}

}  // namespace quincebank::impl
