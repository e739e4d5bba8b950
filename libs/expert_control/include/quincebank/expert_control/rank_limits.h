#pragma once

#include <cstdint>

#include "quincebank/base/time.h"

namespace quincebank {

// Largest numbers that a message of or about a rank may state. They are used as indexes, in sums
// and as durations, and no engine comes near them: a message beyond them is refused.
inline constexpr std::int64_t kMaxRank = 1'000'000;
inline constexpr std::int64_t kMaxExpert = (std::int64_t{1} << 20U) - 1;
inline constexpr std::int64_t kMaxRankRequests = 1'000'000;  ///< Running, or waiting.
inline constexpr std::int64_t kMaxRankTokens = 1'000'000'000'000;
inline constexpr std::int64_t kMaxRankPace = 1'000'000;  ///< In per mille of the configured speed.
inline constexpr milliseconds kMaxLoadPeriod{60'000};    ///< Between two loads.
inline constexpr milliseconds kMaxStatedTime{60'000};    ///< Pauses and ages of observations.
inline constexpr std::int64_t kMaxStatedLimit = 1'000'000'000;  ///< Thousandths of requests/s.

}  // namespace quincebank
