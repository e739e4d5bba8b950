#pragma once

#include "quincebank/base/time.h"
#include "quincebank/catalog/service_catalog.h"
#include "quincebank/placement/choose_upstream.h"
#include "quincebank/placement/upstream_health.h"

namespace quincebank {

/// \brief How long to wait for the first bytes of an answer before another upstream is tried.
///
/// An upstream that sends nothing may be down, and clients give up after some time. If no retry is
/// allowed, a timeout before the deadline would only lose the answer.
///
/// The timeout grows with the pass time of the group: if passes have become long, all requests wait
/// for them, and a retry would only add to the same overload.
///
/// \param time_left  time until the request's deadline.
/// \param retry_allowed  whether another attempt is allowed after this one.
/// \param pass_time  pass time of the upstream's group; 0 if unknown or without a group.
[[nodiscard]] milliseconds FirstByteTimeout(const route_rule& route,
                                            milliseconds time_left,
                                            bool retry_allowed,
                                            nanoseconds pass_time = nanoseconds(0)) noexcept;

/// \brief How long a stream may receive nothing before it is resumed at another upstream.
/// \param time_left  time until the request's deadline.
/// \param retry_allowed  whether another attempt is allowed after this one.
[[nodiscard]] milliseconds StreamIdleTimeout(const route_rule& route,
                                             milliseconds time_left,
                                             bool retry_allowed) noexcept;

/// \brief Time after which a client should retry a request that no upstream has run (Retry-After).
///
/// Clients retry once or twice, so a time that is too short costs them the answer, while one that
/// is too long only costs a moment. A full service has capacity again when some of its requests
/// have ended, and one with cold upstreams when the next window begins. A service whose upstreams
/// are unavailable, or whose group has lost a rank, needs the time in which the group forms again.
///
/// \param route  route of the request.
/// \param obstacle  why no upstream was chosen.
/// \param last  outcome of the last attempt; `kFull` if there was none.
/// \param stall_time  time from the loss of a rank until its group aborts its requests.
[[nodiscard]] milliseconds RetryAfter(const route_rule& route,
                                      placement_obstacle obstacle,
                                      attempt_outcome last,
                                      milliseconds stall_time) noexcept;

/// \brief Time after which a client should retry at an entry (instance of the load balancer) that
/// has not loaded its configuration yet.
///
/// The store answers within some hundred milliseconds unless it is down. An outage usually lasts
/// about as long again as it has lasted so far, so the time is proportional to the age.
///
/// \param age  time since the process started.
[[nodiscard]] milliseconds StartupRetryAfter(milliseconds age) noexcept;

}  // namespace quincebank
