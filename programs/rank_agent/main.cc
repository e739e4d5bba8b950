// quincebank-rank-agent: passes reports and counts of the engine on the same host on.

#include <csignal>
#include <cstdlib>

#include "quincebank/adapter/adapter.h"
#include "quincebank/base/base.h"
#include "quincebank/base/event_log.h"
#include "quincebank/daemon/daemon_main.h"
#include "quincebank/daemon/options.h"
#include "quincebank/daemon/signals.h"
#include "quincebank/net/process_limits.h"
#include "quincebank/rank_agent/rank_agent.h"

namespace quincebank {
namespace {

// Longest wait for the reader of the log at the end.
constexpr milliseconds kLogFlush{200};

int Run(const rank_agent_settings& settings, const std::vector<error>& unusable) {
  ApplyMemoryLimit(settings.limits);
  event_log log(settings.log_lines);
  rank_agent agent(settings, &log);
  log.Write(event_line("process.start")
                .Add("name", settings.name)
                .Add("version", QUINCEBANK_VERSION)
                .Add("address", ToString(settings.address))
                .Add("engine", ToString(settings.engine)));
  LogUnusableSettings(unusable, log);
  const auto started = agent.Start(adapter::MakeEngineClient(
      agent.http(), {settings.engine_timeout, /*report_age=*/milliseconds(0)}));
  if (!started) {
    log.Write(event_line("process.failed").Add("reason", started.error().message));
    return kExitFailure;
  }
  // Nothing depends on settings that can change while the process runs.
  while (WaitForShutdown() == SIGHUP)
    log.Write(event_line("settings.reloaded").Add("changed", false));
  log.Write(event_line("process.stopped"));
  log.Flush(kLogFlush);
  // A call under way may wait for the engine; the coordinator asks again.
  std::_Exit(kExitOk);
}

}  // namespace
}  // namespace quincebank

int main(int argc, char** argv) {
  using namespace quincebank;
  parsed_settings<rank_agent_settings> parsed;
  return DaemonMain(
      argc, argv,
      {[&](std::string_view text) -> result<std::vector<error>> {
         BOOST_OUTCOME_TRY(parsed, ParseRankAgentSettings(text));
         return parsed.unusable;
       },
       [&] { return Run(parsed.settings, parsed.unusable); }, adapter::SettingsPath()});
}
