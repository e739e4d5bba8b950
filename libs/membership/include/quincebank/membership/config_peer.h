#pragma once

#include <cstdint>
#include <string>

namespace quincebank {

enum class peer_role : std::uint8_t { kEntry, kAgent };

/// \brief Process of the fleet that answers `config.root`, `config.section` and `config.offer`.
struct config_peer {
  std::string name;  ///< Unique; for agents the name of the upstream.
  std::string region;
  peer_role role = peer_role::kAgent;
  std::string address;
  std::uint16_t port = 0;
};

}  // namespace quincebank
