#include <chrono>
#include <cstdio>

#include "model.h"
#include "report.h"

namespace quincebank {
namespace {

struct deployment {
  std::string_view name;
  sim_config config;
};

struct variant {
  std::string_view name;
  std::string_view policy;
  bool cache_events = false;
  bool note_served = false;
  bool use_prefix = true;
  bool correct_load = true;
};

constexpr sim_time kWarmUp{75'000'000};
constexpr sim_time kEnd{150'000'000};

std::vector<deployment> Deployments() {
  sim_config today;
  today.workload.requests_per_second = 56;
  sim_config target;
  target.replicas = 620;
  target.domains = 4;
  target.regions = 2;
  target.workload.requests_per_second = 2400;
  target.workload.workspaces = 50'000;
  target.workload.few_large = false;
  target.feed.index_blocks = 262'144;
  sim_config many = target;
  many.entries = 400;
  many.feed.index_blocks = 8'192;
  return {{"16 replicas, 8 entries, 56 requests/s", today},
          {"620 replicas, 8 entries, 2400 requests/s", target},
          {"620 replicas, 400 entries, 2400 requests/s", many}};
}

constexpr std::array<variant, 8> kVariants{{
    {"round-robin", "round-robin"},
    {"least-loaded", "least-loaded"},
    {"two-random", "two-random"},
    {"quincebank without prompts", "quincebank", false, false, false},
    {"quincebank without load correction", "quincebank", false, false, true, false},
    {"quincebank, rendezvous only", "quincebank"},
    {"quincebank, own prompts noted", "quincebank", false, true},
    {"quincebank, cache events", "quincebank", true, true},
}};

}  // namespace

void RunExperiment() {
  for (const deployment& where : Deployments()) {
    std::printf("\n%.*s\n", static_cast<int>(where.name.size()), where.name.data());
    text_table table({"policy", "first token p50 ms", "p95 ms", "cache hit %", "imbalance", "burst",
                      "not-run hops %", "rejected %", "late %", "event KB/s", "run s"});
    for (const variant& one : kVariants) {
      // Events of 620 replicas for each of 400 entries exceed both budget and run time.
      if (one.cache_events && where.config.entries > 8)
        continue;
      sim_config config = where.config;
      config.policy = one.policy;
      config.feed.cache_events = one.cache_events;
      config.feed.note_served = one.note_served;
      config.use_prefix = one.use_prefix;
      config.correct_load = one.correct_load;
      config.end = kEnd;
      config.phases = {{"measured", kWarmUp, kEnd}};
      const auto begin = std::chrono::steady_clock::now();
      const sim_result result = Simulate(config);
      const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
      const phase_result& sums = result.phases.front();
      const auto percent = [](std::uint64_t part, std::uint64_t whole) {
        return Fixed(100.0 * static_cast<double>(part) / static_cast<double>(whole), 2);
      };
      table.Row({std::string(one.name), Fixed(sums.FirstTokenMs(0.5), 0),
                 Fixed(sums.FirstTokenMs(0.95), 0), percent(sums.cached_blocks, sums.blocks),
                 Fixed(sums.imbalance, 2), Fixed(sums.burst, 2), percent(sums.hops, sums.requests),
                 percent(sums.rejected, sums.requests), percent(sums.late, sums.requests),
                 Fixed(result.event_bytes_per_second / 1e3, 1), Fixed(took.count(), 1)});
    }
    table.Print();
  }
}

}  // namespace quincebank
