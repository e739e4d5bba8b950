// quincebank-gateway: entry process that sends requests of clients to upstreams itself.

#include <csignal>
#include <cstdlib>

#include "quincebank/adapter/adapter.h"
#include "quincebank/base/base.h"
#include "quincebank/base/event_log.h"
#include "quincebank/daemon/daemon_main.h"
#include "quincebank/daemon/options.h"
#include "quincebank/daemon/signals.h"
#include "quincebank/gateway/gateway_service.h"

namespace quincebank {
namespace {

// Longest wait for the reader of the log at the end.
constexpr milliseconds kLogFlush{200};

// Addresses and the store are bound at the start; a changed file is only checked until the next.
void CheckReload(event_log& log, const std::string& path) {
  const auto text = ReadFile(path);
  const auto parsed =
      text ? ParseGatewaySettings(text.value()) : result<gateway_settings>(text.error());
  log.Write(event_line("settings.reloaded")
                .Add("path", path)
                .Add("valid", parsed.has_value())
                .Add("reason", parsed ? "" : Describe(parsed.error())));
}

int Run(const gateway_settings& settings, const std::string& path) {
  event_log log(settings.log_lines);
  const auto exchanges = adapter::MakeExchangeCodec();
  const auto records = adapter::MakeRecordCodec();
  gateway_service gateway(settings, *exchanges, log, random_source::FromSystem().Next());
  log.Write(event_line("process.start")
                .Add("name", settings.name)
                .Add("version", QUINCEBANK_VERSION)
                .Add("clients", ToString(settings.clients))
                .Add("store", ToString(settings.store)));
  const auto started = gateway.Start(
      adapter::MakeHandlers(gateway), *records,
      adapter::MakeStoreClient(gateway.control_http(), settings.store, settings.store_timeout),
      adapter::MakeEngineClient(gateway.control_http(),
                                {settings.engine_timeout, settings.engine_report_age}));
  if (!started) {
    log.Write(event_line("process.failed").Add("reason", started.error().message));
    return kExitFailure;
  }
  while (WaitForShutdown() == SIGHUP)
    CheckReload(log, path);
  gateway.Shutdown();
  log.Flush(kLogFlush);
  // Fibers may still wait some seconds for the store or an engine, and all state lives elsewhere.
  std::_Exit(kExitOk);
}

}  // namespace
}  // namespace quincebank

int main(int argc, char** argv) {
  using namespace quincebank;
  gateway_settings settings;
  std::string path = adapter::SettingsPath();
  return DaemonMain(argc, argv,
                    {[&](std::string_view text) -> result<void> {
                       BOOST_OUTCOME_TRY(settings, ParseGatewaySettings(text));
                       return BOOST_OUTCOME_V2_NAMESPACE::success();
                     },
                     [&] { return Run(settings, path); }, path});
}
