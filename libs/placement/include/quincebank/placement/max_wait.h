#pragma once

#include "quincebank/base/time.h"
#include "quincebank/catalog/service_catalog.h"
#include "quincebank/placement/choose_upstream.h"

namespace quincebank {

/// \brief Why a request has found no capacity, and when there may be some.
struct capacity_outlook {
  placement_obstacle obstacle = placement_obstacle::kFull;
  time_point available_at{};   ///< No upstream can take the request earlier.
  milliseconds queue_wait{0};  ///< Expected time in the wait queue; 0 if unknown.
};

/// \brief Returns how long a request may wait for an upstream with capacity.
///
/// A request waits for a group that is forming only while it can be in time. Requests that are late
/// would take the slots from new ones at the moment at which the group opens; clients that are
/// rejected return spread over a longer time.
///
/// A request is rejected immediately if waiting is pointless, so that the client retries when there
/// may be capacity, instead of being rejected later. There are three cases: no upstream may be used
/// (its failure domain is evacuated, or all have left); all upstreams are cold, and their next
/// windows begin later than the request can wait; the wait queue advances too slowly.
///
/// \param time_left  time until the request's deadline.
/// \returns 0 if the request is to be rejected immediately.
[[nodiscard]] milliseconds MaxWait(const route_rule& route,
                                   const capacity_outlook& outlook,
                                   milliseconds time_left,
                                   time_point now) noexcept;

}  // namespace quincebank
