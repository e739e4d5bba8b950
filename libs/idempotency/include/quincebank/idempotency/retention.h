#pragma once

#include <chrono>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief A keyed request can be retried for this long after its key was issued.
inline constexpr seconds kKeyRetention = std::chrono::hours(24);
/// \brief Largest assumed difference between the wall clocks of two hosts.
inline constexpr seconds kClockMargin = std::chrono::minutes(5);
/// \brief A claim outlives its key, so that no accepted key finds its claim gone.
inline constexpr seconds kClaimRetention = kKeyRetention + 2 * kClockMargin;
/// \brief An agent knows attempts for longer than any claim that names them lives.
inline constexpr seconds kAttemptHorizon = kClaimRetention + 2 * kClockMargin;

}  // namespace quincebank
