#pragma once

#include <cstdint>

#include "quincebank/base/ref_counted.h"
#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Detects stalls of a group of upstreams (ranks) that run forward passes in lock-step, and
/// measures its pass time and batch size. Not thread-safe.
///
/// When one rank fails, all ranks stop answering, but refuse requests only seconds later. A group
/// is therefore taken as stalled once its requests receive no data and its passes no longer
/// advance.
class group_liveness : public ref_counted<group_liveness> {
 public:
  /// \brief A request is sent to an upstream of the group.
  void OnSend(time_point now) noexcept {
    if (in_flight_++ == 0)
      last_progress_ = now;
  }
  /// \brief A request has received data from an upstream of the group.
  void OnProgress(time_point now) noexcept { last_progress_ = now; }
  /// \brief A request that was sent has ended.
  void OnEnd() noexcept { --in_flight_; }
  /// \brief A rank reports the number of the last pass that was started.
  void OnPass(std::uint64_t pass_number, time_point now) noexcept;
  /// \brief A rank reports how many requests are in its batch.
  void OnBatchSize(int requests) noexcept;
  /// \brief A rank that may get requests reports how many are in its batch. Ranks of evacuated
  /// failure domains are idle and don't lengthen the passes.
  void OnServingBatchSize(int requests) noexcept;
  /// \brief Mean as `mean_batch_size`, of the ranks that may get requests.
  [[nodiscard]] double mean_serving_batch_size() const noexcept { return mean_serving_batch_size_; }
  /// \brief Mean number of requests in the batch of a rank, over the most recent reports.
  [[nodiscard]] double mean_batch_size() const noexcept { return mean_batch_size_; }
  /// \brief A rank reports its speed, in per mille of the configured one.
  void OnPace(int pace) noexcept;
  /// \brief Speed of most ranks, in per mille; 0 if unknown.
  [[nodiscard]] double usual_pace() const noexcept { return usual_pace_; }
  /// \brief Number of the last pass that a rank has reported.
  [[nodiscard]] std::uint64_t last_pass() const noexcept { return last_pass_; }
  /// \brief Duration of one pass; 0 if it is unknown or the group is idle.
  [[nodiscard]] nanoseconds PassTime(time_point now) const noexcept;

  /// \brief Whether several requests are in flight, and for `kStallTimeout` none has received data
  /// and no new pass was reported.
  [[nodiscard]] bool IsStalled(time_point now) const noexcept {
    return in_flight_ >= kMinWaitingRequests && now - last_progress_ >= kStallTimeout;
  }

 private:
  /// A single request without data may just be waiting in the queue of an engine.
  static constexpr int kMinWaitingRequests = 2;
  /// Several of the longest passes, but shorter than a group that has lost a rank takes to refuse
  /// requests.
  static constexpr milliseconds kStallTimeout{500};

  int in_flight_ = 0;
  time_point last_progress_{};   ///< Last data, new pass, or first send to an idle group.
  std::uint64_t last_pass_ = 0;  ///< Number of the last reported pass.
  time_point last_pass_at_{};    ///< Start of the current measurement of the pass time.
  nanoseconds pass_time_{0};
  double mean_batch_size_ = 0;
  double usual_pace_ = 0;
  double mean_serving_batch_size_ = 0;
};

}  // namespace quincebank
