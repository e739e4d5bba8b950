#include <malloc.h>

#include <array>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "experiments.h"
#include "policy.h"
#include "quincebank/admission/gate.h"
#include "quincebank/base/random.h"
#include "quincebank/telemetry/counter.h"
#include "quincebank/telemetry/latency_histogram.h"
#include "quincebank/telemetry/objective_table.h"

namespace quincebank::bench {
namespace {

constexpr std::array<std::uint64_t, 5> kWorkspaces{10, 1'000, 10'000, 25'000, 50'000};
constexpr int kRequests = 400'000;
constexpr int kAdds = 5'000'000;

std::size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

class stopwatch {
 public:
  [[nodiscard]] double NanosPer(int count) const {
    const auto elapsed = std::chrono::steady_clock::now() - start_;
    return std::chrono::duration<double, std::nano>(elapsed).count() / count;
  }

 private:
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
};

/// Offers three requests for each finish, so that the queue stays full and most are rejected.
void RunGate(std::uint64_t workspaces, std::uint64_t seed) {
  const std::size_t before = AllocatedBytes();
  auto gate = std::make_unique<admission_gate>(GateSettings());
  random_source random(seed);
  time_point now{seconds(1)};
  std::vector<admission_ticket> running;
  running.reserve(kFullLimit);
  std::size_t served = 0;
  const stopwatch watch;
  for (int i = 0; i < kRequests; ++i) {
    now += milliseconds(1);
    // One request in two comes from ten large workspaces.
    const std::uint64_t workspace =
        random.Below(2) == 0 ? random.Below(10) : random.Below(workspaces);
    const admission_decision decision =
        gate->Offer({.workspace = Mix64(workspace + 1),
                     .weight = 1 + static_cast<std::uint32_t>(workspace % 3),
                     .priority = static_cast<std::uint8_t>(random.Below(10)),
                     .deadline = seconds(60)},
                    now);
    if (decision.admitted())
      running.push_back(decision.ticket);
    if (i % 3 == 0 && !running.empty()) {
      std::swap(running[random.Below(running.size())], running.back());
      gate->Finish(running.back(), work_outcome::kServed, milliseconds(1000), now);
      running.pop_back();
      ++served;
    }
    const queue_changes changes = gate->ProcessQueue(now);
    running.insert(running.end(), changes.admitted.begin(), changes.admitted.end());
  }
  const double nanos = watch.NanosPer(kRequests);
  std::printf("%10d %12.1f %14.0f %10d %8d\n", static_cast<int>(workspaces),
              static_cast<double>(AllocatedBytes() - before) / 1024, nanos,
              static_cast<int>(served), static_cast<int>(gate->State().queued));
}

void RunObjectives(std::uint64_t workspaces, std::uint64_t seed) {
  std::vector<objective> objectives(workspaces + 1);
  std::vector<std::string> names(workspaces);
  for (std::uint64_t i = 0; i < workspaces; ++i) {
    names[i] = "workspace-" + std::to_string(i);
    objectives[i].service = "munshi";
    objectives[i].workspace = names[i];
  }
  objectives.back().service = "munshi";
  const time_point now{seconds(100'000)};
  const std::size_t before = AllocatedBytes();
  const ref_ptr<objective_table> table(new objective_table(objectives, {}, now));
  const std::size_t empty = AllocatedBytes() - before;
  random_source random(seed);
  const stopwatch watch;
  for (int i = 0; i < kRequests; ++i)
    table->RecordServed("munshi", names[random.Below(workspaces)], milliseconds(500), now);
  const double nanos = watch.NanosPer(kRequests);
  const std::size_t used = AllocatedBytes() - before;
  const stopwatch snapshot;
  const burn_counts counts = table->Counts("node", now);
  const double snapshot_ms = snapshot.NanosPer(1) / 1e6;
  const std::size_t json_bytes = boost::json::serialize(ToJson(counts)).size();
  std::printf("%10d %12.1f %12.1f %14.0f %14.2f %10.1f\n", static_cast<int>(workspaces),
              static_cast<double>(empty) / 1024, static_cast<double>(used) / 1024, nanos,
              snapshot_ms, static_cast<double>(json_bytes) / 1024);
}

template <typename Work>
double NanosPerCall(int calls, const Work& work) {
  const stopwatch watch;
  for (int i = 0; i < calls; ++i)
    work();
  return watch.NanosPer(calls);
}

}  // namespace

void RunSlopes(std::uint64_t seed) {
  std::printf(
      "\nGate by workspaces, overloaded: heap held and time of one offer with its share of finishes"
      "\n(real clock, one thread).\n%10s %12s %14s %10s %8s\n",
      "workspaces", "heap KiB", "ns/request", "served", "queued");
  for (const std::uint64_t workspaces : kWorkspaces)
    RunGate(workspaces, seed);

  std::printf(
      "\nObjective table with an objective for every workspace: heap before and after requests of"
      "\nrandom workspaces, time of one record (service and workspace) and of one snapshot, and "
      "its size as JSON.\n"
      "%10s %12s %12s %14s %14s %10s\n",
      "workspaces", "empty KiB", "used KiB", "ns/record", "snapshot ms", "JSON KiB");
  for (const std::uint64_t workspaces : kWorkspaces)
    RunObjectives(workspaces, seed);

  counter total;
  latency_histogram latency;
  std::printf("\nOne thread: counter add %.1f ns, histogram record %.1f ns.\n",
              NanosPerCall(kAdds, [&] { total.Add(); }),
              NanosPerCall(kAdds, [&] { latency.Record(milliseconds(70)); }));
  std::printf("Counted %lld and %lld.\n", static_cast<long long>(total.Value()),
              static_cast<long long>(latency.Counts().total()));
}

}  // namespace quincebank::bench
