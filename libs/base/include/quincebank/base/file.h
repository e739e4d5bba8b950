#pragma once

#include <string>

#include "quincebank/base/error.h"

namespace quincebank {

/// \brief Reads a whole file.
/// \returns Its bytes, or `kNotFound` if it can't be read.
[[nodiscard]] result<std::string> ReadFile(const std::string& path);

}  // namespace quincebank
