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
#include "quincebank/net/process_limits.h"

namespace quincebank {
namespace {

// Upper limit on the wait for the last log lines to be written.
constexpr milliseconds kLogFlushTimeout{200};

// Interval of checks of the settings file, which may change without a signal.
constexpr milliseconds kSettingsCheckPeriod{2'000};

/// Rereads the settings file and applies changes.
class settings_watcher {
 public:
  settings_watcher(std::string path, event_log& log) : path_(std::move(path)), log_(log) {
    const auto text = ReadFile(path_);
    if (text)
      last_text_ = text.value();
  }

  /// \param reload_signalled  SIGHUP was received: reloads even if the file has not changed.
  void Check(gateway_service& gateway, bool reload_signalled) {
    const auto text = ReadFile(path_);
    if (text && text.value() == last_text_ && !reload_signalled)
      return;
    const auto parsed =
        text ? ParseGatewaySettings(text.value()) : result<gateway_settings>(text.error());
    if (parsed) {
      last_text_ = text.value();
      gateway.Reload(parsed.value());
      return;
    }
    if (!reload_signalled && text && text.value() == rejected_text_)
      return;
    rejected_text_ = text ? text.value() : std::string();
    log_.Write(
        event_line("settings.refused").Add("path", path_).Add("reason", Describe(parsed.error())));
  }

 private:
  const std::string path_;
  event_log& log_;
  std::string last_text_;
  std::string rejected_text_;  ///< Content whose errors were logged already.
};

int Run(const gateway_settings& settings, const std::string& path) {
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
  const auto started = gateway.Start(
      adapter::MakeHandlers(gateway), *records,
      adapter::MakeStoreClient(gateway.control_http(), settings.store, settings.store_timeout),
      adapter::MakeEngineClient(gateway.control_http(),
                                {settings.engine_timeout, settings.max_engine_report_age}));
  if (!started) {
    log.Write(event_line("process.failed").Add("reason", started.error().message));
    return kExitFailure;
  }
  settings_watcher watcher(path, log);
  for (;;) {
    const int signal = WaitForShutdown(kSettingsCheckPeriod);
    if (signal != 0 && signal != SIGHUP)
      break;
    watcher.Check(gateway, signal == SIGHUP);
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
  gateway_settings settings;
  std::string path = adapter::SettingsPath();
  return DaemonMain(argc, argv,
                    {[&](std::string_view text) -> result<void> {
                       BOOST_OUTCOME_TRY(settings, ParseGatewaySettings(text));
                       return BOOST_OUTCOME_V2_NAMESPACE::success();
                     },
                     [&] { return Run(settings, path); }, path});
}
