#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>

#include <boost/json/serialize.hpp>

#include "alloc_counter.h"
#include "quincebank/base/random.h"
#include "quincebank/routing/routing.h"
#include "report.h"

namespace quincebank {
namespace {

constexpr std::size_t kDecisions = 100'000;
constexpr std::size_t kPrompts = 512;
constexpr std::uint32_t kPromptBlocks = 12;
constexpr std::uint32_t kLimit = 48;

struct scene {
  ref_ptr<const routing_table> table;
  std::vector<upstream_load> loads;
  std::vector<std::array<std::uint64_t, kPromptBlocks>> prompts;
  prefix_index index{65'536};
};

/// \param held  corrected load of each upstream, in percent of its limit.
/// \param weights  number of different weights.
scene MakeScene(std::size_t replicas,
                std::uint32_t held,
                std::uint32_t regions,
                std::uint32_t weights) {
  scene made;
  random_source random(replicas);
  std::vector<upstream> upstreams;
  for (std::size_t i = 0; i < replicas; ++i) {
    upstreams.push_back({.id = "replica-" + std::to_string(i),
                         .failure_domain = "domain-" + std::to_string(i % 4),
                         .region = "region-" + std::to_string(i % regions),
                         .model_version = "m" + std::to_string(i % 2),
                         .adapters = {"fr", "en"},
                         .weight = 100 * (1 + static_cast<std::uint32_t>(i) % weights)});
    const auto load = static_cast<std::uint32_t>(held * kLimit / 100 + random.Below(5));
    made.loads.push_back({.in_flight = load, .limit = kLimit, .age = milliseconds(500)});
  }
  made.table = routing_table::Build("drafts", std::move(upstreams)).value();
  made.prompts.resize(kPrompts);
  for (auto& prompt : made.prompts) {
    for (std::uint64_t& hash : prompt)
      hash = random.Next();
    const auto holder = static_cast<std::uint32_t>(random.Below(replicas));
    made.index.NoteServed(made.table->key(holder), prompt);
  }
  return made;
}

struct timing {
  double p10_ns = 0;  // Least disturbed by other programs.
  double p50_ns = 0;
  double p99_ns = 0;
  double allocations = 0;
};

/// Times batches of decisions, since reading the clock takes a good part of one decision.
timing Time(const route_policy& policy, const scene& made, const route_request& base, bool index) {
  constexpr std::size_t kBatch = 20;
  std::vector<double> batches;
  batches.reserve(kDecisions / kBatch);
  random_source random(7);
  route_input input{made.table, made.loads, base, {}, {}};
  std::uint64_t sum = 0;
  const std::uint64_t allocations = AllocationCount();
  for (std::size_t i = 0; i < kDecisions; i += kBatch) {
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t j = 0; j < kBatch; ++j) {
      input.request.prefix = made.prompts[(i + j) % kPrompts];
      input.request.seed = random.Next();
      input.request.turn = i + j;
      if (index)
        input.hits = made.index.Find(input.request.prefix);
      const auto decision = Choose(policy, input);
      sum += decision.has_value() ? decision.value().index : 0;
    }
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - begin;
    batches.push_back(took.count() / kBatch);
  }
  timing result;
  result.allocations =
      static_cast<double>(AllocationCount() - allocations) / static_cast<double>(kDecisions);
  // The sum is used, so that the compiler keeps the decisions.
  if (sum == 0 && base.priority > kMaxPriority)
    std::puts("no decision");
  std::sort(batches.begin(), batches.end());
  result.p10_ns = batches[batches.size() / 10];
  result.p50_ns = batches[batches.size() / 2];
  result.p99_ns = batches[batches.size() * 99 / 100];
  return result;
}

struct load_case {
  std::string_view name;
  std::uint32_t held;
  std::uint32_t regions;
  bool index;
  route_request request;
  std::uint32_t weights = 1;
};

constexpr std::array<upstream_key, 1> kTried{KeyOf("replica-0")};

/// Copies the loads as an entry must before each decision that it records.
void PrintCopyTime(std::size_t replicas) {
  struct live {
    std::atomic<std::uint64_t> hint{0};
    std::atomic<std::uint64_t> counts{0};
    std::atomic<std::int64_t> taken{0};
  };
  constexpr unsigned kHalf = 32;
  std::vector<live> from(replicas);
  std::vector<upstream_load> to(replicas);
  std::vector<double> times;
  for (std::size_t i = 0; i < kDecisions / 10; ++i) {
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t j = 0; j < replicas; ++j) {
      const std::uint64_t hint = from[j].hint.load(std::memory_order_relaxed);
      const std::uint64_t counts = from[j].counts.load(std::memory_order_relaxed);
      to[j].in_flight = static_cast<std::uint32_t>(hint);
      to[j].queued = static_cast<std::uint32_t>(hint >> kHalf);
      to[j].limit = static_cast<std::uint32_t>(counts);
      to[j].sent_since = static_cast<std::uint32_t>(counts >> kHalf);
      to[j].age = milliseconds(static_cast<std::int64_t>(i) -
                               from[j].taken.load(std::memory_order_relaxed));
    }
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - begin;
    times.push_back(took.count());
  }
  std::sort(times.begin(), times.end());
  std::printf("copy of %zu loads from atomics: p50 %.0f ns\n", replicas, times[times.size() / 2]);
}

void PrintRecordSize(std::size_t replicas) {
  const scene made = MakeScene(replicas, 60, 2, 1);
  const route_input input{made.table, made.loads, {.prefix = made.prompts[0]}, {}, {}};
  const route_policy& policy = *FindRoutePolicy(kDefaultRoutePolicy);
  const auto begin = std::chrono::steady_clock::now();
  const auto record = MakeRouteRecord("r", {}, policy, input, Choose(policy, input));
  const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begin;
  const std::string text = boost::json::serialize(ToJson(record));
  std::printf("record of one decision, %zu replicas: %zu bytes, made in %.0f us\n", replicas,
              text.size(), took.count());
}

}  // namespace

void RunDecisionTime() {
  const std::array<load_case, 7> cases{{
      {"half loaded, one region", 50, 1, false, {}},
      {"half loaded, cache index", 50, 1, true, {}},
      {"two regions, version, adapter",
       50,
       2,
       true,
       {.deadline = milliseconds(5000),
        .model_version = "m0",
        .adapter = "fr",
        .failure_domain = "domain-0",
        .region = "region-0"}},
      {"weights of 100 to 400", 50, 1, true, {}, 4},
      {"second attempt", 50, 1, true, {.tried = kTried}},
      {"all at their limit", 110, 1, true, {}},
      {"all full, rejected", 500, 1, true, {}},
  }};
  text_table table({"policy and case", "replicas", "p10 ns", "p50 ns", "p99 ns", "allocations"});
  for (const load_case& one : cases) {
    for (const std::size_t replicas : {16U, 128U, 620U, 2500U}) {
      const scene made = MakeScene(replicas, one.held, one.regions, one.weights);
      const timing took = Time(*FindRoutePolicy(kDefaultRoutePolicy), made, one.request, one.index);
      table.Row({"quincebank, " + std::string(one.name), std::to_string(replicas),
                 Fixed(took.p10_ns, 0), Fixed(took.p50_ns, 0), Fixed(took.p99_ns, 0),
                 Fixed(took.allocations, 2)});
    }
  }
  for (const route_policy& policy : RoutePolicies().subspan(1)) {
    const scene made = MakeScene(620, 50, 1, 1);
    const timing took = Time(policy, made, {}, false);
    table.Row({std::string(policy.name), "620", Fixed(took.p10_ns, 0), Fixed(took.p50_ns, 0),
               Fixed(took.p99_ns, 0), Fixed(took.allocations, 2)});
  }
  table.Print();
  for (const std::size_t replicas : {16U, 620U}) {
    PrintCopyTime(replicas);
    PrintRecordSize(replicas);
  }
}

}  // namespace quincebank
