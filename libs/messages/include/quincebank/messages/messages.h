#pragma once

// IWYU pragma: begin_exports
#include "quincebank/messages/agent_load.h"
#include "quincebank/messages/attempt_event.h"
#include "quincebank/messages/header_names.h"
#include "quincebank/messages/stream_locator.h"
// IWYU pragma: end_exports
