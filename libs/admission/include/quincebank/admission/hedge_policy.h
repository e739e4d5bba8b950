#pragma once

#include <cstddef>
#include <optional>

#include "quincebank/admission/latency_quantile.h"
#include "quincebank/admission/retry_budget.h"
#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Settings of a `hedge_policy`.
struct hedge_settings {
  double quantile = 0.95;         ///< A request slower than this share of others may be hedged.
  std::size_t min_samples = 100;  ///< No hedge before this many latencies were observed.
  milliseconds min_delay{20};     ///< No hedge earlier than this.
};

/// \brief Decides when a second copy of a slow request is sent to another upstream.
///
/// Only repeatable work is hedged, only after the observed latency quantile, and each hedge draws
/// on the retry budget. Not safe for use by several threads at once.
///
/// \example
///   if (const auto delay = hedge.Delay(repeatable))
///     WaitForAnswer(*delay);
///   if (hedge.TryHedge(repeatable, elapsed, budget))
///     SendCopy();
class hedge_policy {
 public:
  explicit hedge_policy(const hedge_settings& settings = {});

  /// \brief Records the latency of a first copy, not a hedge's. For a first copy that was cancelled
  /// because its hedge was faster, the time until then.
  void Observe(milliseconds latency);
  /// \brief Returns how long to wait before a hedge; nothing if this request is never hedged.
  [[nodiscard]] std::optional<milliseconds> Delay(bool repeatable) const;
  /// \brief Decides on one hedge and takes its token from the budget.
  [[nodiscard]] bool TryHedge(bool repeatable, milliseconds elapsed, retry_budget& budget) const;

 private:
  const hedge_settings settings_;
  latency_quantile latencies_;
};

}  // namespace quincebank
