#pragma once

#include <atomic>
#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>

#include "quincebank/base/time.h"

namespace quincebank {

class memory_budget;

/// \brief Bytes that are reserved in a budget. Gives them back when it is destroyed.
class memory_reservation {
 public:
  explicit memory_reservation(memory_budget& budget) noexcept : budget_(&budget) {}
  ~memory_reservation();
  memory_reservation(memory_reservation&& other) noexcept;
  memory_reservation& operator=(memory_reservation&& other) noexcept;
  memory_reservation(const memory_reservation&) = delete;
  memory_reservation& operator=(const memory_reservation&) = delete;

  /// \brief Grows the reservation if the budget has room.
  [[nodiscard]] bool TryGrowTo(std::size_t bytes);
  /// \brief Sets the size without a check, for bytes that are held already.
  void Set(std::size_t bytes) noexcept;
  [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }

 private:
  memory_budget* budget_;
  std::size_t bytes_ = 0;
};

/// \brief Body of a request that is being read. The budget evicts it if it makes no progress while
/// memory is short.
class unfinished_body : public boost::intrusive::list_base_hook<> {
 public:
  /// \param evict  ends the read; called at most once, by any thread, and must not block.
  unfinished_body(memory_budget& budget, std::function<void()> evict, time_point now);
  ~unfinished_body();
  unfinished_body(const unfinished_body&) = delete;
  unfinished_body& operator=(const unfinished_body&) = delete;

  /// \brief Records that another part of the body has arrived.
  void OnProgress(time_point now);
  [[nodiscard]] memory_reservation& memory() noexcept { return memory_; }

 private:
  friend class memory_budget;

  memory_budget& budget_;
  memory_reservation memory_;
  std::function<void()> evict_;
  time_point last_progress_;
  bool evicted_ = false;
};

/// \brief Upper limit on the bytes that a process buffers for its clients. Thread-safe.
///
/// Counts bodies of requests, buffered responses and streams that wait for a slow reader. A quarter
/// is reserved for small requests, so that large bodies cannot block them.
class memory_budget {
 public:
  /// Requests up to this size may use the whole budget.
  static constexpr std::size_t kSmallBytes = std::size_t{64} * 1024;
  /// Bodies without progress for this time may be evicted.
  static constexpr milliseconds kStallTime{1'000};

  explicit memory_budget(std::size_t limit) noexcept : limit_(limit) {}
  memory_budget(const memory_budget&) = delete;
  memory_budget& operator=(const memory_budget&) = delete;

  /// \brief Returns the budget of this process.
  [[nodiscard]] static memory_budget& OfProcess() noexcept;

  void SetLimit(std::size_t limit) noexcept { limit_ = limit; }
  /// \brief Evicts unfinished bodies that make no progress until `bytes` will become free, those
  /// without progress for the longest time first. Their memory is free when their reads have ended.
  /// \returns Whether there were any.
  [[nodiscard]] bool EvictStalled(std::size_t bytes, time_point now);
  void CountRejection() noexcept { ++rejections_; }

  [[nodiscard]] std::size_t limit() const noexcept { return limit_; }
  [[nodiscard]] std::size_t used() const noexcept { return used_; }
  [[nodiscard]] std::uint64_t rejections() const noexcept { return rejections_; }
  [[nodiscard]] std::uint64_t evictions() const noexcept { return evictions_; }

 private:
  friend class memory_reservation;
  friend class unfinished_body;

  [[nodiscard]] bool TryAdd(std::size_t added, std::size_t total) noexcept;

  std::atomic<std::size_t> limit_;
  std::atomic<std::size_t> used_{0};
  std::atomic<std::uint64_t> rejections_{0};
  std::atomic<std::uint64_t> evictions_{0};
  std::mutex mutex_;                                ///< Guards the list and its elements.
  boost::intrusive::list<unfinished_body> bodies_;  ///< In the order of their last progress.
};

}  // namespace quincebank
