// Measures what entry and agent add to a direct call of the plain service, on running processes:
// latency and processor time a request, and memory and control traffic of each role, idle and under
// churn, at several fleet sizes. Prints tables; all processes run on this machine.

#include <unistd.h>

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "quincebank/base/log.h"
#include "quincebank/messages/header_names.h"
#include "quincebank/testing/deployment.h"

namespace quincebank {
namespace {

using microseconds = std::chrono::microseconds;

constexpr int kRequests = 20'000;
constexpr int kConcurrency = 16;
constexpr seconds kControlWindow{10};

struct process_usage {
  double cpu_seconds = 0;
  double resident_mb = 0;
  double peer_bytes = 0;      ///< Control messages with other nodes, as a client.
  double platform_bytes = 0;  ///< With the key-value service and the host list.
};

double GaugeOf(const std::string& metrics, const std::string& with) {
  const std::string name = "\nquincebank_control_bytes{with=\"" + with + "\"} ";
  const std::size_t at = metrics.find(name);
  return at == std::string::npos ? 0 : std::stod(metrics.substr(at + name.size()));
}

process_usage UsageOf(deployment& system, const std::string& name) {
  process_usage usage;
  const std::string folder = "/proc/" + std::to_string(system.Process(name).pid());
  std::ifstream stat(folder + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  constexpr int kUserTimeField = 11;
  std::string field;
  for (int i = 0; i < kUserTimeField; ++i)
    fields >> field;
  double user = 0;
  double system_time = 0;
  fields >> user >> system_time;
  usage.cpu_seconds = (user + system_time) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream memory(folder + "/statm");
  double pages = 0;
  memory >> pages >> pages;
  constexpr double kMegabyte = 1024.0 * 1024.0;
  usage.resident_mb = pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / kMegabyte;
  const auto metrics = system.Call(name, {"GET", "/metrics", {}, {}});
  if (metrics) {
    usage.peer_bytes = GaugeOf(metrics.value().body, "peers");
    usage.platform_bytes = GaugeOf(metrics.value().body, "platform");
  }
  return usage;
}

struct load_result {
  std::vector<microseconds> latencies;
  int failed = 0;
};

/// Sends requests from a fixed number of callers and measures each.
load_result RunLoad(const endpoint& peer, const http_request& request) {
  load_result result;
  fiber_thread thread("load");
  thread.RunAndWait([&] {
    http_client client(thread);
    int next = 0;
    std::vector<boost::fibers::fiber> callers;
    callers.reserve(kConcurrency);
    for (int i = 0; i < kConcurrency; ++i) {
      callers.emplace_back([&] {
        while (next < kRequests) {
          ++next;
          const auto start = std::chrono::steady_clock::now();
          const auto answer = client.Call({peer, request});
          result.latencies.push_back(
              std::chrono::duration_cast<microseconds>(std::chrono::steady_clock::now() - start));
          result.failed += answer && answer.value().status < 300 ? 0 : 1;
        }
      });
    }
    for (boost::fibers::fiber& caller : callers)
      caller.join();
  });
  std::sort(result.latencies.begin(), result.latencies.end());
  return result;
}

double Quantile(const load_result& load, double share) {
  const auto index = static_cast<std::size_t>(share * static_cast<double>(load.latencies.size()));
  return static_cast<double>(load.latencies[std::min(index, load.latencies.size() - 1)].count());
}

http_request ReadOrder(const std::string& prefix) {
  return {"GET", prefix + "/orders/o1", {{std::string(kWorkspaceField), "cafe-nord"}}, ""};
}

void MeasureRequests() {
  deployment_plan plan;
  plan.entries = 1;
  plan.drafts = 1;
  plan.orders = 1;
  plan.cold_limit = 64;
  plan.full_limit = 64;
  deployment system(plan);
  const auto started = system.Start();
  if (!started) {
    std::cerr << started.error().message << "\n";
    return;
  }
  http_request place{"POST",
                     "/services/order-desk/orders",
                     {{std::string(kWorkspaceField), "cafe-nord"}},
                     R"({"order": "o1"})"};
  (void)system.Call("entry-0", place);
  const load_result direct = RunLoad(system.AddressOf("orders-0"), ReadOrder(""));
  const process_usage entry_before = UsageOf(system, "entry-0");
  const process_usage agent_before = UsageOf(system, "agent-orders-0");
  const load_result through =
      RunLoad(system.AddressOf("entry-0"), ReadOrder("/services/order-desk"));
  const process_usage entry_after = UsageOf(system, "entry-0");
  const process_usage agent_after = UsageOf(system, "agent-orders-0");
  const double to_us = 1e6 / kRequests;
  std::printf("request cost: %d reads of an order, %d callers at once\n", kRequests, kConcurrency);
  std::printf("%-28s %10s %10s %8s\n", "path", "p50 us", "p95 us", "failed");
  std::printf("%-28s %10.0f %10.0f %8d\n", "direct", Quantile(direct, 0.5), Quantile(direct, 0.95),
              direct.failed);
  std::printf("%-28s %10.0f %10.0f %8d\n", "entry and agent", Quantile(through, 0.5),
              Quantile(through, 0.95), through.failed);
  std::printf("processor time a request: entry %.0f us, agent %.0f us\n",
              (entry_after.cpu_seconds - entry_before.cpu_seconds) * to_us,
              (agent_after.cpu_seconds - agent_before.cpu_seconds) * to_us);
  std::printf("memory after the run: entry %.1f MB, agent %.1f MB\n\n", entry_after.resident_mb,
              agent_after.resident_mb);
}

/// Streams drafts from a number of callers at once and prints the processor time a token.
void MeasureStreams(int streams) {
  constexpr int kTokens = 400;
  deployment_plan plan;
  plan.entries = 1;
  plan.drafts = 1;
  plan.orders = 1;
  plan.cold_limit = 256;
  plan.full_limit = 256;
  plan.engine_options = {"--token-ms=20", "--first-token-ms=20"};
  deployment system(plan);
  const auto started = system.Start();
  if (!started) {
    std::cerr << started.error().message << "\n";
    return;
  }
  const http_request draft{
      "POST",
      "/services/quince-drafts/v1/completions",
      {{std::string(kWorkspaceField), "cafe-nord"}},
      R"({"prompt": "p", "stream": true, "max_tokens": )" + std::to_string(kTokens) + "}"};
  const process_usage entry_before = UsageOf(system, "entry-0");
  const process_usage agent_before = UsageOf(system, "agent-drafts-0");
  const auto start = std::chrono::steady_clock::now();
  fiber_thread thread("load");
  int whole = 0;
  thread.RunAndWait([&] {
    http_client client(thread);
    std::vector<boost::fibers::fiber> callers;
    callers.reserve(static_cast<std::size_t>(streams));
    for (int i = 0; i < streams; ++i) {
      callers.emplace_back([&] {
        http_call call{system.AddressOf("entry-0"), draft};
        const auto answer = client.Call(call);
        whole += answer && answer.value().body.find("[DONE]") != std::string::npos ? 1 : 0;
      });
    }
    for (boost::fibers::fiber& caller : callers)
      caller.join();
  });
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
  const process_usage entry_after = UsageOf(system, "entry-0");
  const process_usage agent_after = UsageOf(system, "agent-drafts-0");
  const double tokens = static_cast<double>(streams) * kTokens;
  std::printf("%8d %8d %12.0f %12.1f %12.1f %10.1f %10.1f\n", streams, whole,
              tokens / elapsed.count(),
              (entry_after.cpu_seconds - entry_before.cpu_seconds) * 1e6 / tokens,
              (agent_after.cpu_seconds - agent_before.cpu_seconds) * 1e6 / tokens,
              entry_after.resident_mb, agent_after.resident_mb);
}

struct fleet_usage {
  process_usage entry;
  process_usage agent;
};

fleet_usage Mean(deployment& system, const deployment_plan& plan) {
  fleet_usage sum;
  const auto add = [&](process_usage& to, const std::string& name, int count) {
    const process_usage one = UsageOf(system, name);
    to.cpu_seconds += one.cpu_seconds / count;
    to.resident_mb += one.resident_mb / count;
    to.peer_bytes += one.peer_bytes / count;
    to.platform_bytes += one.platform_bytes / count;
  };
  for (int i = 0; i < plan.entries; ++i)
    add(sum.entry, "entry-" + std::to_string(i), plan.entries);
  for (int i = 0; i < plan.drafts; ++i)
    add(sum.agent, "agent-drafts-" + std::to_string(i), plan.drafts);
  return sum;
}

void PrintRow(const char* state,
              const deployment_plan& plan,
              const fleet_usage& before,
              const fleet_usage& after) {
  const double window = static_cast<double>(kControlWindow.count());
  const auto row = [&](const char* role, const process_usage& from, const process_usage& to) {
    std::printf("%7d %7d  %-6s %-6s %8.2f %8.1f %10.2f %13.2f\n", plan.entries,
                plan.drafts + plan.orders, state, role,
                (to.cpu_seconds - from.cpu_seconds) / window * 100, to.resident_mb,
                (to.peer_bytes - from.peer_bytes) / window / 1000,
                (to.platform_bytes - from.platform_bytes) / window / 1000);
  };
  row("entry", before.entry, after.entry);
  row("agent", before.agent, after.agent);
}

void MeasureControl(int entries, int drafts) {
  deployment_plan plan;
  plan.entries = entries;
  plan.drafts = drafts;
  plan.orders = 1;
  deployment system(plan);
  const auto started = system.Start();
  if (!started) {
    std::cerr << started.error().message << "\n";
    return;
  }
  std::this_thread::sleep_for(seconds(2));
  const fleet_usage idle_start = Mean(system, plan);
  std::this_thread::sleep_for(kControlWindow);
  const fleet_usage idle_end = Mean(system, plan);
  PrintRow("idle", plan, idle_start, idle_end);
  // A change every two seconds is 30 times the rate of 1,400 changes a day.
  for (int i = 0; i < kControlWindow.count() / 2; ++i) {
    const auto next = std::chrono::steady_clock::now() + seconds(2);
    (void)system.RunTool({i % 2 == 0 ? "drain" : "return",
                          "--kv=" + ToString(system.AddressOf("kv")), "--author=bench",
                          "--team=platform", "qc-east-c"});
    std::this_thread::sleep_until(next);
  }
  PrintRow("churn", plan, idle_end, Mean(system, plan));
}

}  // namespace
}  // namespace quincebank

int main(int argc, char** argv) {
  quincebank::InitLogging(false);
  const std::string mode = argc > 1 ? argv[1] : "requests";
  if (mode == "requests") {
    quincebank::MeasureRequests();
    return 0;
  }
  if (mode == "streams") {
    std::printf("%8s %8s %12s %12s %12s %10s %10s\n", "streams", "whole", "tokens/s",
                "entry us/tok", "agent us/tok", "entry MB", "agent MB");
    for (const int streams : {8, 32, 128})
      quincebank::MeasureStreams(streams);
    return 0;
  }
  if (mode != "control") {
    std::cerr << "usage: bench_added_cost [requests|streams|control]\n";
    return 2;
  }
  std::printf(
      "control cost over %lld s; churn: a change every 2 s; bytes as a client, headers "
      "included\n",
      static_cast<long long>(quincebank::kControlWindow.count()));
  std::printf("%7s %7s  %-6s %-6s %8s %8s %10s %13s\n", "entries", "agents", "state", "role",
              "cpu %", "MB", "peers KB/s", "platform KB/s");
  quincebank::MeasureControl(3, 8);
  quincebank::MeasureControl(6, 24);
  quincebank::MeasureControl(8, 64);
  return 0;
}
