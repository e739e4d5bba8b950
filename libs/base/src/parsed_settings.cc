#include "quincebank/base/parsed_settings.h"

namespace quincebank {

void LogUnusableSettings(const std::vector<error>& unusable, event_log& log) {
  for (const error& value : unusable)
    log.Write(event_line("settings.unusable").Add("at", value.path).Add("reason", value.message));
}

}  // namespace quincebank
