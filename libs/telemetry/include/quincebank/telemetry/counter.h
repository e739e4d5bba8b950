#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace quincebank {

/// \brief Counter that many threads add to without sharing a cache line.
///
/// Each thread adds to one of a few shards; reading sums them. Sums only grow, but a reader may
/// miss what is being added at that moment.
class counter {
 public:
  counter() = default;
  counter(const counter&) = delete;
  counter& operator=(const counter&) = delete;

  void Add(std::uint64_t amount = 1) noexcept {
    shards_[ThreadShard()].value.fetch_add(amount, std::memory_order_relaxed);
  }
  [[nodiscard]] std::uint64_t Value() const noexcept;

 private:
  static constexpr std::size_t kShards = 8;
  static constexpr std::size_t kCacheLine = 64;

  struct alignas(kCacheLine) shard {
    std::atomic<std::uint64_t> value{0};
  };

  [[nodiscard]] static std::size_t ThreadShard() noexcept;

  std::array<shard, kShards> shards_;
};

/// \brief Value that goes up and down. Safe for use by several threads.
class gauge {
 public:
  gauge() = default;
  gauge(const gauge&) = delete;
  gauge& operator=(const gauge&) = delete;

  void Set(std::int64_t value) noexcept { value_.store(value, std::memory_order_relaxed); }
  void Add(std::int64_t amount) noexcept { value_.fetch_add(amount, std::memory_order_relaxed); }
  [[nodiscard]] std::int64_t Value() const noexcept {
    return value_.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::int64_t> value_{0};
};

}  // namespace quincebank
