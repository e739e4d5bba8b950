#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>

#include "quincebank/base/error.h"
#include "quincebank/base/ids.h"

namespace quincebank {

/// \brief State of an agent, as it stands in answers, heartbeats and `agent.status`.
struct agent_load {
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  std::uint32_t limit = 0;
  bool cold = false;
  bool draining = false;  ///< Its failure domain is out of service.
  bool leaving = false;   ///< The agent shuts down.
  incarnation life;
  std::uint64_t boot = 0;            ///< Boot number of the upstream; 0 while unknown.
  std::uint64_t config_version = 0;  ///< Version in force at the agent.

  [[nodiscard]] bool operator==(const agent_load&) const noexcept = default;
};

[[nodiscard]] boost::json::object ToJson(const agent_load& load);
[[nodiscard]] result<agent_load> AgentLoadFromJson(const boost::json::value& value);

}  // namespace quincebank
