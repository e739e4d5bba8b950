#pragma once

#include <optional>
#include <string>

#include "quincebank/base/event_log.h"
#include "quincebank/gateway/gateway_settings.h"

namespace quincebank {

/// \brief Rereads the settings file of a running gateway.
class settings_watcher {
 public:
  /// \param running  settings that the process was started with.
  settings_watcher(std::string path, const gateway_settings& running, event_log& log);

  /// \param reload_signalled  SIGHUP was received: reloads even if the file has not changed.
  /// \returns The settings if they are to be applied. Values that cannot be used are logged and
  /// stay as they are in force.
  [[nodiscard]] std::optional<gateway_settings> Check(bool reload_signalled);

 private:
  const std::string path_;
  event_log& log_;
  gateway_settings running_;
  std::string last_text_;
  std::string rejected_text_;  ///< Content whose errors were logged already.
};

}  // namespace quincebank
