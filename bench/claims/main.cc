// Measures what claims cost at the key-value service, what an outage costs the order desk, and the
// memory of held answers. All runs use a virtual clock and fixed seeds.

#include <array>
#include <cstdio>

#include "held_memory.h"
#include "outage.h"
#include "quincebank/idempotency/claim_bucket.h"
#include "quincebank/idempotency/retention.h"
#include "space.h"
#include "store_load.h"

namespace quincebank::bench {
namespace {

constexpr seconds kSpan{20};
constexpr std::uint64_t kSeed = 1;

const char* Name(claim_mode mode) {
  static constexpr std::array<const char*, 3> kNames{"single", "batched", "forwarded"};
  return kNames.at(static_cast<std::size_t>(mode));
}

void PrintHeader() {
  std::printf("%-10s %7s %8s %6s | %7s %8s %9s %10s %9s %9s %8s %8s %7s\n", "mode", "entries",
              "orders/s", "slice", "reads/s", "writes/s", "conflicts", "bytes/s", "mean B", "max B",
              "p50 ms", "p99 ms", "refused");
}

void PrintLoad(const load_case& settings) {
  const load_result result = RunLoad(settings, kSpan, kSeed);
  std::printf("%-10s %7zu %8llu %5llds | %7.1f %8.1f %9.1f %10.0f %9zu %9zu %8.1f %8.1f %7zu\n",
              Name(settings.mode), settings.entries,
              static_cast<unsigned long long>(settings.orders_per_second),
              static_cast<long long>(settings.slice.count()), result.reads, result.writes,
              result.conflicts, result.bytes, result.mean_value, result.max_value,
              result.claim_p50_ms, result.claim_p99_ms, result.refused);
}

void CompareModes() {
  std::printf("Claims at the key-value service, %lld s, 4 buckets a slice, window 20 ms, UUIDv7\n",
              static_cast<long long>(kSpan.count()));
  PrintHeader();
  for (const std::uint64_t rate : {10U, 60U, 240U}) {
    for (const std::size_t entries : {8U, 100U, 400U}) {
      for (const claim_mode mode :
           {claim_mode::kSingle, claim_mode::kBatched, claim_mode::kForwarded})
        PrintLoad({.mode = mode, .entries = entries, .orders_per_second = rate});
    }
  }
}

void CompareLayouts() {
  std::printf(
      "\nForwarded, 100 entries: window, slice, buckets, and a service that returns no "
      "index after a swap\n");
  PrintHeader();
  const load_case base{.entries = 100, .orders_per_second = 240};
  for (const milliseconds window :
       {milliseconds(0), milliseconds(5), milliseconds(50), milliseconds(100)}) {
    load_case row = base;
    row.window = window;
    std::printf("window %lld ms\n", static_cast<long long>(window.count()));
    PrintLoad(row);
  }
  for (const seconds slice : {seconds(2), seconds(60)}) {
    load_case row = base;
    row.slice = slice;
    PrintLoad(row);
  }
  for (const std::uint32_t buckets : {1U, 16U}) {
    load_case row = base;
    row.buckets = buckets;
    std::printf("%u buckets\n", buckets);
    PrintLoad(row);
  }
  load_case row = base;
  row.swap_returns_index = false;
  std::printf("no index after a swap\n");
  PrintLoad(row);
}

void PrintCapacity() {
  const claim_bucket empty;
  constexpr std::size_t kClaimBytes = 46;
  const std::size_t count = (kMaxBucketBytes - empty.Bytes()) / kClaimBytes;
  const auto claims = static_cast<double>(count);
  const bucket_layout layout;
  const double kept = std::chrono::duration<double>(kClaimRetention).count();
  std::printf(
      "\nValue limit: %.0f claims a value. Keys that carry no time: %u buckets, at most "
      "%.1f orders/s for the whole retention.\nUUIDv7 keys: at most %.0f orders/s "
      "(%u buckets, slice %lld s).\n",
      claims, layout.plain_buckets, claims * layout.plain_buckets / kept,
      claims * layout.timed_buckets / static_cast<double>(layout.slice.count()),
      layout.timed_buckets, static_cast<long long>(layout.slice.count()));
}

void PrintSpace() {
  std::printf(
      "\nSpace of the claims of 24 h 10 min in the service, UUIDv7 keys, one pass of the sweeper "
      "every 10 s; calls of the sweeper in the last hour\n");
  std::printf("%8s %8s | %9s %8s %8s %8s %8s\n", "orders/s", "reduced", "claims", "MB", "B/claim",
              "reads/s", "writes/s");
  for (const std::uint64_t rate : {10U, 60U, 240U}) {
    for (const bool reduce : {false, true}) {
      const space_result result = MeasureSpace(rate, reduce, kSeed);
      std::printf("%8llu %8s | %9zu %8.1f %8.2f %8.2f %8.2f\n",
                  static_cast<unsigned long long>(rate), reduce ? "yes" : "no", result.claims,
                  result.bytes / 1e6, result.bytes / static_cast<double>(result.claims),
                  result.reads, result.writes);
      std::fflush(stdout);
    }
  }
}

void CompareOutageRules() {
  std::printf("\nOne outage: reject all orders, or serve them from agent memory alone\n");
  std::printf("%10s %8s %12s | %14s %13s | %12s\n", "outage", "orders/s", "lost answers",
              "rejected calls", "mean delay s", "run twice");
  for (const int minutes : {1, 10, 60}) {
    for (const double lost : {0.001, 0.01}) {
      const outage_case settings{.outage = std::chrono::minutes(minutes), .lost_answers = lost};
      const outage_result result = RunOutage(settings, kSeed);
      std::printf("%6d min %8llu %12.3f | %14.0f %13.0f | %12.4f\n", minutes,
                  static_cast<unsigned long long>(settings.orders_per_second), lost,
                  result.rejected, result.mean_delay_s, result.run_twice);
    }
  }
}

void PrintMemory() {
  std::printf("\nAgent memory for each attempt (heap bytes)\n%12s %12s %14s\n", "answer B", "held",
              "answer dropped");
  for (const std::size_t bytes : {0U, 200U, 2'000U, 16'000U}) {
    const memory_result result = MeasureLedger(20'000, bytes);
    std::printf("%12zu %12.0f %14.0f\n", bytes, result.held, result.evicted);
  }
}

}  // namespace
}  // namespace quincebank::bench

int main() {
  quincebank::bench::PrintMemory();
  quincebank::bench::CompareModes();
  quincebank::bench::CompareLayouts();
  quincebank::bench::PrintCapacity();
  quincebank::bench::PrintSpace();
  quincebank::bench::CompareOutageRules();
  return 0;
}
