#pragma once

#include <chrono>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Largest assumed difference between the wall clocks of two hosts.
inline constexpr seconds kClockMargin = std::chrono::minutes(5);
/// \brief Default of a service's `claim_retention_ms`: how long its keys can be retried.
inline constexpr seconds kKeyRetention = std::chrono::hours(24);
/// \brief Shortest retention that a service may have.
///
/// No claim of a key younger than this is ever erased, so such a key is accepted without a look at
/// the claim floor.
inline constexpr seconds kMinKeyRetention = std::chrono::hours(1);
/// \brief Longest retention, so that work put off over a weekend keeps its claim.
inline constexpr seconds kMaxKeyRetention = std::chrono::hours(24 * 7);

/// \brief A claim outlives its key, so that no accepted key finds its claim gone.
[[nodiscard]] constexpr seconds ClaimLifetime(seconds key_retention) noexcept {
  return key_retention + 2 * kClockMargin;
}
/// \brief An agent knows attempts for longer than a claim that names them lives.
[[nodiscard]] constexpr seconds AttemptHorizon(seconds key_retention) noexcept {
  return ClaimLifetime(key_retention) + 2 * kClockMargin;
}

inline constexpr seconds kClaimRetention = ClaimLifetime(kKeyRetention);
inline constexpr seconds kAttemptHorizon = AttemptHorizon(kKeyRetention);

/// \brief A claim whose attempt is older than this may be reduced to "used".
///
/// Agents hold answers for 1 h after the end of an attempt, so a retry after this time could learn
/// no more than that the request ran.
inline constexpr seconds kReduceAge = std::chrono::minutes(90);

}  // namespace quincebank
