// quincebank-gateway: entry process that sends requests of clients to upstreams itself.

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

namespace quincebank {
namespace {

// Longest wait for the reader of the log at the end.
constexpr milliseconds kLogFlush{200};

// Between looks at the settings file, which may change without a signal.
constexpr milliseconds kSettingsCheck{2'000};

/// Reads the settings file again and puts what has changed in force.
class settings_watch {
 public:
  settings_watch(std::string path, event_log& log) : path_(std::move(path)), log_(log) {
    const auto text = ReadFile(path_);
    if (text)
      seen_ = text.value();
  }

  /// \param signalled  whether the platform says that the file has changed.
  void Check(gateway_service& gateway, bool signalled) {
    const auto text = ReadFile(path_);
    if (text && text.value() == seen_ && !signalled)
      return;
    const auto parsed =
        text ? ParseGatewaySettings(text.value()) : result<gateway_settings>(text.error());
    if (parsed) {
      seen_ = text.value();
      gateway.Reload(parsed.value());
      return;
    }
    if (!signalled && text && text.value() == refused_)
      return;
    refused_ = text ? text.value() : std::string();
    log_.Write(
        event_line("settings.refused").Add("path", path_).Add("reason", Describe(parsed.error())));
  }

 private:
  const std::string path_;
  event_log& log_;
  std::string seen_;
  std::string refused_;  ///< Content that was reported as wrong.
};

int Run(const gateway_settings& settings, const std::string& path) {
  event_log log(settings.max_log_lines);
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
                                {settings.engine_timeout, settings.max_engine_report_age}));
  if (!started) {
    log.Write(event_line("process.failed").Add("reason", started.error().message));
    return kExitFailure;
  }
  settings_watch watch(path, log);
  for (;;) {
    const int signal = WaitForShutdown(kSettingsCheck);
    if (signal != 0 && signal != SIGHUP)
      break;
    watch.Check(gateway, signal == SIGHUP);
  }
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
