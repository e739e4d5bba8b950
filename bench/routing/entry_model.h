#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "model.h"

namespace quincebank {

/// \brief What one entry process knows of the upstreams.
class entry_model {
 public:
  entry_model(const sim_config& config, ref_ptr<const routing_table> table, std::uint64_t seed);

  void Hint(std::uint32_t index, const upstream_load& load, sim_time taken);
  void Sent(std::uint32_t index, sim_time at);
  void Answered(std::uint32_t index, sim_time sent_at);
  /// \brief Changes the state of some upstreams and builds a new snapshot.
  void SetStates(const std::vector<std::uint32_t>& indices, upstream_state state);

  /// \brief Makes the input of a decision; valid until the next call.
  [[nodiscard]] route_input Input(const route_request& request,
                                  const route_settings& settings,
                                  sim_time now);
  [[nodiscard]] std::uint64_t NextSeed() noexcept { return random_.Next(); }
  [[nodiscard]] std::uint64_t NextTurn() noexcept { return turn_++; }
  [[nodiscard]] random_source& random() noexcept { return random_; }
  [[nodiscard]] prefix_index* index() noexcept { return index_.get(); }
  [[nodiscard]] const routing_table& table() const noexcept { return *table_; }

 private:
  struct upstream_view {
    upstream_load hint;
    sim_time taken{0};
    std::vector<sim_time> sent;  // Own requests without an answer.
  };

  ref_ptr<const routing_table> table_;
  std::vector<upstream_view> views_;
  std::vector<upstream_load> loads_;
  std::unique_ptr<prefix_index> index_;
  bool correct_load_;
  random_source random_;
  std::uint64_t turn_;
};

}  // namespace quincebank
