#pragma once

#include <cstddef>
#include <cstdint>

#include "quincebank/admission/request.h"
#include "quincebank/admission/settings.h"
#include "quincebank/base/time.h"

namespace quincebank {

/// \brief State of a `concurrency_limit` when work was started, as counts of its earlier changes.
struct limit_revision {
  std::uint32_t round = 0;      ///< Rounds before it; each change of the limit starts one.
  std::uint32_t decreases = 0;  ///< Decreases of the limit before it.
};

/// \brief Adaptive concurrency limit of one upstream, driven by service times and errors.
///
/// The limit starts at the cold limit, grows by a factor up to a slow-start threshold and by single
/// steps above it, and falls by a factor. A round is the time between two changes of the limit.
/// Work is good if its service time is at most `ramp_settings::good_service_time`, else slow. Only
/// good work that was started in the current round and finished while the limit was nearly used up
/// counts towards an increase. Slow or failed work counts if it was started after the last
/// decrease, so that one overload lowers the limit only once. Not thread-safe.
class concurrency_limit {
 public:
  /// \param cold  initial limit and lower bound.
  /// \param full  upper bound.
  concurrency_limit(std::size_t cold, std::size_t full, const ramp_settings& ramp) noexcept;

  [[nodiscard]] std::size_t limit() const noexcept { return limit_; }
  /// \brief Returns true from the start or a reset until the limit is first due to increase.
  [[nodiscard]] bool cold() const noexcept { return cold_; }
  /// \brief Returns true at the upper bound.
  [[nodiscard]] bool full() const noexcept { return limit_ == full_limit_; }
  /// \brief Returns the state to keep with work that starts now.
  [[nodiscard]] limit_revision revision() const noexcept { return {round_, decreases_}; }

  /// \brief Records finished work and adjusts the limit.
  /// \param started  `revision()` when the work was started.
  /// \param in_flight  work in flight, including the finished work.
  void OnFinish(limit_revision started,
                work_outcome outcome,
                milliseconds service_time,
                std::size_t in_flight) noexcept;
  /// \brief Records the service time so far of running work. Slow work counts as in `OnFinish`;
  /// good work does not count towards an increase.
  void OnProgress(limit_revision started,
                  milliseconds service_time,
                  std::size_t in_flight) noexcept;
  /// \brief Sets the limit back to the cold limit.
  void ResetToCold() noexcept;
  /// \brief Changes the bounds. The limit moves only as far as the new bounds require (a cold limit
  /// follows the cold bound); beyond that it still grows only after good work.
  void SetBounds(std::size_t cold, std::size_t full) noexcept;
  /// \brief Changes `ramp_settings::warm_requests`.
  void SetWarmRequests(std::size_t count) noexcept { ramp_.warm_requests = count; }

 private:
  /// Counts work with a known service time, and consecutive spikes.
  /// \returns False if the limit was reset to cold; the caller must then count nothing more.
  [[nodiscard]] bool CountServiceTime(milliseconds service_time) noexcept;
  /// Raises the limit by one step of the ramp, up to the upper bound.
  void Increase() noexcept;
  void Decrease(std::size_t limit) noexcept;
  /// Discards the counts of the previous round.
  void StartRound() noexcept;
  /// Changes the limit if the counts of the round call for it.
  void Adjust(std::size_t in_flight) noexcept;
  /// Lowers the limit below the concurrency in use.
  void DecreaseBelow(std::size_t in_flight) noexcept;

  std::size_t cold_limit_;
  std::size_t full_limit_;
  ramp_settings ramp_;
  std::size_t limit_;
  /// Limit from which on growth is by single steps, since the upstream was too slow above it.
  std::size_t slow_start_threshold_;
  std::uint32_t round_ = 0;
  std::uint32_t decreases_ = 0;
  std::size_t good_ = 0;      ///< Good work of this round that counts towards an increase.
  std::size_t finished_ = 0;  ///< All work counted in the current window of the round.
  std::size_t slow_ = 0;      ///< Slow or failed work in the same window.
  std::size_t consecutive_spikes_ = 0;
  std::size_t good_since_reset_ = 0;  ///< Good work since the last reset, in all rounds.
  bool cold_ = true;
};

}  // namespace quincebank
