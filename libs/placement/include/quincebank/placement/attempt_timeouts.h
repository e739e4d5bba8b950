#pragma once

#include "quincebank/base/time.h"
#include "quincebank/catalog/service_catalog.h"
#include "quincebank/placement/choose_upstream.h"
#include "quincebank/placement/upstream_health.h"

namespace quincebank {

/// \brief How long to wait for the first bytes of an answer before another upstream is tried.
///
/// A silent upstream may be dead, and a client gives up after some time. Without another attempt
/// to follow, giving up early would only lose the answer.
///
/// Where a group's passes have become long, all requests wait for them: giving up would only send
/// the same request into the same overload once more.
///
/// \param left  time until the request's deadline.
/// \param may_follow  whether another attempt is allowed after this one.
/// \param pass_time  of the upstream's group; 0 if unknown or in no group.
[[nodiscard]] milliseconds FirstByteTimeout(const route_rule& route,
                                            milliseconds time_left,
                                            bool retry_allowed,
                                            nanoseconds pass_time = nanoseconds(0)) noexcept;

/// \brief How long a stream may pause before it goes on at another upstream.
[[nodiscard]] milliseconds StreamIdleTimeout(const route_rule& route,
                                             milliseconds time_left,
                                             bool retry_allowed) noexcept;

/// \brief When a client should come back whose request no upstream has run.
///
/// Clients come back once or twice, so a time that is too short costs them the answer, one that is
/// too long only a moment. A full service has room again when some of its requests have ended, one
/// whose upstreams are cold when the next window begins; one whose upstreams are gone or whose
/// group has lost a rank needs the time to form again.
///
/// \param route  route of the request.
/// \param last  outcome of the last attempt; `kFull` if there was none.
/// \param stall  time that a group without a rank takes to give up its work.
[[nodiscard]] milliseconds RetryAfter(const route_rule& route,
                                      placement_obstacle obstacle,
                                      attempt_outcome last,
                                      milliseconds stall_time) noexcept;

/// \brief When a client should come back to an entry that does not know the configuration yet.
///
/// The store answers within some hundred milliseconds, or it is down; an outage usually lasts for
/// about as long again as it has lasted.
///
/// \param age  time since the process started.
[[nodiscard]] milliseconds StartupRetryAfter(milliseconds age) noexcept;

}  // namespace quincebank
