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
  double quantile = 0.95;         ///< A request slower than this share of others may be hedged.
  std::size_t min_samples = 100;  ///< No hedge before this many latencies were observed.
  milliseconds min_delay{20};     ///< No hedge earlier than this.

  [[nodiscard]] bool operator==(const hedge_settings&) const noexcept = default;
};

/// \brief What a `hedge_policy` knows of the service's latencies.
struct latency_summary {
  std::size_t samples = 0;
  milliseconds quantile{0};  ///< The observed quantile; 0 without samples.
};

/// \brief All that the decision on one hedge reads.
struct hedge_input {
  hedge_settings settings;
  latency_summary latency;
  bool repeatable = false;
  milliseconds elapsed{0};      ///< Since the first copy was sent, without a byte of its body.
  bool other_upstream = false;  ///< Whether an upstream was chosen for the second copy.
  bool budget_granted = false;  ///< Whether the retry budget gave a token.
};

/// \brief Why a second copy was or was not sent.
enum class hedge_reason : std::uint8_t {
  kSend,           ///< Slower than the quantile, and an upstream and the budget have room.
  kNotRepeatable,  ///< The request may run only once.
  kFewSamples,     ///< Too little is known of the service's latencies.
  kNotSlow,        ///< The quantile has not passed.
  kNoUpstream,     ///< No other warm upstream has a free place.
  kNoBudget,       ///< The retry budget is used up.
};

/// \brief Returns the form in records, such as `no-budget`.
[[nodiscard]] std::string_view ToString(hedge_reason reason) noexcept;

/// \brief Returns how long to wait before a hedge; nothing if the request is never hedged.
[[nodiscard]] std::optional<milliseconds> HedgeDelay(const hedge_settings& settings,
                                                     const latency_summary& latency,
                                                     bool repeatable) noexcept;
/// \brief Decides on one hedge.
[[nodiscard]] hedge_reason DecideHedge(const hedge_input& input) noexcept;

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
  [[nodiscard]] const hedge_settings& settings() const noexcept { return settings_; }
  [[nodiscard]] latency_summary LatencySummary() const;

 private:
  const hedge_settings settings_;
  latency_quantile latencies_;
};

}  // namespace quincebank
