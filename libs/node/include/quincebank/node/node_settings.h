#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/membership/config_peer.h"
#include "quincebank/net/endpoint.h"
#include "quincebank/net/process_limits.h"

namespace quincebank {

class json_reader;

/// \brief Settings that entries and agents share.
struct node_settings {
  std::string host;            ///< Name of this host, unique in the fleet.
  std::string region;          ///< Region of this host.
  std::string failure_domain;  ///< Failure domain of this host.
  endpoint listen;             ///< Address that peers and callers use.
  /// IP address that connections to peers, agents and the platform come from; empty lets the system
  /// choose.
  std::string source;
  endpoint key_value;
  milliseconds key_value_timeout{1'000};
  endpoint host_list;
  std::string host_list_path = "/hosts";
  milliseconds host_list_interval{1'000};
  /// Decisions kept in memory; with 620 upstreams one takes about 15 KB.
  std::size_t record_keep = 500;
  process_limits limits;       ///< Of the host.
  bool record_stdout = false;  ///< Also writes each decision as a line on standard output.
};

/// \brief Reads the members of `node_settings`; the caller calls `Finish`.
[[nodiscard]] node_settings ReadNodeSettings(json_reader& reader);

}  // namespace quincebank
