#pragma once

#include "quincebank/base/time.h"
#include "quincebank/catalog/service_catalog.h"
#include "quincebank/placement/choose_upstream.h"
#include "quincebank/placement/upstream_evidence.h"

namespace quincebank {

/// \brief How long to wait for the first bytes of an answer before another upstream is tried.
///
/// A silent upstream may be dead, and a client gives up after some time. Without another attempt
/// to follow, giving up early would only lose the answer.
///
/// \param left  time until the request's deadline.
/// \param may_follow  whether another attempt is allowed after this one.
[[nodiscard]] milliseconds FirstBytePatience(const route_rule& route,
                                             milliseconds left,
                                             bool may_follow) noexcept;

/// \brief How long a stream may pause before it goes on at another upstream.
[[nodiscard]] milliseconds GapPatience(const route_rule& route,
                                       milliseconds left,
                                       bool may_follow) noexcept;

/// \brief When a client should come back whose request no upstream has run.
///
/// A full service has room again soon; one whose upstreams are gone or whose group has lost a rank
/// needs the time to form again.
///
/// \param last  outcome of the last attempt; `kFull` if there was none.
/// \param stall  time that a group without a rank takes to give up its work.
[[nodiscard]] milliseconds RetryAfter(placement_obstacle obstacle,
                                      attempt_outcome last,
                                      milliseconds stall) noexcept;

}  // namespace quincebank
