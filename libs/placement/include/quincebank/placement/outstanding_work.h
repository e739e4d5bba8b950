#pragma once

#include <cstdint>

#include "quincebank/base/time.h"
#include "quincebank/placement/work_estimate.h"

namespace quincebank {

/// \brief Part of the outstanding work of one upstream that one attempt accounts for.
struct assigned_work {
  work_amount left;
  double held_tokens = 0;  ///< Tokens in the memory of the engine.
};

/// \brief Load that an engine reports, of all entries together.
struct reported_work {
  int running = 0;
  int waiting = 0;
  std::int64_t kv_used = 0;  ///< Tokens in its memory; 0 if unknown.
  int pace = 0;              ///< Speed in per mille of the configured one; 0 if unknown.
};

/// \brief Outstanding work of one upstream, as seen by one entry (instance of the load balancer).
///
/// The requests of this entry are counted exactly and reduced as their events arrive. Those of
/// other entries are taken from the load report at the mean cost of a request.
///
/// The speed of an upstream without reports is learned from its own answers. It returns to the mean
/// speed when there are none, since a slow upstream gets few requests and would stay slow forever.
///
/// Not thread-safe.
class outstanding_work {
 public:
  /// \brief An attempt is sent.
  void OnSend(assigned_work& share, const work_amount& predicted) noexcept;
  /// \brief The attempt has received output: its prompt is processed.
  /// \param least_left  output that a request has left until its end; it may exceed the prediction.
  void OnOutput(assigned_work& share, double tokens, double least_left) noexcept;
  /// \brief The attempt has ended.
  void OnEnd(assigned_work& share) noexcept;

  /// \brief The engine reports its load.
  void OnReport(const reported_work& report, time_point now) noexcept;
  /// \brief A request without tokens was answered.
  /// \param predicted  its duration on an upstream of mean speed.
  void OnAnswered(nanoseconds duration, nanoseconds predicted, time_point now) noexcept;

  /// \brief Outstanding work of all entries.
  /// \param other_requests  requests of other entries, from a recent report.
  [[nodiscard]] work_amount Total(int other_requests, const mean_work& mean) const noexcept;
  /// \brief Tokens that the memory of the engine will hold at the most likely end of all requests.
  [[nodiscard]] double ExpectedMemory(int other_requests, const mean_work& mean) const noexcept;
  /// \brief Speed in relation to the configured one, or to the mean of the service; 1 if unknown. A
  /// reported pace holds for a second.
  [[nodiscard]] double speed(time_point now) const noexcept;

  /// \brief Work of this entry's own requests.
  [[nodiscard]] const work_amount& own() const noexcept { return own_; }

 private:
  /// Requests of other entries that wait in the queue of the engine.
  [[nodiscard]] int OthersWaiting(int other_requests) const noexcept;

  work_amount own_;
  double own_held_tokens_ = 0;
  int own_requests_ = 0;
  reported_work report_;
  time_point reported_at_{};
  double mean_pace_ = 0;         ///< Over the most recent reports; 0 if unknown.
  double learned_slowness_ = 1;  ///< Duration in relation to the prediction, moving average.
  time_point learned_at_{};
};

}  // namespace quincebank
