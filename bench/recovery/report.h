#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "callers.h"
#include "quincebank/base/time.h"
#include "quincebank/testing/deployment.h"

namespace quincebank {

/// \brief Time from one fault to the next.
struct fault_window {
  std::string name;
  time_point from;
  time_point to;
};

/// \brief Times above which a request counts as slow.
struct slow_limits {
  milliseconds draft{0};
  milliseconds order{0};

  [[nodiscard]] milliseconds Of(call_kind kind) const noexcept {
    return kind == call_kind::kDraft ? draft : order;
  }
};

/// \brief What callers saw of one kind of request in a window.
struct window_counts {
  int ended = 0;
  int not_answered = 0;  ///< Of those that ended.
  int refusals = 0;      ///< Tries that were answered "not run".
  int wrong = 0;
  int felt = 0;      ///< See `Felt`; includes those still open at the end.
  int repeated = 0;  ///< Of those that felt it: not answered at the first try, so not just slow.
  int open = 0;      ///< Slow already, and not ended at the window's end.
  milliseconds last{0};           ///< From the window's start to the end of the last that felt it.
  milliseconds last_repeated{0};  ///< The same for those that were repeated.
  milliseconds p95{0};            ///< Whole time, from the first try to the end of the last.
  milliseconds longest{0};
};

/// Multiple of the steady p95 above which a request counts as slow.
inline constexpr int kSlowMultiple = 3;

/// \brief Returns the limits that follow from a window without a fault.
[[nodiscard]] slow_limits LimitsFrom(const std::vector<call_record>& records,
                                     const fault_window& steady);

/// \brief Whether a request was repeated, ended without an answer or was slow.
[[nodiscard]] bool Felt(const call_record& record, const slow_limits& limits);

[[nodiscard]] window_counts Count(const std::vector<call_record>& records,
                                  call_kind kind,
                                  const fault_window& window,
                                  const slow_limits& limits);

/// \brief Prints a row for each window.
void PrintFaults(const std::vector<call_record>& records,
                 const std::vector<fault_window>& windows,
                 const slow_limits& limits);

/// \brief Orders that broke a promise; all must be 0.
struct order_check {
  std::size_t answered = 0;
  int unsure = 0;          ///< Ended as "may have run", or without a verdict.
  int lost = 0;            ///< Answered but not run.
  int twice = 0;           ///< Run more than once.
  int false_refusals = 0;  ///< Ended as "not run" but run.
};

/// \brief Compares what callers were told with what the plain services ran.
///
/// The services must not have been restarted: they forget their runs.
[[nodiscard]] order_check CheckOrders(deployment& system,
                                      int services,
                                      const std::vector<call_record>& records);
void Print(const order_check& check);

}  // namespace quincebank
