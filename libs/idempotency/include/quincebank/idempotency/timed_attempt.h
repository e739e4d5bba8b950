#pragma once

#include "quincebank/base/ids.h"
#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Draws an attempt id whose upper 48 bits are the wall time in milliseconds.
///
/// Agents bound their memory by this time: an unknown attempt that is older than the horizon is
/// reported as forgotten, never as "never seen". Ids without a time are rejected by the ledger.
[[nodiscard]] attempt_id NewTimedAttemptId(random_source& random, wall_time now) noexcept;

/// \brief Returns the time that `NewTimedAttemptId` put into the id.
[[nodiscard]] wall_time AttemptTime(attempt_id id) noexcept;

}  // namespace quincebank
