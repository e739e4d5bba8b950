// quincebank-gateway: entry process that forwards client requests to upstreams.

#include <csignal>
#include <cstdlib>
#include <string>
#include <utility>

#include "quincebank/adapter/adapter.h"
#include "quincebank/base/base.h"
#include "quincebank/base/event_log.h"
#include "quincebank/daemon/daemon_main.h"
#include "quincebank/daemon/options.h"
#include "quincebank/daemon/signals.h"
#include "quincebank/gateway/gateway_service.h"
#include "quincebank/gateway/settings_watcher.h"
#include "quincebank/net/process_limits.h"

namespace quincebank {
namespace {

// Upper limit on the wait for the last log lines to be written.
constexpr milliseconds kLogFlushTimeout{200};

// Interval of checks of the settings file, which may change without a signal.
constexpr milliseconds kSettingsCheckPeriod{2'000};

int Run(const parsed_settings<gateway_settings>& parsed, const std::string& path) {
  const gateway_settings& settings = parsed.settings;
  ApplyMemoryLimit(settings.limits);
  event_log log(settings.max_log_lines);
  const auto http_codec = adapter::MakeExchangeCodec();
  const auto records = adapter::MakeRecordCodec();
  gateway_service gateway(settings, *http_codec, log, random_source::FromSystem().Next());
  log.Write(event_line("process.start")
                .Add("name", settings.name)
                .Add("version", QUINCEBANK_VERSION)
                .Add("clients", ToString(settings.clients))
                .Add("store", ToString(settings.store)));
  LogUnusableSettings(parsed.unusable, log);
  const auto started = gateway.Start(
      adapter::MakeHandlers(gateway), *records,
      adapter::MakeStoreClient(gateway.control_http(), settings.store, settings.store_timeout),
      adapter::MakeEngineClient(gateway.control_http(),
                                {settings.engine_timeout, settings.max_engine_report_age}));
  if (!started) {
    log.Write(event_line("process.failed").Add("reason", started.error().message));
    return kExitFailure;
  }
  settings_watcher watcher(path, settings, log);
  for (;;) {
    const int signal = WaitForShutdown(kSettingsCheckPeriod);
    if (signal != 0 && signal != SIGHUP)
      break;
    if (const auto changed = watcher.Check(signal == SIGHUP))
      gateway.Reload(*changed);
  }
  gateway.Shutdown();
  log.Flush(kLogFlushTimeout);
  // Skips destructors: fibers may still wait some seconds for the store or an engine, and this
  // process holds no persistent state.
  std::_Exit(kExitOk);
}

}  // namespace
}  // namespace quincebank

int main(int argc, char** argv) {
  using namespace quincebank;
  parsed_settings<gateway_settings> parsed;
  std::string path = adapter::SettingsPath();
  return DaemonMain(argc, argv,
                    {[&](std::string_view text) -> result<std::vector<error>> {
                       BOOST_OUTCOME_TRY(parsed, ParseGatewaySettings(text));
                       return parsed.unusable;
                     },
                     [&] { return Run(parsed, path); }, path});
}
