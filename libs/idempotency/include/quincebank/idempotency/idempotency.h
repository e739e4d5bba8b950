#pragma once

/// \file
/// \brief Claims, attempts and verdicts of requests that must not be repeated.

// IWYU pragma: begin_exports
#include "quincebank/idempotency/attempt_archive.h"
#include "quincebank/idempotency/attempt_ledger.h"
#include "quincebank/idempotency/attempt_state.h"
#include "quincebank/idempotency/claim.h"
#include "quincebank/idempotency/claim_bucket.h"
#include "quincebank/idempotency/claim_floor.h"
#include "quincebank/idempotency/claim_sweeper.h"
#include "quincebank/idempotency/claim_writer.h"
#include "quincebank/idempotency/keyed_request.h"
#include "quincebank/idempotency/request_action.h"
#include "quincebank/idempotency/request_key.h"
#include "quincebank/idempotency/retention.h"
#include "quincebank/idempotency/timed_attempt.h"
// IWYU pragma: end_exports
