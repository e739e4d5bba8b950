#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "quincebank/admission/latency_quantile.h"
#include "quincebank/admission/retry_budget.h"
#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Settings of a `hedge_policy`.
struct hedge_settings {
  double quantile = 0.95;         ///< Latency quantile after which a request may be hedged.
  std::size_t min_samples = 100;  ///< Latencies to observe before the first hedge.
  milliseconds min_delay{20};     ///< Lower bound of the delay of a hedge.

  [[nodiscard]] bool operator==(const hedge_settings&) const noexcept = default;
};

/// \brief Latencies of a service as observed by a `hedge_policy`.
struct latency_summary {
  std::size_t samples = 0;   ///< Latencies observed since the start.
  milliseconds quantile{0};  ///< Latency at `hedge_settings::quantile`; 0 without samples.
};

/// \brief Inputs of `DecideHedge`.
struct hedge_input {
  hedge_settings settings;
  latency_summary latency;
  bool repeatable = false;      ///< Whether the request may run more than once.
  milliseconds elapsed{0};      ///< Since the first copy was sent; no byte of its body has arrived.
  bool other_upstream = false;  ///< Whether an upstream was found for the second copy.
  bool budget_granted = false;  ///< Whether a token was taken from the retry budget.
};

/// \brief Why a hedge was or was not sent.
enum class hedge_reason : std::uint8_t {
  kSend,           ///< The hedge delay has passed, and an upstream and a token are available.
  kNotRepeatable,  ///< The request must not run more than once.
  kFewSamples,     ///< Fewer than `min_samples` latencies were observed.
  kNotSlow,        ///< The hedge delay has not passed.
  kNoUpstream,     ///< No other warm upstream has a free slot.
  kNoBudget,       ///< The retry budget has no token left.
};

/// \brief Returns the name used in records, such as `no-budget`.
[[nodiscard]] std::string_view ToString(hedge_reason reason) noexcept;

/// \brief Returns the time from sending the first copy to its hedge.
/// \returns Nothing if the request is not repeatable or too few latencies were observed.
[[nodiscard]] std::optional<milliseconds> HedgeDelay(const hedge_settings& settings,
                                                     const latency_summary& latency,
                                                     bool repeatable) noexcept;
/// \brief Decides whether to send a hedge.
[[nodiscard]] hedge_reason DecideHedge(const hedge_input& input) noexcept;

/// \brief Decides when to hedge a slow request, that is, to send a second copy to another upstream.
///
/// Only repeatable requests are hedged, and only after the observed latency quantile. Each hedge
/// takes a token from the retry budget. Not thread-safe.
///
/// \example
///   if (const auto delay = hedge.Delay(repeatable))
///     WaitForAnswer(*delay);
///   if (hedge.TryHedge(repeatable, elapsed, budget))
///     SendCopy();
class hedge_policy {
 public:
  explicit hedge_policy(const hedge_settings& settings = {});

  /// \brief Records the latency of a first copy, never of a hedge. If the first copy was cancelled
  /// because its hedge was faster, this is the time until the cancellation.
  void Observe(milliseconds latency);
  /// \brief Returns `HedgeDelay` for the latencies observed so far.
  [[nodiscard]] std::optional<milliseconds> Delay(bool repeatable) const;
  /// \brief Takes a token from the budget if a hedge is due after `elapsed`.
  /// \returns True if the hedge is to be sent.
  [[nodiscard]] bool TryHedge(bool repeatable, milliseconds elapsed, retry_budget& budget) const;
  [[nodiscard]] const hedge_settings& settings() const noexcept { return settings_; }
  /// \brief Returns the sample count and the quantile of the latencies observed so far.
  [[nodiscard]] latency_summary LatencySummary() const;

 private:
  const hedge_settings settings_;
  latency_quantile latencies_;
};

}  // namespace quincebank
