#pragma once

#include <memory>

#include "quincebank/base/error.h"
#include "quincebank/net/endpoint.h"
#include "quincebank/net/net_fwd.h"
#include "quincebank/standins/standin.h"

namespace quincebank {

/// \brief Passes TCP connections on to one target, with switchable network faults.
///
/// `PUT /control` on the control server takes `{"silence": true}`: connections that are open now
/// pass nothing on any more, though both ends keep them, while new ones work; `{"cut": true}`
/// closes the open ones; `{"partition": true}` lets new ones pass nothing either, and
/// `{"partition_from": ["IP", ...]}` does so for these callers only.
///
/// \returns The stand-in whose `Handle` serves the control calls, or an error if the address can't
/// be
///          bound.
[[nodiscard]] result<std::unique_ptr<standin>> MakeRelay(fiber_thread& thread,
                                                         const endpoint& listen,
                                                         const endpoint& target);

}  // namespace quincebank
