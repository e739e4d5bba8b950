// quincebank-entry: takes requests of callers and forwards them to upstreams.

#include "quincebank/base/base.h"
#include "quincebank/daemon/daemon_main.h"
#include "quincebank/daemon/options.h"
#include "quincebank/daemon/signals.h"
#include "quincebank/entry/entry_service.h"
#include "quincebank/net/process_limits.h"

namespace quincebank {
namespace {

constexpr logger kLog{"entry"};

int Run(const entry_settings& settings) {
  ApplyMemoryLimit(settings.node.limits);
  fiber_thread control("control");
  entry_service entry(settings, control, random_source::FromSystem().Next());
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
  entry_settings settings;
  return DaemonMain(argc, argv,
                    {[&](std::string_view text) -> result<std::vector<error>> {
                       BOOST_OUTCOME_TRY(settings, ParseEntrySettings(text));
                       return std::vector<error>{};
                     },
                     [&] { return Run(settings); }});
}
