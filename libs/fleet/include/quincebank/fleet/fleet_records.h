#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "quincebank/base/time.h"
#include "quincebank/net/endpoint.h"

namespace quincebank {

/// \brief Place of an engine in a group of ranks.
struct rank_membership {
  std::string group;
  std::uint64_t epoch = 0;  ///< Formation of the group.
  int rank = 0;
  int size = 0;       ///< Ranks of the group.
  bool open = false;  ///< The group serves.

  [[nodiscard]] bool operator==(const rank_membership&) const = default;
};

/// \brief Upstream as it registered itself.
struct upstream_record {
  std::string id;
  std::string service;
  endpoint address;
  std::string failure_domain;
  std::string version;  ///< Of its software.
  int slots = 1;        ///< Requests that it runs at once.
  bool leaving = false;
  milliseconds cold_remaining{0};  ///< Time it stays cold from the moment of the record.
  std::uint64_t incarnation = 0;   ///< Changes when it restarts under the same id; 0 if unknown.
  std::optional<rank_membership> group;
  std::uint64_t store_revision = 0;
};

/// \brief Whether `newer` shows that the other upstream has ended: it has taken over its address or
/// its place in a group. Registrations of upstreams that crashed stay for some seconds.
[[nodiscard]] bool Supersedes(const upstream_record& newer, const upstream_record& older) noexcept;

/// \brief Entry process as it registered itself.
struct entry_record {
  std::string name;
  std::uint64_t incarnation = 0;
  std::string failure_domain;
  endpoint clients;  ///< Where clients connect.
  endpoint peers;    ///< Where other entries ask for its view of the store.
  double cores = 0;  ///< Processor time that its host has; 0 if it does not tell.

  [[nodiscard]] bool operator==(const entry_record&) const = default;
};

}  // namespace quincebank
