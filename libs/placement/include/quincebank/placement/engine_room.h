#pragma once

#include "quincebank/base/time.h"
#include "quincebank/catalog/service_catalog.h"

namespace quincebank {

/// \brief Requests that an engine should have at once, those in its queue included.
///
/// Beyond its batch slots a request waits until another one ends. The queue is kept so short that
/// the first token is expected within `budget`; under an overload this serves most requests in time
/// and turns the rest away at once, where a long queue would make all of them late.
///
/// \param pass_time  time of one pass of its group; 0 if unknown.
/// \param budget  time that a request may spend in the queue.
[[nodiscard]] int EngineRoom(const engine_profile& profile,
                             nanoseconds pass_time,
                             milliseconds budget) noexcept;

}  // namespace quincebank
