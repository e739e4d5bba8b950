// quincebank-agent: guards one upstream on its host.

#include "quincebank/agent/agent_node.h"
#include "quincebank/base/base.h"
#include "quincebank/daemon/daemon_main.h"
#include "quincebank/daemon/options.h"
#include "quincebank/daemon/signals.h"
#include "quincebank/net/process_limits.h"

namespace quincebank {
namespace {

constexpr logger kLog{"agent"};

int Run(const agent_settings& settings) {
  ApplyMemoryLimit(settings.node.limits);
  random_source random = random_source::FromSystem();
  fiber_thread control("control");
  agent_node agent(settings, control, NewIncarnation(random));
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
  agent_settings settings;
  return DaemonMain(argc, argv,
                    {[&](std::string_view text) -> result<std::vector<error>> {
                       BOOST_OUTCOME_TRY(settings, ParseAgentSettings(text));
                       return std::vector<error>{};
                     },
                     [&] { return Run(settings); }});
}
