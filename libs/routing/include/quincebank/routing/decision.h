#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "quincebank/routing/table.h"

namespace quincebank {

/// \brief Why an upstream was among the candidates.
enum class candidate_source : std::uint8_t {
  kCache,         ///< Cache events say that it holds a part of the prompt.
  kConversation,  ///< Preferred by rendezvous hashing of the conversation's first blocks.
  kTemplate,      ///< Preferred by rendezvous hashing of the template's blocks.
  kSample,        ///< Drawn by the seed.
  kScan,          ///< Seen by a policy that looks at all upstreams.
};

/// \brief Why a candidate could not be chosen.
enum class exclusion : std::uint8_t {
  kNone,
  kTried,     ///< Already tried for this request.
  kColdFull,  ///< In cold start and at its limit.
  kFull,      ///< Running and waiting requests exceed what this priority may add to.
  kClosed,    ///< Its agent takes no new work.
  kDeadline,  ///< The estimated time to the first token exceeds the remaining deadline.
  kCold,      ///< A hedge, and it is in cold start or has sent no hint.
};

/// \brief Why the chosen candidate won.
enum class route_reason : std::uint8_t {
  kOnlyCandidate,  ///< Nothing else could be chosen.
  kCache,          ///< It has the lowest score and holds a part of the prompt.
  kAffinity,       ///< It has the lowest score and is preferred for the prompt.
  kLeastLoaded,    ///< It has the lowest score or load, without regard to the prompt.
  kTurn,           ///< Its turn in round robin.
};

[[nodiscard]] std::string_view ToString(candidate_source source) noexcept;
[[nodiscard]] std::string_view ToString(exclusion excluded) noexcept;
[[nodiscard]] std::string_view ToString(route_reason reason) noexcept;

/// \brief One upstream that a decision weighed.
struct route_candidate {
  std::uint32_t index = routing_table::kNone;
  std::uint32_t load = 0;           ///< Corrected load.
  std::uint32_t cached_blocks = 0;  ///< Prompt blocks expected in its prefix cache.
  candidate_source source = candidate_source::kScan;
  exclusion excluded = exclusion::kNone;
  std::int64_t score = 0;  ///< Estimated microseconds to the first token, with penalties.

  [[nodiscard]] bool operator==(const route_candidate&) const noexcept = default;
};

/// Most candidates that a decision keeps.
inline constexpr std::size_t kMaxCandidates = 16;

/// \brief Outcome of `Choose`. It has a fixed size and owns no memory.
struct route_decision {
  std::uint32_t index = routing_table::kNone;  ///< The chosen upstream.
  route_reason reason = route_reason::kOnlyCandidate;
  std::uint32_t considered = 0;  ///< Upstreams that were weighed; may exceed the kept candidates.
  std::uint32_t kept = 0;
  std::array<route_candidate, kMaxCandidates> kept_candidates{};

  [[nodiscard]] std::span<const route_candidate> candidates() const noexcept {
    return std::span(kept_candidates).first(kept);
  }
  [[nodiscard]] bool operator==(const route_decision&) const noexcept = default;
};

}  // namespace quincebank
