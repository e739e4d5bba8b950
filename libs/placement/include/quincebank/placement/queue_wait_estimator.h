#pragma once

#include <cstddef>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Estimates the wait in the wait queue of one service from the rate at which requests have
/// recently left it.
class queue_wait_estimator {
 public:
  /// \brief A request is about to join an empty queue.
  void OnQueueStart(time_point now) noexcept;
  /// \brief A request has left the queue because it got an upstream.
  void OnDequeue(time_point now) noexcept;
  /// \brief Expected wait of a request that joins the queue behind `ahead` others.
  /// \returns 0 if too few requests have left the queue for an estimate.
  [[nodiscard]] milliseconds EstimateWait(std::size_t ahead, time_point now) const noexcept;

 private:
  nanoseconds mean_interval_{0};  ///< Moving average of the time between two dequeues.
  int samples_ = 0;               ///< Dequeues since the average was reset.
  time_point last_dequeue_{};     ///< Last dequeue, or the time when the queue became non-empty.
};

}  // namespace quincebank
