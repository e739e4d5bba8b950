#pragma once

#include <cstddef>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief How fast the line of one service advances, from the turns of the last moments.
class queue_wait_estimator {
 public:
  /// \brief A request has joined an empty line.
  void OnQueueStart(time_point now) noexcept;
  /// \brief A request has left the line because it found room.
  void OnDequeue(time_point now) noexcept;
  /// \brief Expected wait of a request that joins behind others.
  /// \returns 0 if too few turns have been seen to tell.
  [[nodiscard]] milliseconds EstimateWait(std::size_t ahead, time_point now) const noexcept;

 private:
  nanoseconds mean_interval_{0};  ///< Between two turns, on average over the last.
  int samples_ = 0;               ///< Turns since the figure was begun.
  time_point last_dequeue_{};     ///< Last turn, or the beginning of the line.
};

}  // namespace quincebank
