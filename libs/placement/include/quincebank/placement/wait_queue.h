#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "quincebank/admission/fair_queue.h"

namespace quincebank {

/// \brief What decides the turn of a request that finds no room.
struct wait_queue_request {
  std::uint64_t workspace = 0;  ///< Hash of its name.
  int priority = 0;             ///< 0 is served first.
  std::uint32_t cost = 1;       ///< Work that it brings, in usual requests.
};

/// \brief Order of the requests of one service that wait for an upstream with room.
///
/// Answers an overload in which many requests of one entry wait at the same time: the most urgent
/// ones have the first turn, workspaces of the same priority share turns by the work that they
/// bring, so that one that floods the service delays only itself, and requests of one workspace
/// keep their order. The line is bounded; what finds it full is turned away at once.
class wait_queue {
 public:
  /// \brief A request in the line. Belongs to the one that waits.
  struct waiter {
    admission_entry entry;
    int priority = 0;
    bool queued = false;
  };

  /// \param capacity  most requests that wait at the same time.
  explicit wait_queue(std::size_t capacity) : capacity_(capacity) {}

  [[nodiscard]] bool empty() const noexcept { return size_ == 0; }
  [[nodiscard]] std::size_t size() const noexcept { return size_; }

  /// \returns False if the line is full.
  [[nodiscard]] bool TryEnqueue(waiter& waiting, const wait_queue_request& request);
  /// \brief Whether it is the request's turn.
  [[nodiscard]] bool IsFirst(const waiter& waiting) const;
  /// \brief Ends the wait of the first request, which has found room.
  void Dequeue(waiter& waiting);
  /// \brief Ends the wait of a request that gives up.
  void Remove(waiter& waiting);
  /// \brief Counts a request that found room without waiting.
  void Charge(const wait_queue_request& request);

 private:
  /// Workspaces whose recent use is remembered.
  static constexpr std::size_t kMaxIdleWorkspaces = 256;

  [[nodiscard]] fair_queue& QueueOf(int priority);

  const std::size_t capacity_;
  std::size_t size_ = 0;
  std::map<int, fair_queue> queues_;  ///< By priority.
};

}  // namespace quincebank
