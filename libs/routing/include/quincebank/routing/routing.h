#pragma once

// IWYU pragma: begin_exports
#include "quincebank/routing/choose.h"
#include "quincebank/routing/decision.h"
#include "quincebank/routing/entries.h"
#include "quincebank/routing/load.h"
#include "quincebank/routing/prefix.h"
#include "quincebank/routing/prefix_index.h"
#include "quincebank/routing/replay.h"
#include "quincebank/routing/request.h"
#include "quincebank/routing/routing_fwd.h"
#include "quincebank/routing/settings.h"
#include "quincebank/routing/table.h"
// IWYU pragma: end_exports
