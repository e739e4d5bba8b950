#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "quincebank/base/random.h"
#include "quincebank/base/time.h"
#include "quincebank/placement/placement_policy.h"
#include "quincebank/placement/work_estimate.h"

namespace quincebank {

/// \brief Load and health of one upstream, as input of `ChooseUpstream`. An entry is one instance
/// of the load balancer.
struct placement_candidate {
  int in_flight = 0;            ///< Requests that this entry has sent and that have not ended.
  std::optional<int> reported;  ///< Requests of other entries, as last reported by the engine.
  int slots = 1;                ///< Requests that it runs concurrently.
  int limit = 1;                ///< Maximum of requests, running and queued, from all entries.
  double failure_share = 0;     ///< Share of recent attempts that failed, 0 to 1.
  bool ejected = false;         ///< Used only if no other upstream is usable.
  time_point ejected_until{};   ///< End of the last ejection.
  bool probing = false;         ///< Back from an ejection; takes one request at a time.
  bool superseded = false;      ///< A newer registration has the same address.
  /// Its agent has not reported a load yet, so it may be another instance, or full. Used only if no
  /// other upstream has reported.
  bool unconfirmed = false;
  bool forming = false;       ///< Its group is not open yet, but expected to open.
  bool rate_limited = false;  ///< A request would exceed this entry's share of the cold limit.
  /// When the next request may be sent, if rate-limited or forming.
  time_point available_at{};
  bool same_domain = false;  ///< In the same failure domain as this entry.
  /// Load from which the current load is queried before a request is sent; 0: half of the slots.
  int query_from = 0;
  /// \name Only for policies other than `placement_policy::kCount`.
  /// @{
  work_amount outstanding;     ///< Work of its requests, from all entries.
  double expected_memory = 0;  ///< Tokens that these requests will need in its memory.
  double speed = 1;            ///< 1 is the configured speed, or the mean one.
  /// @}
};

/// \brief Why no upstream was chosen.
enum class placement_obstacle : std::uint8_t {
  kNone,
  kNoUpstream,   ///< No upstream may be used.
  kFull,         ///< All upstreams are at their limits.
  kRateLimited,  ///< Every upstream below its limit is rate-limited while cold.
  /// The groups of all upstreams are forming, or none of the upstreams is confirmed after a start.
  kForming,
};

/// \brief Returns the reason as it appears in logs.
[[nodiscard]] std::string_view ToString(placement_obstacle obstacle) noexcept;

/// Maximum of engines, besides the chosen one, whose current loads are queried.
inline constexpr std::size_t kMaxAlternatives = 3;

/// \brief Result of `ChooseUpstream`. Upstreams are indexes into its candidates.
struct placement {
  std::optional<std::size_t> chosen;
  placement_obstacle obstacle = placement_obstacle::kNone;
  /// The chosen one is ejected, being probed or superseded; no other one was usable.
  bool is_fallback = false;
  bool is_unconfirmed = false;  ///< None of the usable upstreams is confirmed.
  /// Some upstreams have been replaced or belong to a group that is forming, so those that are not
  /// confirmed have probably ended too.
  bool is_restarting = false;
  /// If none is chosen: no upstream can take the request earlier.
  time_point available_at{};
  /// Whether the current loads of the chosen engine and the alternatives should be queried before
  /// the request is sent.
  bool query_loads = false;
  std::array<std::size_t, kMaxAlternatives> alternatives{};  ///< Other sampled engines.
  std::size_t alternative_count = 0;
};

/// \brief Chooses the upstream with the lowest cost for a request, by default that with the
/// shortest expected wait. The costs of the policies are described at `PlacementCost`.
///
/// The expected wait grows with the requests in flight per slot and with the share of failed
/// attempts, since each failure costs a retry. Ejected upstreams are used only if there is no other
/// one. Ties are broken randomly.
///
/// A superseded registration is chosen only if no other upstream may become available, because it
/// refuses requests or stalls. This occurs after a complete power loss: the new upstreams are cold
/// and take few requests while the old registrations have not expired yet.
///
/// If all usable upstreams report their loads, the better of two random ones is chosen (power of
/// two choices): all entries see the same loads, some hundred milliseconds old, and would otherwise
/// send to the same engine. Policies other than the default one do so without reports too: an
/// upstream that is faster than all others would otherwise get the next request of every entry.
///
/// After a loss of power all entries start at once, know no loads, and hold registrations of
/// upstreams that have ended. An upstream is therefore confirmed by the first load that its agent
/// reports; if none is, the loads of a random sample are queried. A group that is forming refuses
/// requests, so its upstreams are not chosen.
///
/// If the chosen engine is busy, `query_loads` is set. Between two load reports a busy engine can
/// get requests from several entries that do not know of each other; the last of them would wait
/// for a whole answer although other engines have free slots.
[[nodiscard]] placement ChooseUpstream(std::span<const placement_candidate> candidates,
                                       random_source& random,
                                       const placement_request& request = {}) noexcept;

}  // namespace quincebank
