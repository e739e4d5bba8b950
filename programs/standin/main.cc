// quincebank-standin: replaces one platform service in tests and in the quickstart.

#include <iostream>

#include "quincebank/base/log.h"
#include "quincebank/daemon/options.h"
#include "quincebank/daemon/signals.h"
#include "quincebank/net/net.h"
#include "quincebank/standins/relay.h"
#include "quincebank/standins/standin.h"

namespace quincebank {
namespace {

constexpr logger kLog{"standin"};
constexpr long long kLongestMs = 600'000;
constexpr long long kMostRequests = 1'000'000;
constexpr long long kMostRanks = 64;
constexpr long long kMostExperts = 4'096;
constexpr long long kMostPermille = 10'000;

struct standin_options {
  std::string role;
  std::string listen = "127.0.0.1:0";
  std::string target;
  long long seed = 1;
  long long first_token_ms = 20;
  long long token_ms = 5;
  long long service_ms = 2;
  long long restart_ms = 300;
  long long full_limit = 16;
  long long cold_limit = 2;
  long long warm_after = 8;
  long long ranks = 4;
  long long layers = 2;
  long long experts = 16;
  long long step_ms = 2;
  long long slow_rank = 0;
  long long slow_permille = 1'000;
  bool ignores_fencing = false;
};

std::vector<option_spec> Options(standin_options& options) {
  return {
      TextOption("role", "NAME", "kv, hosts, engine, orders, rank-group or relay", options.role),
      TextOption("target", "IP:PORT", "relay: where connections go; control is at the next port",
                 options.target),
      TextOption("listen", "IP:PORT", "address to listen on", options.listen),
      NumberOption("seed", "seed of boot numbers and ids", 0, kMostRequests, options.seed),
      NumberOption("first-token-ms", "engine: time to the first token", 0, kLongestMs,
                   options.first_token_ms),
      NumberOption("token-ms", "engine: time between tokens", 0, kLongestMs, options.token_ms),
      NumberOption("service-ms", "orders: time to run a request", 0, kLongestMs,
                   options.service_ms),
      NumberOption("restart-ms", "time that a crash lasts", 0, kLongestMs, options.restart_ms),
      NumberOption("full-limit", "concurrent requests at full speed", 1, kMostRequests,
                   options.full_limit),
      NumberOption("cold-limit", "concurrent requests that a cold upstream survives", 1,
                   kMostRequests, options.cold_limit),
      NumberOption("warm-after", "answered requests that end the cold start", 0, kMostRequests,
                   options.warm_after),
      NumberOption("ranks", "rank-group: ranks in lock-step", 1, kMostRanks, options.ranks),
      NumberOption("layers", "rank-group: layers with experts", 1, kMostExperts, options.layers),
      NumberOption("experts", "rank-group: experts of a layer", 1, kMostExperts, options.experts),
      NumberOption("step-ms", "rank-group: time of one step", 1, kLongestMs, options.step_ms),
      NumberOption("slow-rank", "rank-group: rank with a speed of its own", 0, kMostRanks - 1,
                   options.slow_rank),
      NumberOption("slow-permille", "rank-group: speed of that rank in thousandths", 1,
                   kMostPermille, options.slow_permille),
      FlagOption("ignores-fencing", "engine, rank-group: accepts orders with an old fencing token",
                 options.ignores_fencing),
  };
}

standin_settings ToSettings(const standin_options& options) {
  standin_settings settings;
  settings.seed = static_cast<std::uint64_t>(options.seed);
  settings.first_token = milliseconds(options.first_token_ms);
  settings.token_interval = milliseconds(options.token_ms);
  settings.service_time = milliseconds(options.service_ms);
  settings.restart_time = milliseconds(options.restart_ms);
  settings.full_limit = static_cast<int>(options.full_limit);
  settings.cold_limit = static_cast<int>(options.cold_limit);
  settings.warm_after = static_cast<int>(options.warm_after);
  settings.ranks = static_cast<int>(options.ranks);
  settings.layers = static_cast<int>(options.layers);
  settings.experts = static_cast<int>(options.experts);
  settings.step_time = milliseconds(options.step_ms);
  settings.slow_rank = static_cast<int>(options.slow_rank);
  settings.slow_permille = static_cast<int>(options.slow_permille);
  settings.checks_fencing = !options.ignores_fencing;
  return settings;
}

result<std::unique_ptr<standin>> Make(const standin_options& options,
                                      const endpoint& listen,
                                      fiber_thread& thread) {
  if (options.role != "relay")
    return MakeStandin(options.role, ToSettings(options));
  BOOST_OUTCOME_TRY(const endpoint target, ParseEndpoint(options.target));
  return MakeRelay(thread, listen, target);
}

int Run(const standin_options& options) {
  auto address = ParseEndpoint(options.listen);
  if (!address) {
    std::cerr << "quincebank-standin: --listen: " << address.error().message << "\n";
    return kExitUsage;
  }
  fiber_thread thread("standin");
  const auto made = Make(options, address.value(), thread);
  if (!made) {
    std::cerr << "quincebank-standin: " << made.error().message << "\n";
    return kExitUsage;
  }
  if (options.role == "relay")
    ++address.value().port;
  const auto server = http_server::Listen(
      {&thread}, address.value(), [&](http_exchange& exchange) { made.value()->Handle(exchange); });
  if (!server) {
    kLog.Error(server.error().message);
    return kExitFailure;
  }
  kLog.Info(options.role, " listens on ", ToString(server.value()->address()));
  WaitForShutdown();
  return kExitOk;
}

}  // namespace
}  // namespace quincebank

int main(int argc, char** argv) {
  using namespace quincebank;
  standin_options options;
  const auto exit_code =
      ParseOptions(argc, argv, "--role=NAME --listen=IP:PORT [options]", Options(options), nullptr);
  if (exit_code)
    return *exit_code;
  InitLogging(false);
  BlockShutdownSignals();
  return Run(options);
}
