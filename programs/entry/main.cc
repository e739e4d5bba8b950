// quincebank-entry: takes requests of callers and forwards them to upstreams.

#include <iostream>

#include "quincebank/base/base.h"
#include "quincebank/daemon/daemon_options.h"
#include "quincebank/daemon/options.h"
#include "quincebank/daemon/signals.h"
#include "quincebank/entry/entry_service.h"
#include "quincebank/node/node_settings.h"

namespace quincebank {
namespace {

constexpr logger kLog{"entry"};

int Run(const daemon_options& options) {
  const auto text = ReadFile(options.settings);
  const auto settings =
      text ? ParseEntrySettings(text.value()) : result<entry_settings>(text.error());
  if (!settings) {
    std::cerr << options.settings << ": " << Describe(settings.error()) << "\n";
    return kExitUsage;
  }
  if (options.check) {
    std::cout << options.settings << ": valid\n";
    return kExitOk;
  }
  fiber_thread control("control");
  entry_service entry(settings.value(), control, random_source::FromSystem().Next());
  const auto started = entry.Start();
  if (!started) {
    kLog.Error(started.error().message);
    return kExitFailure;
  }
  WaitForShutdown();
  entry.Shutdown();
  return kExitOk;
}

}  // namespace
}  // namespace quincebank

int main(int argc, char** argv) {
  using namespace quincebank;
  daemon_options options;
  const auto exit_code = ParseDaemonOptions(argc, argv, options);
  if (exit_code)
    return *exit_code;
  InitLogging(options.verbose);
  BlockShutdownSignals();
  return Run(options);
}
