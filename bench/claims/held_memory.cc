#include "held_memory.h"

#include <malloc.h>

#include <string>

#include "quincebank/base/random.h"
#include "quincebank/idempotency/idempotency.h"

namespace quincebank::bench {
namespace {

double HeapBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

}  // namespace

memory_result MeasureLedger(std::size_t attempts, std::size_t answer_bytes) {
  constexpr incarnation kSelf{1};
  const wall_time wall{seconds(1'800'000'000)};
  const time_point now{};
  random_source random(1);
  const std::string answer(answer_bytes, 'x');
  const std::string headers = "content-type: application/json";
  const double before = HeapBytes();
  attempt_ledger ledger(
      kSelf, {.max_answer_bytes = std::size_t{1} << 30U, .max_total_bytes = std::size_t{1} << 31U},
      now, wall);
  for (std::size_t i = 0; i < attempts; ++i) {
    const attempt_id id = NewTimedAttemptId(random, wall);
    if (ledger.Begin(id, kSelf, now) != begin_outcome::kStart)
      return {};
    ledger.SetHead(id, 200, headers);
    ledger.Append(id, answer);
    ledger.Complete(id, 200, now);
  }
  const double held = HeapBytes();
  ledger.Expire(now + ledger_limits().answer_retention);
  const double evicted = HeapBytes();
  const auto count = static_cast<double>(attempts);
  return {(held - before) / count, (evicted - before) / count};
}

}  // namespace quincebank::bench
