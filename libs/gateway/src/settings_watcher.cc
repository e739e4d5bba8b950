#include "quincebank/gateway/settings_watcher.h"

#include <utility>

#include "quincebank/base/file.h"

namespace quincebank {

settings_watcher::settings_watcher(std::string path,
                                   const gateway_settings& running,
                                   event_log& log)
    : path_(std::move(path)), log_(log), running_(running) {
  const auto text = ReadFile(path_);
  if (text)
    last_text_ = text.value();
}

std::optional<gateway_settings> settings_watcher::Check(bool reload_signalled) {
  const auto text = ReadFile(path_);
  if (text && text.value() == last_text_ && !reload_signalled)
    return std::nullopt;
  const auto parsed = text ? ParseGatewaySettings(text.value(), &running_)
                           : result<parsed_settings<gateway_settings>>(text.error());
  if (parsed) {
    last_text_ = text.value();
    running_.rules = parsed.value().settings.rules;
    LogUnusableSettings(parsed.value().unusable, log_);
    return parsed.value().settings;
  }
  if (!reload_signalled && text && text.value() == rejected_text_)
    return std::nullopt;
  rejected_text_ = text ? text.value() : std::string();
  log_.Write(
      event_line("settings.refused").Add("path", path_).Add("reason", Describe(parsed.error())));
  return std::nullopt;
}

}  // namespace quincebank
