#pragma once

#include "quincebank/entry/entry_service.h"
#include "quincebank/messages/stream_locator.h"

namespace quincebank {

/// \brief Goes on with a streamed answer after the event that the locator names.
void ResumeStream(entry_shared& shared,
                  traffic_context& context,
                  http_exchange& exchange,
                  const stream_locator& from);

}  // namespace quincebank
