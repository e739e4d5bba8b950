#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "quincebank/admission/hedge_policy.h"
#include "quincebank/config/document.h"

namespace quincebank {

/// \brief Returns the settings of the policy that a configuration asks for.
[[nodiscard]] inline hedge_settings HedgeSettingsOf(const hedging_config& from) {
  constexpr double kPercent = 100.0;
  return {from.quantile_percent / kPercent, from.min_samples, from.min_delay};
}

/// \brief Hedge policies of one entry, one for each service. Safe for use by several threads.
class hedge_book {
 public:
  void Observe(const std::string& service, const hedge_settings& settings, milliseconds latency) {
    const std::lock_guard lock(mutex_);
    PolicyOf(service, settings).Observe(latency);
  }
  [[nodiscard]] latency_summary LatencySummary(const std::string& service,
                                               const hedge_settings& settings) {
    const std::lock_guard lock(mutex_);
    return PolicyOf(service, settings).LatencySummary();
  }

 private:
  /// Changed settings start without latencies.
  hedge_policy& PolicyOf(const std::string& service, const hedge_settings& settings) {
    const auto found = policies_.find(service);
    if (found != policies_.end() && found->second.settings() == settings)
      return found->second;
    policies_.erase(service);
    return policies_.try_emplace(service, settings).first->second;
  }

  std::mutex mutex_;
  std::map<std::string, hedge_policy> policies_;
};

}  // namespace quincebank
