#pragma once

#include <cstddef>
#include <cstdint>

#include "quincebank/admission/request.h"
#include "quincebank/admission/settings.h"
#include "quincebank/base/time.h"

namespace quincebank {

/// \brief When work was started, in terms of changes of the limit.
struct limit_revision {
  std::uint32_t round = 0;      ///< Changes of the limit before it.
  std::uint32_t decreases = 0;  ///< Decreases of the limit before it.
};

/// \brief Concurrency limit that is raised only on evidence and falls at once.
///
/// Evidence for a raise is good work that was started under the present limit and finished while
/// the limit was used. Bad work counts if it was started after the last decrease, so that one
/// overload lowers the limit once.
class concurrency_limit {
 public:
  concurrency_limit(std::size_t cold, std::size_t full, const ramp_settings& ramp) noexcept;

  [[nodiscard]] std::size_t limit() const noexcept { return limit_; }
  [[nodiscard]] bool cold() const noexcept { return cold_; }
  [[nodiscard]] bool full() const noexcept { return limit_ == full_limit_; }
  [[nodiscard]] limit_revision revision() const noexcept { return {round_, decreases_}; }

  /// \param in_flight  work in flight, the finished one included.
  void OnFinish(limit_revision started,
                work_outcome outcome,
                milliseconds service_time,
                std::size_t in_flight) noexcept;
  /// \brief Judges work that still runs. Slow work counts as in `OnFinish`; good work is no
  /// evidence for a raise.
  void OnProgress(limit_revision started,
                  milliseconds service_time,
                  std::size_t in_flight) noexcept;
  /// \brief Returns to the cold limit.
  void ResetToCold() noexcept;
  /// \brief Changes the bounds. The limit moves only as far as the new bounds require; above that
  /// it is still raised only on evidence.
  void SetBounds(std::size_t cold, std::size_t full) noexcept;
  void SetWarmRequests(std::size_t count) noexcept { ramp_.warm_requests = count; }

 private:
  /// Counts slow work and spikes.
  /// \returns False if the limit fell back, after which nothing more is to be counted.
  [[nodiscard]] bool CountServiceTime(milliseconds service_time) noexcept;
  void Increase() noexcept;
  void Decrease(std::size_t limit) noexcept;
  void StartRound() noexcept;
  void Adjust(std::size_t in_flight) noexcept;
  void DecreaseBelow(std::size_t in_flight) noexcept;

  std::size_t cold_limit_;
  std::size_t full_limit_;
  ramp_settings ramp_;
  std::size_t limit_;
  /// Limit above which growth is by single steps, since a higher one was too slow before.
  std::size_t slow_start_threshold_;
  std::uint32_t round_ = 0;
  std::uint32_t decreases_ = 0;
  std::size_t good_ = 0;      ///< Evidence for a raise in this round.
  std::size_t finished_ = 0;  ///< All work that finished in this window of a round.
  std::size_t slow_ = 0;      ///< Slow or failed work in the same window.
  std::size_t consecutive_spikes_ = 0;
  std::size_t good_since_reset_ = 0;  ///< Good work since the last fallback, in all rounds.
  bool cold_ = true;
};

}  // namespace quincebank
