#pragma once

#include <cstdint>

#include "quincebank/base/ref_counted.h"
#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Signs of life of a group of upstreams that advance in lock-step. Used by one thread.
///
/// When one rank is gone, all ranks fall silent, and refuse work only seconds later. A group from
/// which no request hears anything is taken as stalled before that.
class group_liveness : public ref_counted<group_liveness> {
 public:
  void OnSend(time_point now) noexcept {
    if (in_flight_++ == 0)
      last_progress_ = now;
  }
  void OnProgress(time_point now) noexcept { last_progress_ = now; }
  void OnEnd() noexcept { --in_flight_; }
  /// \brief A rank tells the last pass that was begun.
  void OnPass(std::uint64_t pass_number, time_point now) noexcept;
  /// \brief A rank tells how many requests are in its batch.
  void OnBatchSize(int requests) noexcept;
  /// \brief Requests in the batch of a rank, on average over the last that told.
  [[nodiscard]] double mean_batch_size() const noexcept { return mean_batch_size_; }
  /// \brief Time of one pass; 0 if it is not known or the group is idle.
  [[nodiscard]] nanoseconds PassTime(time_point now) const noexcept;

  /// \brief Whether several requests wait and none of them has heard anything for a while.
  [[nodiscard]] bool IsStalled(time_point now) const noexcept {
    return in_flight_ >= kMinWaitingRequests && now - last_progress_ >= kStallTimeout;
  }

 private:
  /// One silent request may just be long in a queue.
  static constexpr int kMinWaitingRequests = 2;
  /// Several of the longest passes, and shorter than the stall of a group that has lost a rank.
  static constexpr milliseconds kStallTimeout{500};

  int in_flight_ = 0;
  time_point last_progress_{};
  std::uint64_t last_pass_ = 0;  ///< Last pass that was told, `step_at_` when.
  time_point last_pass_at_{};
  nanoseconds pass_time_{0};
  double mean_batch_size_ = 0;
};

}  // namespace quincebank
