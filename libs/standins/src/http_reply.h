#pragma once

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <string>

#include "quincebank/base/json_reader.h"
#include "quincebank/net/http_server.h"
#include "quincebank/net/json_reply.h"

namespace quincebank {

inline void ReplyError(http_exchange& exchange, int status, const std::string& message) {
  ReplyJson(exchange, status, boost::json::object{{"error", message}});
}

/// \brief Reads the body of `PUT /control`; answers 400 itself if it is wrong.
template <typename Read>
void ReadControl(http_exchange& exchange, const Read& read) {
  const auto parsed = ParseJson(exchange.request().body);
  if (!parsed) {
    ReplyError(exchange, 400, Describe(parsed.error()));
    return;
  }
  std::vector<error> errors;
  json_reader reader(parsed.value(), "", errors);
  read(reader);
  reader.Finish();
  if (!errors.empty()) {
    ReplyError(exchange, 400, Describe(JoinErrors(errors)));
    return;
  }
  ReplyJson(exchange, 200, boost::json::object{{"ok", true}});
}

}  // namespace quincebank
