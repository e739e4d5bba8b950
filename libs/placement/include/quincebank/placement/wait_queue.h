#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "quincebank/admission/fair_queue.h"

namespace quincebank {

/// \brief Properties of a request that determine its position in a `wait_queue`.
struct wait_queue_request {
  std::uint64_t workspace = 0;  ///< Hash of the name of its workspace.
  int priority = 0;             ///< 0 is served first.
  std::uint32_t cost = 1;       ///< Work of the request, in units of a typical request.
};

/// \brief Bounded queue of the requests of one service that wait for an upstream with capacity.
///
/// Lower priority values are served first. Workspaces of the same priority share the service fairly
/// by cost, so that a workspace that floods the service delays only itself. Requests of the same
/// workspace and priority are served in order of arrival. A request that finds the queue full is
/// rejected.
class wait_queue {
 public:
  /// \brief A request in the queue. Owned by the caller, which keeps it until it has left the
  /// queue.
  struct waiter {
    admission_entry entry;
    int priority = 0;
    bool queued = false;
  };

  /// \param capacity  maximum number of queued requests.
  explicit wait_queue(std::size_t capacity) : capacity_(capacity) {}

  [[nodiscard]] bool empty() const noexcept { return size_ == 0; }
  [[nodiscard]] std::size_t size() const noexcept { return size_; }

  /// \brief Adds a request to the queue.
  /// \returns False if the queue is full.
  [[nodiscard]] bool TryEnqueue(waiter& waiting, const wait_queue_request& request);
  /// \brief Whether the request is the next to be served.
  [[nodiscard]] bool IsFirst(const waiter& waiting) const;
  /// \brief Removes a request that has got an upstream, and charges its workspace if it is the
  /// first.
  void Dequeue(waiter& waiting);
  /// \brief Removes a request that no longer waits; no effect if it is not queued.
  void Remove(waiter& waiting);
  /// \brief Charges the workspace of a request that got an upstream without waiting.
  void Charge(const wait_queue_request& request);

 private:
  /// Maximum number of workspaces without queued requests whose recent use is kept, per priority.
  static constexpr std::size_t kMaxIdleWorkspaces = 256;

  [[nodiscard]] fair_queue& QueueOf(int priority);

  const std::size_t capacity_;
  std::size_t size_ = 0;
  std::map<int, fair_queue> queues_;  ///< By priority.
};

}  // namespace quincebank
