#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "quincebank/base/time.h"
#include "quincebank/net/endpoint.h"

namespace quincebank {

/// \brief Membership of an engine in a group of ranks, which run forward passes in lock-step.
struct rank_membership {
  std::string group;
  std::uint64_t epoch = 0;  ///< Identifies one formation of the group.
  int rank = 0;
  int size = 0;       ///< Number of ranks in the group.
  bool open = false;  ///< The group accepts requests.

  [[nodiscard]] bool operator==(const rank_membership&) const = default;
};

/// \brief Registration of an upstream.
struct upstream_record {
  std::string id;
  std::string service;
  endpoint address;
  std::string failure_domain;
  std::string version;             ///< Version of its software.
  int slots = 1;                   ///< Requests that it runs concurrently.
  bool leaving = false;            ///< It is shutting down; no requests are sent to it.
  milliseconds cold_remaining{0};  ///< Time for which it stays cold, as of the record.
  std::uint64_t incarnation = 0;   ///< Larger for each later start; 0 if unknown.
  std::optional<rank_membership> group;
  std::uint64_t store_revision = 0;  ///< Revision of the store at which the record was written.
};

/// \brief Whether `newer` shows that the upstream `older` has ended, because it is a later
/// incarnation with the same address, or with the same service, group and rank. The registration of
/// a crashed upstream remains for some seconds.
[[nodiscard]] bool Supersedes(const upstream_record& newer, const upstream_record& older) noexcept;

/// \brief Registration of an entry (instance of the load balancer).
struct entry_record {
  std::string name;
  std::uint64_t incarnation = 0;
  std::string failure_domain;
  endpoint clients;  ///< Address for clients.
  endpoint peers;    ///< Address at which other entries query its copy of the store.
  double cores = 0;  ///< CPU cores of its host; 0 if not reported.

  [[nodiscard]] bool operator==(const entry_record&) const = default;
};

}  // namespace quincebank
