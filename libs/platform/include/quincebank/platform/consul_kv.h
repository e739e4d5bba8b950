#pragma once

#include <memory>

#include "quincebank/net/endpoint.h"
#include "quincebank/net/net_fwd.h"
#include "quincebank/platform/kv_store.h"

namespace quincebank {

/// \brief Makes a client that speaks the Consul KV HTTP API.
///
/// \param timeout  for each call; a watch waits its own time on top.
[[nodiscard]] std::unique_ptr<kv_store> MakeConsulKv(http_client& http,
                                                     endpoint service,
                                                     milliseconds timeout);

}  // namespace quincebank
