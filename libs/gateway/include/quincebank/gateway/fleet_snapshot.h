#pragma once

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "quincebank/base/ref_counted.h"
#include "quincebank/catalog/service_catalog.h"
#include "quincebank/fleet/fleet_records.h"
#include "quincebank/placement/group_pulse.h"
#include "quincebank/placement/upstream_evidence.h"

namespace quincebank {

/// \brief Upstream with what this entry knows of it.
struct known_upstream {
  upstream_record record;
  ref_ptr<upstream_evidence> health;  ///< Kept while the same incarnation has the address.
  ref_ptr<group_pulse> liveness;      ///< Of its group; null if it is in none.
  send_limit limit;         ///< Share of this entry in what the upstream can take when cold.
  bool superseded = false;  ///< Another upstream has taken its place; used only if nothing else
                            ///< is known.
  bool may_send = true;     ///< Whether this entry may send to it at all.
};

/// \brief What traffic threads read: configuration, upstreams and entries at one moment.
struct fleet_snapshot : ref_counted<fleet_snapshot> {
  ref_ptr<const service_catalog> catalog;  ///< Null before the first configuration is known.
  std::map<std::string, std::vector<known_upstream>, std::less<>> upstreams;  ///< By service.
  std::set<std::string, std::less<>> evacuated_domains;  ///< Failure domains that get no requests.
  std::vector<entry_record> entries;
  /// Entries registered, or noted by the store if those are more: some may just be starting.
  std::size_t expected_entries = 0;
  std::uint64_t store_revision = 0;
};

/// \brief Hands the newest snapshot from the control thread to the traffic threads.
class fleet_snapshot_holder {
 public:
  void Set(ref_ptr<const fleet_snapshot> snapshot) {
    const std::lock_guard lock(mutex_);
    snapshot_ = std::move(snapshot);
  }
  /// \brief Returns the newest snapshot; never null.
  [[nodiscard]] ref_ptr<const fleet_snapshot> Get() const {
    const std::lock_guard lock(mutex_);
    return snapshot_;
  }

 private:
  mutable std::mutex mutex_;
  ref_ptr<const fleet_snapshot> snapshot_{new fleet_snapshot};
};

}  // namespace quincebank
