#pragma once

#include <cstdint>

namespace quincebank {

/// \brief Returns the number of calls of `operator new` in this program.
[[nodiscard]] std::uint64_t AllocationCount() noexcept;

}  // namespace quincebank
