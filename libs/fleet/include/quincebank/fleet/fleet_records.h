#pragma once

#include <cstdint>
#include <string>

#include "quincebank/base/time.h"
#include "quincebank/net/endpoint.h"

namespace quincebank {

/// \brief Upstream as it registered itself.
struct upstream_record {
  std::string id;
  std::string service;
  endpoint address;
  std::string failure_domain;
  std::string version;  ///< Of its software.
  int slots = 1;        ///< Requests that it runs at once.
  bool leaving = false;
  milliseconds cold_left{0};       ///< Time it stays cold from the moment of the record.
  std::uint64_t incarnation = 0;   ///< Changes when it restarts under the same id; 0 if unknown.
  std::uint64_t store_revision = 0;
};

/// \brief Entry process as it registered itself.
struct entry_record {
  std::string name;
  std::uint64_t incarnation = 0;
  std::string failure_domain;
  endpoint clients;  ///< Where clients connect.
  endpoint peers;    ///< Where other entries ask for its view of the store.

  [[nodiscard]] bool operator==(const entry_record&) const = default;
};

}  // namespace quincebank
