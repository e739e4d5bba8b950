#pragma once

#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/event_log.h"

namespace quincebank {

/// \brief Settings of a process, and what of their file could not be used.
template <class Settings>
struct parsed_settings {
  Settings settings;
  std::vector<error> unusable;  ///< Each with the path, or the line and column, of the value.
};

/// \brief Writes a line for each value of the settings file that cannot be used.
void LogUnusableSettings(const std::vector<error>& unusable, event_log& log);

}  // namespace quincebank
