#pragma once

#include <chrono>
#include <memory>
#include <string_view>
#include <vector>

#include "quincebank/experts/rebalance.h"

namespace quincebank::bench {

/// \brief What a policy did after one window.
struct policy_step {
  bool changed = false;
  std::int64_t loaded_weights = 0;
};

/// \brief Chooses the map of the next window from the popularity seen so far.
class policy {
 public:
  virtual ~policy() = default;
  [[nodiscard]] virtual std::string_view name() const = 0;
  virtual policy_step Update(const plan_input& input) = 0;
  [[nodiscard]] const expert_map& map() const noexcept { return map_; }
  void Adopt(expert_map map) { map_ = std::move(map); }

 protected:
  expert_map map_;
};

/// \brief The policies that the experiment compares; the last one is the project's own.
[[nodiscard]] std::vector<std::unique_ptr<policy>> MakePolicies();

}  // namespace quincebank::bench
