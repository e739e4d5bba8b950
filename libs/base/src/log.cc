#include "quincebank/base/log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace quincebank {

void InitLogging(bool verbose) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  configuration.set(el::Level::Debug, el::ConfigurationType::Enabled, verbose ? "true" : "false");
  el::Loggers::reconfigureAllLoggers(configuration);
}

void logger::Write(level severity, const std::string& line) const {
  switch (severity) {
    case level::kDebug:
      LOG(DEBUG) << "[" << part_ << "] " << line;
      break;
    case level::kInfo:
      LOG(INFO) << "[" << part_ << "] " << line;
      break;
    case level::kWarning:
      LOG(WARNING) << "[" << part_ << "] " << line;
      break;
    case level::kError:
      LOG(ERROR) << "[" << part_ << "] " << line;
      break;
  }
}

}  // namespace quincebank
