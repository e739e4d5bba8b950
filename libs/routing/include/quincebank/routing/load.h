#pragma once

#include <cstdint>
#include <span>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Live numbers of one upstream at the moment of a decision.
///
/// The caller keeps them as atomics and copies them once per decision, so that the decision and
/// its record see the same values. It may take own requests that have ended since the hint off
/// `in_flight`.
struct upstream_load {
  std::uint32_t in_flight = 0;  ///< From the last hint: running requests of all entries.
  std::uint32_t queued = 0;     ///< From the last hint: waiting at the agent.
  std::uint32_t limit = 0;      ///< From the last hint: most running requests; 0 if no hint came.
  bool cold = false;            ///< From the last hint: in cold start.
  /// From the last hint: the agent takes no new work. Without it a drained upstream looks idle and
  /// attracts requests. The caller resets it when the upstream returns.
  bool closed = false;
  milliseconds age{0};           ///< Age of the hint.
  std::uint32_t sent_since = 0;  ///< Own requests sent after the hint and not yet answered.
};

/// \brief Loads of a snapshot's upstreams, in the order of the snapshot.
using load_view = std::span<const upstream_load>;

/// \brief Returns the requests that an upstream is expected to hold now.
///
/// Only requests of this entry can be added: entries do not talk to each other.
[[nodiscard]] constexpr std::uint32_t CorrectedLoad(const upstream_load& load) noexcept {
  return load.in_flight + load.queued + load.sent_since;
}

}  // namespace quincebank
