#include "quincebank/admission/hedge_policy.h"

#include <algorithm>

namespace quincebank {
namespace {

// Enough latencies that the highest twentieth is more than a handful.
constexpr std::size_t kWindow = 1000;

}  // namespace

hedge_policy::hedge_policy(const hedge_settings& settings)
    : settings_(settings), latencies_(kWindow) {}

void hedge_policy::Observe(milliseconds latency) {
  latencies_.Observe(latency);
}

std::optional<milliseconds> hedge_policy::Delay(bool repeatable) const {
  if (!repeatable || latencies_.samples() < settings_.min_samples)
    return std::nullopt;
  const auto quantile = latencies_.Quantile(settings_.quantile);
  if (!quantile)
    return std::nullopt;
  return std::max(*quantile, settings_.min_delay);
}

bool hedge_policy::TryHedge(bool repeatable, milliseconds elapsed, retry_budget& budget) const {
  const auto delay = Delay(repeatable);
  return delay && elapsed >= *delay && budget.TryRepeat();
}

}  // namespace quincebank
