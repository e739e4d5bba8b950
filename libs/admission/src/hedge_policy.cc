#include "quincebank/admission/hedge_policy.h"

#include <algorithm>
#include <array>

namespace quincebank {
namespace {

// 50 latencies of a full window lie above the default quantile of 0.95.
constexpr std::size_t kSampleWindow = 1000;

constexpr std::array<std::string_view, 6> kReasonNames{"send",     "not-repeatable", "few-samples",
                                                       "not-slow", "no-upstream",    "no-budget"};

}  // namespace

hedge_policy::hedge_policy(const hedge_settings& settings)
    : settings_(settings), latencies_(kSampleWindow) {}

void hedge_policy::Observe(milliseconds latency) {
  latencies_.Observe(latency);
}

latency_summary hedge_policy::LatencySummary() const {
  return {latencies_.samples(), latencies_.Quantile(settings_.quantile).value_or(milliseconds(0))};
}

std::optional<milliseconds> hedge_policy::Delay(bool repeatable) const {
  return HedgeDelay(settings_, LatencySummary(), repeatable);
}

bool hedge_policy::TryHedge(bool repeatable, milliseconds elapsed, retry_budget& budget) const {
  const auto delay = Delay(repeatable);
  return delay && elapsed >= *delay && budget.TryTakeToken();
}

std::string_view ToString(hedge_reason reason) noexcept {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

std::optional<milliseconds> HedgeDelay(const hedge_settings& settings,
                                       const latency_summary& latency,
                                       bool repeatable) noexcept {
  if (!repeatable || latency.samples < settings.min_samples || latency.samples == 0)
    return std::nullopt;
  return std::max(latency.quantile, settings.min_delay);
}

hedge_reason DecideHedge(const hedge_input& input) noexcept {
  if (!input.repeatable)
    return hedge_reason::kNotRepeatable;
  const auto delay = HedgeDelay(input.settings, input.latency, input.repeatable);
  if (!delay)
    return hedge_reason::kFewSamples;
  if (input.elapsed < *delay)
    return hedge_reason::kNotSlow;
  if (!input.other_upstream)
    return hedge_reason::kNoUpstream;
  return input.budget_granted ? hedge_reason::kSend : hedge_reason::kNoBudget;
}

}  // namespace quincebank
