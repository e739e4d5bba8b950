#pragma once

#include <cstddef>

#include "quincebank/base/json_reader.h"
#include "quincebank/net/http_server.h"

namespace quincebank {

/// \brief What the host grants the process.
struct process_limits {
  std::size_t memory_mb = 0;    ///< In MiB; 0 if unknown.
  std::size_t descriptors = 0;  ///< Open files and sockets; 0 if unknown.
};

/// \brief Reads the optional object `limits` of a settings file.
[[nodiscard]] process_limits ReadProcessLimits(json_reader& reader);

/// \brief Sets the memory budget of this process, and has the allocator return large blocks to the
/// system at once. Without a known limit the budget keeps its default.
void ApplyMemoryLimit(const process_limits& limits);

/// \brief Returns how many connections of clients the process may hold, over all its servers. Takes
/// the system's limit on descriptors if that of the host is unknown.
[[nodiscard]] std::size_t MaxConnections(const process_limits& limits);

/// \brief Returns HTTP limits for a server that is the only one of its process.
/// \param body_copies  how often the process holds the body of a request.
[[nodiscard]] http_limits OnlyServerLimits(const process_limits& limits, std::size_t body_copies);

/// \brief Returns the size of the socket buffers of client connections; 0 leaves it to the system.
[[nodiscard]] std::size_t SocketBufferBytes(const process_limits& limits);

}  // namespace quincebank
