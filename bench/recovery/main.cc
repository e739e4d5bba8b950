// Service while a failure domain leaves and returns, at the present size of Laminoir Saint-Laurent
// Menus: 16 engines, 3 plain services, 7 entries in 3 failure domains, as processes on this
// machine. Callers send drafts and orders all the time and repeat what is safe. The domain is
// drained and returned, then lost and restarted, then the key-value service is out. Prints what
// callers saw in each phase, the time from the accepted drain to the last new work, and the orders
// lost or run twice.

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "callers.h"
#include "quincebank/base/clock.h"
#include "quincebank/base/log.h"

namespace quincebank {
namespace {

constexpr int kEntries = 7;
constexpr int kEngines = 16;
constexpr int kOrderServices = 3;
constexpr int kDraftCallers = 48;
constexpr int kOrderCallers = 8;
constexpr seconds kPhase{8};
constexpr std::uint64_t kSeed = 1;
const std::string kDomain = "qc-east-b";

/// Hosts are dealt to the three failure domains in turn; the second gets 1, 4, 7, ...
std::vector<std::string> UpstreamsOfDomain() {
  constexpr int kDomains = 3;
  std::vector<std::string> names;
  for (int i = 1; i < kEngines; i += kDomains)
    names.push_back("drafts-" + std::to_string(i));
  names.emplace_back("orders-1");
  return names;
}

std::int64_t WorkOf(deployment& system, const std::string& upstream) {
  const boost::json::value counters = system.Counters(upstream);
  const boost::json::object* const object = counters.if_object();
  if (object == nullptr)
    return 0;
  const boost::json::value* const count = object->if_contains("completions");
  if (count != nullptr)
    return count->to_number<std::int64_t>();
  std::int64_t runs = 0;
  for (const auto& order : object->at("runs").as_object())
    runs += order.value().to_number<std::int64_t>();
  return runs;
}

std::int64_t WorkOfDomain(deployment& system) {
  std::int64_t work = 0;
  for (const std::string& upstream : UpstreamsOfDomain())
    work += WorkOf(system, upstream);
  return work;
}

void Print(const char* phase, phase_counts counts) {
  std::sort(counts.first_bytes.begin(), counts.first_bytes.end());
  const std::size_t p95 = counts.first_bytes.size() * 95 / 100;
  std::printf("%-34s %7d %7d %8lld %9d %7d %7d %7d\n", phase, counts.drafts, counts.drafts_failed,
              counts.first_bytes.empty()
                  ? 0LL
                  : static_cast<long long>(
                        counts.first_bytes[std::min(p95, counts.first_bytes.size() - 1)].count()),
              counts.refusals, counts.orders, counts.orders_unsure, counts.orders_failed);
}

int Tool(deployment& system, const std::string& command) {
  return system.RunTool({command, "--kv=" + ToString(system.AddressOf("kv")),
                         "--hosts=" + ToString(system.AddressOf("hosts")), "--author=bench",
                         "--team=platform", kDomain});
}

/// Waits one phase and notes when the work of the domain last grew.
milliseconds LastWorkAfter(deployment& system, time_point accepted) {
  std::int64_t before = WorkOfDomain(system);
  milliseconds last{0};
  while (Now() - accepted < kPhase) {
    const std::int64_t work = WorkOfDomain(system);
    if (work != before)
      last = std::chrono::duration_cast<milliseconds>(Now() - accepted);
    before = work;
  }
  return last;
}

void CheckOrders(deployment& system, callers& load) {
  std::map<std::string, std::int64_t> runs;
  for (int i = 0; i < kOrderServices; ++i) {
    const boost::json::value counters = system.Counters("orders-" + std::to_string(i));
    for (const auto& order : counters.as_object().at("runs").as_object())
      runs[std::string(order.key())] += order.value().to_number<std::int64_t>();
  }
  int lost = 0;
  int twice = 0;
  int false_refusals = 0;
  // Runs of a plain service that was killed are forgotten with it, so answered orders are counted
  // as lost only if no replica was restarted; this run restarts none of the plain services.
  for (const std::string& order : load.answered_orders())
    lost += runs[order] == 0 ? 1 : 0;
  for (const auto& [order, count] : runs)
    twice += count > 1 ? 1 : 0;
  for (const std::string& order : load.refused_orders())
    false_refusals += runs[order] > 0 ? 1 : 0;
  std::printf("orders answered %zu, answered but not run %d, run twice %d, false 'not run' %d\n",
              load.answered_orders().size(), lost, twice, false_refusals);
}

int Run() {
  deployment_plan plan;
  plan.entries = kEntries;
  plan.drafts = kEngines;
  plan.orders = kOrderServices;
  plan.engine_options = {"--first-token-ms=20", "--token-ms=5"};
  deployment system(plan);
  const auto started = system.Start();
  if (!started) {
    std::cerr << started.error().message << "\n";
    return 1;
  }
  std::printf("%-34s %7s %7s %8s %9s %7s %7s %7s\n", "phase (8 s)", "drafts", "failed", "p95 ms",
              "refusals", "orders", "unsure", "failed");
  callers load(system, kDraftCallers, kOrderCallers, kSeed);
  std::this_thread::sleep_for(kPhase);
  Print("cold start of all", load.NextPhase());
  std::this_thread::sleep_for(kPhase);
  Print("steady", load.NextPhase());

  if (Tool(system, "drain") != 0)
    return 1;
  const milliseconds last = LastWorkAfter(system, Now());
  Print("drained", load.NextPhase());
  if (Tool(system, "return") != 0)
    return 1;
  std::this_thread::sleep_for(kPhase);
  Print("returned", load.NextPhase());

  for (const std::string& upstream : UpstreamsOfDomain()) {
    system.Process("agent-" + upstream).Kill();
    if (upstream.starts_with("drafts-"))
      system.Process(upstream).Kill();
  }
  std::this_thread::sleep_for(kPhase);
  Print("domain lost", load.NextPhase());
  for (const std::string& upstream : UpstreamsOfDomain()) {
    if (upstream.starts_with("drafts-"))
      system.Restart(upstream);
    system.Restart("agent-" + upstream);
  }
  std::this_thread::sleep_for(kPhase);
  Print("domain restarted cold", load.NextPhase());

  system.Control("kv", R"({"down": true})");
  std::this_thread::sleep_for(kPhase);
  Print("key-value service out", load.NextPhase());
  system.Control("kv", R"({"down": false})");
  std::this_thread::sleep_for(kPhase);
  Print("key-value service back", load.NextPhase());
  load.Stop();

  std::int64_t crashes = 0;
  for (int i = 0; i < kEngines; ++i) {
    const boost::json::value counters = system.Counters("drafts-" + std::to_string(i));
    crashes += counters.as_object().at("crashes").to_number<std::int64_t>();
  }
  std::printf("last new work %lld ms after the drain was accepted; crashes of cold engines %lld\n",
              static_cast<long long>(last.count()), static_cast<long long>(crashes));
  CheckOrders(system, load);
  return 0;
}

}  // namespace
}  // namespace quincebank

int main() {
  quincebank::InitLogging(false);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  return quincebank::Run();
}
