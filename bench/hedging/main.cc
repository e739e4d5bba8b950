// Measures second copies of slow requests on running processes: one slow engine of 16, and all
// engines near their capacity and above it, with and without hedging. Arrivals are drawn by a seed
// and do not wait for answers. Prints tables; all processes run on this machine.

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <iostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "quincebank/base/clock.h"
#include "quincebank/base/json_reader.h"
#include "quincebank/base/log.h"
#include "quincebank/base/random.h"
#include "quincebank/messages/header_names.h"
#include "quincebank/testing/deployment.h"

namespace quincebank {
namespace {

constexpr int kEngines = 16;
constexpr int kEntries = 2;
constexpr int kFullLimit = 4;
constexpr int kTokens = 10;
constexpr milliseconds kFirstToken{60};
constexpr milliseconds kTokenInterval{15};
constexpr milliseconds kPatience{20'000};
constexpr int kPrompts = 400;

struct scenario {
  const char* name;
  int slow_engines;
  int stall_ms;  ///< Added to each token of a slow engine.
  double load;   ///< Arrivals in multiples of what all engines serve.
  bool hedging;
};

struct measured {
  std::vector<double> first_ms;
  std::vector<double> whole_ms;
  int sent = 0;
  int refused = 0;
  int failed = 0;
};

/// Requests that all engines together serve in a second.
double Capacity() {
  const double occupied =
      static_cast<double>((kFirstToken + kTokenInterval * (kTokens - 1)).count());
  return kEngines * kFullLimit * 1000.0 / occupied;
}

double Quantile(std::vector<double> values, double share) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size()));
  return values[std::min(index, values.size() - 1)];
}

http_request Draft(int prompt) {
  return {"POST",
          "/services/quince-drafts/v1/completions",
          {{std::string(kWorkspaceField), "cafe-nord"}},
          R"({"prompt": "prompt )" + std::to_string(prompt) + R"(", "max_tokens": )" +
              std::to_string(kTokens) + R"(, "stream": true})"};
}

void SendOne(http_client& client, const endpoint& entry, int prompt, measured& into) {
  const time_point start = Now();
  const auto since = [&] {
    return std::chrono::duration<double, std::milli>(Now() - start).count();
  };
  http_call call{entry, Draft(prompt)};
  call.response_timeout = kPatience;
  call.idle_timeout = kPatience;
  auto opened = client.Open(call);
  if (!opened) {
    ++into.failed;
    return;
  }
  std::string body;
  double first = 0;
  for (;;) {
    const auto piece = opened.value()->ReadSome();
    if (!piece) {
      ++into.failed;
      return;
    }
    if (!piece.value())
      break;
    if (body.empty())
      first = since();
    body += *piece.value();
  }
  if (opened.value()->status() != 200) {
    ++into.refused;
    return;
  }
  if (body.find("[DONE]") == std::string::npos) {
    ++into.failed;
    return;
  }
  into.first_ms.push_back(first);
  into.whole_ms.push_back(since());
}

/// Sends for the given time, then waits for the answers.
measured RunLoad(deployment& system, double per_second, seconds duration, std::uint64_t seed) {
  measured result;
  fiber_thread thread("load");
  std::vector<endpoint> entries;
  for (const std::string& entry : system.entries())
    entries.push_back(system.AddressOf(entry));
  thread.RunAndWait([&] {
    http_client client(thread);
    random_source random(seed);
    int running = 0;
    time_point next = Now();
    const time_point end = next + duration;
    while (next < end) {
      constexpr double kUnit = 1'000'000;
      const double draw = (static_cast<double>(random.Below(1'000'000)) + 1) / (kUnit + 1);
      next += std::chrono::duration_cast<time_point::duration>(
          std::chrono::duration<double>(-std::log(draw) / per_second));
      boost::this_fiber::sleep_until(next);
      const endpoint& entry = entries[random.Below(entries.size())];
      const int prompt = static_cast<int>(random.Below(kPrompts));
      ++result.sent;
      ++running;
      thread.Spawn([&, entry, prompt] {
        SendOne(client, entry, prompt, result);
        --running;
      });
    }
    while (running > 0)
      boost::this_fiber::sleep_for(milliseconds(10));
  });
  return result;
}

double CounterOf(deployment& system, const std::string& process, const std::string& name) {
  const boost::json::value counters = system.Counters(process);
  return counters.is_object() ? counters.get_object().at(name).to_number<double>() : 0;
}

double MetricOf(deployment& system, const std::string& process, const std::string& name) {
  const auto metrics = system.Call(process, {"GET", "/metrics", {}, {}});
  const std::size_t at = metrics ? metrics.value().body.find("\n" + name + " ") : std::string::npos;
  return at == std::string::npos ? 0 : std::stod(metrics.value().body.substr(at + name.size() + 2));
}

double EngineSum(deployment& system, const std::string& name) {
  double sum = 0;
  for (int i = 0; i < kEngines; ++i)
    sum += CounterOf(system, "drafts-" + std::to_string(i), name);
  return sum;
}

double EntrySum(deployment& system, const std::string& name) {
  double sum = 0;
  for (const std::string& entry : system.entries())
    sum += MetricOf(system, entry, name);
  return sum;
}

void Run(const scenario& wanted, seconds duration, std::uint64_t seed) {
  deployment_plan plan;
  plan.entries = kEntries;
  plan.drafts = kEngines;
  plan.orders = 0;
  plan.cold_limit = 1;
  plan.full_limit = kFullLimit;
  plan.queue_limit = kFullLimit;
  plan.warm_requests = 3;
  plan.engine_options = {"--first-token-ms=" + std::to_string(kFirstToken.count()),
                         "--token-ms=" + std::to_string(kTokenInterval.count()), "--warm-after=0"};
  plan.hedging = wanted.hedging ? R"({"enabled": true})" : R"({"enabled": false})";
  deployment system(plan);
  const auto started = system.Start();
  if (!started) {
    std::cerr << started.error().message << "\n";
    return;
  }
  constexpr seconds kWarmUp{12};
  constexpr double kWarmUpLoad = 0.5;
  (void)RunLoad(system, kWarmUpLoad * Capacity(), kWarmUp, seed + 1);
  for (int i = 0; i < wanted.slow_engines; ++i) {
    system.Control("drafts-" + std::to_string(i),
                   R"({"stall_ms": )" + std::to_string(wanted.stall_ms) + "}");
  }
  const double tokens = EngineSum(system, "tokens");
  const double hedges = EntrySum(system, "quincebank_hedges_sent_total");
  const double won = EntrySum(system, "quincebank_hedges_won_total");
  const double retries = EntrySum(system, "quincebank_retries_total");
  const measured result = RunLoad(system, wanted.load * Capacity(), duration, seed);
  const auto answered = static_cast<double>(result.whole_ms.size());
  const double extra =
      (EngineSum(system, "tokens") - tokens) / std::max(answered * kTokens, 1.0) - 1;
  constexpr double kPercent = 100;
  const double per_request = kPercent / std::max(result.sent, 1);
  std::printf(
      "%-16s %5.2f %-4s %6d %7.1f%% %6d | %6.0f %6.0f %6.0f | %6.0f %6.0f %6.0f | %6.2f%% "
      "%6.2f%% %6.2f%% %6.2f%%\n",
      wanted.name, wanted.load, wanted.hedging ? "on" : "off", result.sent, answered * per_request,
      result.failed, Quantile(result.first_ms, 0.5), Quantile(result.first_ms, 0.95),
      Quantile(result.first_ms, 0.99), Quantile(result.whole_ms, 0.5),
      Quantile(result.whole_ms, 0.95), Quantile(result.whole_ms, 0.99),
      (EntrySum(system, "quincebank_hedges_sent_total") - hedges) * per_request,
      (EntrySum(system, "quincebank_hedges_won_total") - won) * per_request,
      (EntrySum(system, "quincebank_retries_total") - retries) * per_request, extra * kPercent);
  std::fflush(stdout);
}

}  // namespace
}  // namespace quincebank

int main(int argc, char** argv) {
  using namespace quincebank;
  InitLogging(false);
  std::uint64_t seed = 1;
  std::string only;
  double load = 0;
  int duration = 15;
  for (int i = 1; i + 1 < argc; i += 2) {
    if (std::strcmp(argv[i], "--seed") == 0)
      seed = std::stoull(argv[i + 1]);
    if (std::strcmp(argv[i], "--only") == 0)
      only = argv[i + 1];
    if (std::strcmp(argv[i], "--load") == 0)
      load = std::stod(argv[i + 1]);
    if (std::strcmp(argv[i], "--seconds") == 0)
      duration = std::stoi(argv[i + 1]);
  }
  std::printf("%d engines of %d places, %d entries, %.0f requests/s at load 1, seed %llu, %d s\n",
              kEngines, kFullLimit, kEntries, Capacity(), static_cast<unsigned long long>(seed),
              duration);
  std::printf("%-16s %5s %-4s %6s %8s %6s | %20s | %20s | %s\n", "upstreams", "load", "hed.",
              "sent", "answered", "failed", "first token ms", "whole answer ms",
              "hedges, won, retries, extra tokens");
  // With and without hedging in turn, so that other load of the machine touches both.
  for (scenario one :
       {scenario{"one-slow", 1, 200, 0.3, false}, scenario{"all-sound", 0, 0, 0.3, false},
        scenario{"one-slow", 1, 200, 0.9, false}, scenario{"all-sound", 0, 0, 0.9, false},
        scenario{"all-sound", 0, 0, 1.2, false}}) {
    if ((!only.empty() && only != one.name) || (load > 0 && load != one.load))
      continue;
    for (const bool hedging : {false, true}) {
      one.hedging = hedging;
      Run(one, seconds(duration), seed);
    }
  }
}
