#pragma once

// IWYU pragma: begin_exports
#include "quincebank/net/endpoint.h"
#include "quincebank/net/fiber_thread.h"
#include "quincebank/net/http_client.h"
#include "quincebank/net/http_message.h"
#include "quincebank/net/http_server.h"
#include "quincebank/net/run_on.h"
#include "quincebank/net/sse.h"
// IWYU pragma: end_exports
