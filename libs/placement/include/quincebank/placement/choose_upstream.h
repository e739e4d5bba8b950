#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "quincebank/base/random.h"
#include "quincebank/base/time.h"

namespace quincebank {

/// \brief What the choice reads of one upstream.
struct placement_candidate {
  int in_flight = 0;            ///< Requests of this entry.
  std::optional<int> reported;  ///< Requests of other entries, as the engine last told.
  int slots = 1;                ///< Requests that it runs at once.
  int limit = 1;                ///< Most requests in flight, those in its queue included.
  double failure_share = 0;
  bool ejected = false;
  time_point ejected_until{};
  bool probing = false;
  bool superseded = false;    ///< A newer registration has its address.
  bool rate_limited = false;  ///< A further request would exceed what it takes when cold.
  time_point available_at{};  ///< When it takes the next one, if it is rate-limited.
  bool same_domain = false;   ///< In the failure domain of this entry.
};

enum class placement_obstacle : std::uint8_t {
  kNone,
  kNoUpstream,   ///< There is none that may be used.
  kFull,         ///< All are at their limits.
  kRateLimited,  ///< All with room have got as much as a cold upstream may get.
};

/// Engines that are asked for their loads beside the chosen one.
inline constexpr std::size_t kMaxAlternatives = 3;

struct placement {
  std::optional<std::size_t> chosen;
  placement_obstacle obstacle = placement_obstacle::kNone;
  bool is_fallback = false;   ///< The chosen one rests; there was no better one.
  time_point available_at{};  ///< If none is chosen: none takes the request before.
  /// Whether it is worth asking the chosen engine and its rivals for their present loads before the
  /// request is sent.
  bool query_loads = false;
  std::array<std::size_t, kMaxAlternatives> alternatives{};  ///< Drawn beside the chosen one.
  std::size_t alternative_count = 0;
};

/// \brief Chooses the upstream with the shortest expected wait.
///
/// The wait grows with the requests in flight for each slot, and with the share of attempts that
/// fail, since each failure costs a repeat. Upstreams that rest are used only if there is no
/// other one. Draws among equals.
///
/// Answers a return from a loss of all power: the new upstreams are cold and take few requests, and
/// the old registrations have not lapsed. A superseded one is chosen only if there is nothing else
/// to wait for, since what is sent there is refused or stalls.
///
/// Where the loads of engines are told, it is the better of two that are drawn: all entries see the
/// same figures, some hundred milliseconds old, and would otherwise send to the same engine.
///
/// Answers a burst in which engines are nearly full: in the time that a load takes to be told, an
/// engine gets several requests of entries that do not know of each other, and those that come last
/// wait for a whole answer although other engines have free slots. Some that were drawn are then
/// to be asked.
[[nodiscard]] placement ChooseUpstream(std::span<const placement_candidate> candidates,
                                       random_source& random) noexcept;

}  // namespace quincebank
