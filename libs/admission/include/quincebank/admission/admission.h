#pragma once

// IWYU pragma: begin_exports
#include "quincebank/admission/adaptive_throttle.h"
#include "quincebank/admission/gate.h"
#include "quincebank/admission/hedge_policy.h"
#include "quincebank/admission/request.h"
#include "quincebank/admission/retry_budget.h"
#include "quincebank/admission/settings.h"
// IWYU pragma: end_exports
