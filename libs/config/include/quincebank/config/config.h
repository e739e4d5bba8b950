#pragma once

// IWYU pragma: begin_exports
#include "quincebank/config/apply_flow.h"
#include "quincebank/config/document.h"
#include "quincebank/config/effective_config.h"
#include "quincebank/config/fwd.h"
#include "quincebank/config/holder.h"
#include "quincebank/config/plan.h"
#include "quincebank/config/root.h"
// IWYU pragma: end_exports
