#pragma once

#include "quincebank/base/time.h"
#include "quincebank/catalog/service_catalog.h"
#include "quincebank/placement/choose_upstream.h"

namespace quincebank {

/// \brief What is known of the room for a request that has found none.
struct capacity_outlook {
  placement_obstacle obstacle = placement_obstacle::kFull;
  time_point available_at{};   ///< No upstream takes the request before.
  milliseconds queue_wait{0};  ///< Expected until its turn comes; 0 if unknown.
};

/// \brief How long a request waits for room.
///
/// Answers three loads in which a wait is in vain: no upstream may be used (the failure domain is
/// evacuated, all have left), all are cold and the next windows open later than the request can
/// wait, and a line that advances too slowly to reach it in time. The client is then told at once
/// and comes back when there may be room; held, it would hear the same later.
///
/// \param left  time until the request's deadline.
/// \returns 0 if the request is to be rejected at once.
[[nodiscard]] milliseconds MaxWait(const route_rule& route,
                                   const capacity_outlook& outlook,
                                   milliseconds time_left,
                                   time_point now) noexcept;

}  // namespace quincebank
