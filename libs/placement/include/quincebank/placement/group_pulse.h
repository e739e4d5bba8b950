#pragma once

#include <cstdint>

#include "quincebank/base/ref_counted.h"
#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Signs of life of a group of upstreams that advance in lock-step. Used by one thread.
///
/// When one rank is gone, all ranks fall silent, and refuse work only seconds later. A group from
/// which no request hears anything is taken as stalled before that.
class group_pulse : public ref_counted<group_pulse> {
 public:
  void OnSend(time_point now) noexcept {
    if (in_flight_++ == 0)
      heard_ = now;
  }
  void OnHeard(time_point now) noexcept { heard_ = now; }
  void OnEnd() noexcept { --in_flight_; }
  /// \brief A rank tells the last pass that was begun.
  void OnStep(std::uint64_t step, time_point now) noexcept;
  /// \brief A rank tells how many requests are in its batch.
  void OnRunning(int requests) noexcept;
  /// \brief Requests in the batch of a rank, on average over the last that told.
  [[nodiscard]] double running() const noexcept { return running_; }
  /// \brief Time of one pass; 0 if it is not known or the group is idle.
  [[nodiscard]] nanoseconds PassTime(time_point now) const noexcept;

  /// \brief Whether several requests wait and none of them has heard anything for a while.
  [[nodiscard]] bool Stalled(time_point now) const noexcept {
    return in_flight_ >= kLeastWaiting && now - heard_ >= kSilence;
  }

 private:
  /// One silent request may just be long in a queue.
  static constexpr int kLeastWaiting = 2;
  /// Several of the longest passes, and shorter than the stall of a group that has lost a rank.
  static constexpr milliseconds kSilence{500};

  int in_flight_ = 0;
  time_point heard_{};
  std::uint64_t step_ = 0;  ///< Last pass that was told, `step_at_` when.
  time_point step_at_{};
  nanoseconds pass_time_{0};
  double running_ = 0;
};

}  // namespace quincebank
