#include "quincebank/daemon/daemon_main.h"

#include <iostream>

#include "quincebank/base/file.h"
#include "quincebank/base/json_reader.h"
#include "quincebank/base/log.h"
#include "quincebank/daemon/daemon_options.h"
#include "quincebank/daemon/options.h"
#include "quincebank/daemon/signals.h"

namespace quincebank {

int DaemonMain(int argc, char** argv, const daemon_program& program) {
  daemon_options options;
  options.settings = program.default_settings;
  const auto exit_code = ParseDaemonOptions(argc, argv, options);
  if (exit_code)
    return *exit_code;
  InitLogging(options.verbose);
  BlockShutdownSignals();
  const auto text = ReadFile(options.settings);
  const auto unusable =
      text ? program.parse(text.value()) : result<std::vector<error>>(text.error());
  if (!unusable) {
    std::cerr << options.settings << ": " << Describe(unusable.error()) << "\n";
    return kExitUsage;
  }
  if (options.check && !unusable.value().empty()) {
    std::cerr << options.settings << ": " << Describe(JoinErrors(unusable.value())) << "\n";
    return kExitUsage;
  }
  if (options.check) {
    std::cout << options.settings << ": valid\n";
    return kExitOk;
  }
  return program.run();
}

}  // namespace quincebank
