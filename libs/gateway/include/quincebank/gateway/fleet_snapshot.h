#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "quincebank/base/ref_counted.h"
#include "quincebank/catalog/service_catalog.h"
#include "quincebank/fleet/fleet_records.h"
#include "quincebank/placement/group_liveness.h"
#include "quincebank/placement/upstream_health.h"

namespace quincebank {

/// \brief An upstream's registration and the state that this entry keeps for it.
struct known_upstream {
  upstream_record record;
  ref_ptr<upstream_health> health;   ///< Kept while the same incarnation has the address.
  ref_ptr<group_liveness> liveness;  ///< Of the upstream's group; null without a group.
  send_limit limit;  ///< This entry's share of the request rate that a cold upstream can serve.
  bool superseded = false;  ///< A newer registration replaces it; used only if there is no other
                            ///< upstream.
  /// When its registration was first seen to say that its group does not accept requests; nothing
  /// if the group does.
  std::optional<time_point> group_closed_since;
  bool may_send = true;  ///< Whether this entry is among those that may send to it.
};

/// \brief Immutable view of the configuration, upstreams and entries, read by the traffic threads.
struct fleet_snapshot : ref_counted<fleet_snapshot> {
  ref_ptr<const service_catalog> catalog;  ///< Null until the first configuration arrives.
  std::map<std::string, std::vector<known_upstream>, std::less<>> upstreams;  ///< By service.
  /// Names of failure domains that get no requests.
  std::set<std::string, std::less<>> evacuated_domains;
  std::vector<entry_record> entries;
  /// Larger of the number of registered entries and the fleet size recorded in the store: entries
  /// that are starting may not be registered yet.
  std::size_t expected_entries = 0;
  std::uint64_t store_era = 0;
  std::uint64_t store_revision = 0;
};

/// \brief Passes the latest snapshot from the control thread to the traffic threads. Thread-safe.
class fleet_snapshot_holder {
 public:
  void Set(ref_ptr<const fleet_snapshot> snapshot) {
    const std::lock_guard lock(mutex_);
    snapshot_ = std::move(snapshot);
  }
  /// \brief Returns the latest snapshot; never null.
  [[nodiscard]] ref_ptr<const fleet_snapshot> Get() const {
    const std::lock_guard lock(mutex_);
    return snapshot_;
  }

 private:
  mutable std::mutex mutex_;
  ref_ptr<const fleet_snapshot> snapshot_{new fleet_snapshot};
};

}  // namespace quincebank
