#pragma once

// IWYU pragma: begin_exports
#include "quincebank/rpc/rpc_client.h"
#include "quincebank/rpc/rpc_server.h"
// IWYU pragma: end_exports
