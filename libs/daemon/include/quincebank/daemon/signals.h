#pragma once

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Makes SIGTERM, SIGINT and SIGHUP wait for `WaitForShutdown`, and ignores SIGPIPE. Call
/// before the first thread starts, since threads inherit the signal mask.
void BlockShutdownSignals();

/// \brief Blocks the calling thread until SIGTERM, SIGINT or SIGHUP comes.
/// \returns The number of the signal.
int WaitForShutdown();

/// \brief Like `WaitForShutdown`, but returns 0 after the duration.
int WaitForShutdown(milliseconds duration);

}  // namespace quincebank
