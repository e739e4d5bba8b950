#pragma once

#include <boost/json/object.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "quincebank/expert_group/map_records.h"
#include "quincebank/expert_group/messages_json.h"
#include "quincebank/experts/switch_coordinator.h"
#include "quincebank/rpc/rpc_client.h"

namespace quincebank {

/// \brief Calls the agents of all ranks at the same time and waits for all answers.
/// \returns The results by rank; nothing where the agent gave none.
[[nodiscard]] std::vector<std::optional<boost::json::value>> CallAll(
    rpc_client& rpc,
    const std::vector<endpoint>& agents,
    const std::string& method,
    const boost::json::object& params);

/// \brief As above, with other parameters for each agent.
[[nodiscard]] std::vector<std::optional<boost::json::value>> CallAll(
    rpc_client& rpc,
    const std::vector<endpoint>& agents,
    const std::string& method,
    const std::vector<boost::json::object>& params);

/// \brief Carries out the actions of one `switch_coordinator`. Used by one fiber.
class switch_runner {
 public:
  struct group {
    std::string name;
    std::vector<endpoint> agents;  ///< In the order of the ranks.
    step_number margin = 0;
  };
  /// Suspends the fiber; returns true if the process stops.
  using wait_function = std::function<bool(milliseconds)>;

  switch_runner(rpc_client& rpc,
                map_records& records,
                incarnation self,
                group target,
                const map_digest& map,
                wait_function wait);

  /// \brief Runs the change to its end.
  /// \returns The decision, or nothing if the change wasn't started or the process stops.
  [[nodiscard]] std::optional<switch_decision> Run();

 private:
  using actions = switch_coordinator::actions;

  void Perform(actions first);
  [[nodiscard]] actions Ask(const std::string& method, boost::json::object params);
  [[nodiscard]] actions Tell(const std::string& method, boost::json::object params);
  [[nodiscard]] actions OnAnswer(int rank, const rank_answer& answer);

  rpc_client& rpc_;
  map_records& records_;
  const group group_;
  switch_coordinator coordinator_;
  const wait_function wait_;
};

}  // namespace quincebank
