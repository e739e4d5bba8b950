// quincebank-agent: guards one upstream on its host.

#include <iostream>

#include "quincebank/agent/agent_node.h"
#include "quincebank/base/base.h"
#include "quincebank/daemon/daemon_options.h"
#include "quincebank/daemon/options.h"
#include "quincebank/daemon/signals.h"
#include "quincebank/node/node_settings.h"

namespace quincebank {
namespace {

constexpr logger kLog{"agent"};

int Run(const daemon_options& options) {
  const auto text = ReadFile(options.settings);
  const auto settings =
      text ? ParseAgentSettings(text.value()) : result<agent_settings>(text.error());
  if (!settings) {
    std::cerr << options.settings << ": " << Describe(settings.error()) << "\n";
    return kExitUsage;
  }
  if (options.check) {
    std::cout << options.settings << ": valid\n";
    return kExitOk;
  }
  random_source random = random_source::FromSystem();
  fiber_thread control("control");
  agent_node agent(settings.value(), control, NewIncarnation(random));
  const auto started = agent.Start();
  if (!started) {
    kLog.Error(started.error().message);
    return kExitFailure;
  }
  WaitForShutdown();
  agent.Shutdown();
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
