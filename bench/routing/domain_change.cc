#include <array>
#include <cstdio>
#include <string>

#include "model.h"
#include "report.h"

namespace quincebank {
namespace {

constexpr sim_time kBefore{60'000'000};
constexpr sim_time kOut{90'000'000};
constexpr sim_time kSettled{120'000'000};
constexpr sim_time kReturn{150'000'000};
constexpr sim_time kAfter{190'000'000};
constexpr sim_time kEnd{220'000'000};
constexpr sim_time kLongestAnswer{60'000'000};
constexpr std::array<std::uint64_t, 3> kSeeds{1, 2, 3};

struct variant {
  std::string_view name;
  std::string_view policy;
  bool suspect = true;
  bool tell_entries = true;
  bool retry_elsewhere = true;  ///< Retries prefer another failure domain.
  bool suspect_domain = true;   ///< Several suspected upstreams penalise their failure domain.
};

constexpr std::array<variant, 9> kVariants{{
    {"round-robin", "round-robin"},
    {"least-loaded", "least-loaded"},
    {"two-random", "two-random"},
    {"quincebank, agents alone", "quincebank", false, false, false, false},
    {"quincebank + entries told", "quincebank", false, true, false, false},
    {"quincebank + suspicion", "quincebank", true, false, false, false},
    {"quincebank + retry elsewhere", "quincebank", false, false, true, false},
    {"quincebank - domain suspicion", "quincebank", true, true, true, false},
    {"quincebank", "quincebank"},
}};

struct service {
  std::string_view name;
  sim_config config;
};

sim_config ModelService(std::uint32_t entries, sim_time client_latency) {
  sim_config config;
  config.entries = entries;
  config.client_latency = client_latency;
  config.workload.requests_per_second = 40;
  config.feed.note_served = true;
  return config;
}

/// A plain service: short calls without prompts, of which none may be repeated.
sim_config PlainService(std::uint32_t entries, sim_time client_latency) {
  sim_config config;
  config.replicas = 3;
  config.entries = entries;
  config.client_latency = client_latency;
  config.model_version = {};
  config.use_prefix = false;
  config.repeatable = false;
  config.engine = {.limit = 8,
                   .queue = 8,
                   .block_prefill = sim_time(0),
                   .step = sim_time(10'000),
                   .step_per_request = sim_time(500),
                   .cold_limit = 1};
  config.workload.requests_per_second = 60;
  config.workload.mean_turns = 1;
  config.workload.mean_tokens = 5;
  config.workload.deadline = milliseconds(2'000);
  config.settings.service_time = sim_time(60'000);
  config.settings.full_slowdown = sim_time(10'000);
  return config;
}

std::vector<service> Services() {
  constexpr sim_time kLaminoirClients{3'000};
  constexpr sim_time kPunjabClients{1'000};
  return {{"quince-drafts: 16 replicas, 7 entries", ModelService(7, kLaminoirClients)},
          {"order-desk: 3 replicas, 7 entries", PlainService(7, kLaminoirClients)},
          {"munshi: 16 replicas, 8 entries", ModelService(8, kPunjabClients)},
          {"bahi: 3 replicas, 8 entries", PlainService(8, kPunjabClients)}};
}

std::vector<phase_result> RunSeeds(sim_config config, const variant& one) {
  config.policy = one.policy;
  config.suspect = one.suspect;
  config.tell_entries = one.tell_entries;
  if (!one.retry_elsewhere)
    config.settings.retry_domain_penalty = sim_time(0);
  if (!one.suspect_domain)
    config.settings.lost_domain_penalty = sim_time(0);
  config.end = kEnd + kLongestAnswer;
  config.phases = {{"before", kBefore, kOut},
                   {"out", kOut, kSettled},
                   {"settled", kSettled, kReturn},
                   {"return", kReturn, kAfter},
                   {"after", kAfter, kEnd}};
  std::vector<phase_result> sums(config.phases.size());
  for (const std::uint64_t seed : kSeeds) {
    config.seed = seed;
    const sim_result result = Simulate(config);
    for (std::size_t i = 0; i < sums.size(); ++i)
      sums[i].Add(result.phases[i]);
  }
  return sums;
}

void PrintChange(const service& where, domain_event::kind what) {
  const bool drain = what == domain_event::kind::kDrain;
  std::printf("\n%.*s; domain-0 is %s, then returns cold\n", static_cast<int>(where.name.size()),
              where.name.data(), drain ? "drained" : "lost");
  text_table table({"policy", "success % before", "out", "settled", "return", "after",
                    "p95 ms before", "out", "settled", "return", "after", "rejected", "late",
                    "not-run hops", "reruns", "may have run"});
  for (const variant& one : kVariants) {
    sim_config config = where.config;
    config.changes = {{kOut, what, 0}, {kReturn, domain_event::kind::kReturn, 0}};
    const std::vector<phase_result> phases = RunSeeds(config, one);
    std::vector<std::string> row{std::string(one.name)};
    phase_result all;
    for (const phase_result& phase : phases) {
      row.push_back(Fixed(
          100.0 * static_cast<double>(phase.succeeded) / static_cast<double>(phase.requests), 2));
      all.Add(phase);
    }
    for (const phase_result& phase : phases)
      row.push_back(Fixed(phase.FirstTokenMs(0.95), 0));
    for (const std::uint64_t sum : {all.rejected, all.late, all.hops, all.reruns, all.unknown})
      row.push_back(std::to_string(sum));
    table.Row(std::move(row));
  }
  table.Print();
}

}  // namespace

void RunDomainChange() {
  for (const service& where : Services()) {
    for (const auto what : {domain_event::kind::kDrain, domain_event::kind::kLose})
      PrintChange(where, what);
  }
}

}  // namespace quincebank
