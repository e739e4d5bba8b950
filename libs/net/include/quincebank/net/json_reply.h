#pragma once

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "quincebank/net/http_server.h"

namespace quincebank {

/// \brief Answers an exchange with a JSON body.
inline void ReplyJson(http_exchange& exchange, int status, const boost::json::value& body) {
  exchange.Respond({status, {{"Content-Type", "application/json"}}, boost::json::serialize(body)});
}

}  // namespace quincebank
