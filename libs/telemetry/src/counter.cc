#include "quincebank/telemetry/counter.h"

namespace quincebank {

std::size_t counter::ThreadShard() noexcept {
  static std::atomic<std::size_t> next{0};
  thread_local std::size_t shard = next.fetch_add(1, std::memory_order_relaxed) % kShards;
  return shard;
}

std::uint64_t counter::Value() const noexcept {
  std::uint64_t sum = 0;
  for (const shard& part : shards_)
    sum += part.value.load(std::memory_order_relaxed);
  return sum;
}

}  // namespace quincebank
