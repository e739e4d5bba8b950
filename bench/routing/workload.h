#pragma once

#include <cstdint>
#include <vector>

#include "model.h"

namespace quincebank {

/// \brief One conversation; each turn extends its prompt.
struct conversation {
  std::uint32_t workspace = 0;
  std::uint32_t entry = 0;
  std::uint32_t domain = 0;  ///< Of the caller.
  std::uint32_t turns_left = 1;
  int priority = 5;
  random_source random{0};
  std::vector<std::uint64_t> prompt;
};

/// \brief Draws conversations and turns. The same seed gives the same ones under every policy.
class workload {
 public:
  workload(const workload_model& model, std::uint64_t seed) noexcept;

  [[nodiscard]] sim_time NextArrival() noexcept;
  [[nodiscard]] conversation NewConversation(std::uint32_t domains);
  /// \brief Adds the blocks of the last answer and the next question.
  static void AddTurn(conversation& talk);
  [[nodiscard]] sim_time Think(conversation& talk) const noexcept;
  [[nodiscard]] std::uint32_t Tokens(conversation& talk) const noexcept;

 private:
  [[nodiscard]] std::uint32_t Workspace(random_source& random) const noexcept;

  workload_model model_;
  random_source arrivals_;
  std::uint64_t seed_;
  std::uint64_t count_ = 0;
};

}  // namespace quincebank
