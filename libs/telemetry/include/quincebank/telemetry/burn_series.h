#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "quincebank/base/time.h"
#include "quincebank/telemetry/burn_counts.h"
#include "quincebank/telemetry/latency_histogram.h"
#include "quincebank/telemetry/objective.h"

namespace quincebank {

/// \brief Ring of time slots with the counts of one objective. Safe for use by several threads.
class burn_series {
 public:
  burn_series(std::string service,
              std::string workspace,
              milliseconds threshold,
              const burn_settings& settings);
  ~burn_series();
  burn_series(const burn_series&) = delete;
  burn_series& operator=(const burn_series&) = delete;

  void RecordServed(nanoseconds latency, time_point now);
  void RecordFailed(time_point now);
  [[nodiscard]] series_counts Counts(time_point now) const;

  [[nodiscard]] milliseconds threshold() const noexcept { return threshold_; }
  [[nodiscard]] bool SameWindows(const burn_settings& settings) const noexcept;

 private:
  struct slot;
  struct ring;

  /// Returns the position of the slot of this time, cleared of an earlier period's counts.
  [[nodiscard]] std::size_t Current(time_point now);
  [[nodiscard]] ring* Ring();
  [[nodiscard]] std::uint32_t PeriodOf(time_point now) const noexcept;
  [[nodiscard]] std::size_t SlotCount() const noexcept;

  const std::string service_;
  const std::string workspace_;
  const milliseconds threshold_;
  const seconds slot_length_;
  const std::uint32_t long_slots_;
  std::atomic<ring*> ring_{nullptr};
};

}  // namespace quincebank
