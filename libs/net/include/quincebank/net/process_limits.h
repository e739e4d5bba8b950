#pragma once

#include <cstddef>

#include "quincebank/base/json_reader.h"

namespace quincebank {

/// \brief What the host grants the process.
struct process_limits {
  std::size_t memory_mb = 0;    ///< In MiB; 0 if unknown.
  std::size_t descriptors = 0;  ///< Open files and sockets; 0 if unknown.
};

/// \brief Reads the optional object `limits` of a settings file.
[[nodiscard]] process_limits ReadProcessLimits(json_reader& reader);

}  // namespace quincebank
