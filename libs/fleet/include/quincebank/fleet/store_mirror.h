#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/time.h"
#include "quincebank/fleet/store_item.h"

namespace quincebank {

/// \brief Settings of a `store_mirror`.
struct mirror_settings {
  /// Time after an outage in which removals are delayed. Keys whose leases expired during the
  /// outage are registered again within about two seconds of its end.
  milliseconds lease_grace_period{2'500};
  /// The store is considered down once its calls have failed for this time.
  milliseconds min_outage{2'500};
  /// Maximum number of removals that are kept for other entries.
  std::size_t max_removals = 1'000;
};

/// \brief Copy of the keys of the store, in which no key ever reverts to an older state.
///
/// Applies updates from the store and from other entries (instances of the load balancer), in any
/// order. Leases also expire while the store is down, so a removal during an outage or soon after
/// it takes effect only after a grace period, and not at all if the key is written again before.
/// The store is down only if it answers no entry: calls of single hosts may fail for other reasons.
///
/// When the store is restored from an older copy, its era rises and revisions begin again. Only a
/// whole read leads from one era to the next. A key that is missing in it is carried over for the
/// grace period, since whoever wrote it writes it again.
class store_mirror {
 public:
  explicit store_mirror(const mirror_settings& settings = {}) noexcept : settings_(settings) {}

  /// \brief Applies an update. One from the store counts as contact.

  /// Ignores an update of an older era than the newest one seen, and changes of an era whose whole
  /// content is not known.
  /// \param from_store  false if the update was received from another entry.
  /// \returns The keys that were added, changed or removed.
  std::vector<std::string> Apply(const store_update& update, bool from_store, time_point now);
  /// \brief Applies the delayed removals whose grace period is over.
  /// \returns The removed keys.
  std::vector<std::string> Expire(time_point now);
  /// \brief A call to the store succeeded, which ends an outage. For a watch this is known only
  /// when it returns.
  void OnContact(time_point now);
  /// \brief A call of another entry succeeded at `answered`. A store that answers others is not
  /// down, even if the calls of this entry fail.
  void OnPeerContact(time_point answered);
  /// \brief A call to the store failed.
  void OnStoreFailure(time_point now) noexcept {
    if (!failing_since_)
      failing_since_ = now;
  }

  /// \brief The store or another entry has shown an era. After a rise the content is not updated
  /// until a whole read of that era.
  void OnEra(std::uint64_t era) noexcept { newest_era_ = std::max(newest_era_, era); }

  /// \brief Returns the item of a key; null if there is none.
  [[nodiscard]] const store_item* Find(std::string_view key) const;
  /// \brief Whether a key is missing in the store since a restore and still kept.
  [[nodiscard]] bool IsCarriedOver(std::string_view key) const;
  /// \brief Calls `visit` with each item whose key begins with the prefix.
  template <typename Visitor>
  void Each(std::string_view prefix, Visitor&& visit) const {
    for (auto it = items_.lower_bound(prefix); it != items_.end(); ++it) {
      if (!it->first.starts_with(prefix))
        break;
      visit(it->second.item);
    }
  }
  /// \brief Returns the changes after a position, or the whole content if some removals after it
  /// are no longer known or it belongs to an older era.
  [[nodiscard]] store_update Since(const store_position& since) const;

  /// \brief Revision of the store up to which all changes are known; 0 before the first read.
  [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
  /// \brief Era of the content.
  [[nodiscard]] std::uint64_t era() const noexcept { return era_; }
  [[nodiscard]] store_position position() const noexcept { return {era_, revision_}; }
  /// \brief Newest era seen, which may be higher than that of the content.
  [[nodiscard]] std::uint64_t newest_era() const noexcept { return newest_era_; }
  /// \brief Whether the content is from before a restore of the store.
  [[nodiscard]] bool IsFromOlderEra() const noexcept { return era_ < newest_era_; }

 private:
  struct entry {
    store_item item;
    std::uint64_t era = 0;                ///< Era of the item's revision.
    std::optional<time_point> remove_at;  ///< End of the grace period of a delayed removal.
  };

  /// Removal that was received, whether applied or still delayed.
  struct removal {
    std::string key;
    std::uint64_t revision = 0;
  };

  /// \brief Whether the store has answered no entry for `min_outage`.
  [[nodiscard]] bool IsOutage(time_point now) const noexcept;
  /// \param supersedes_view  the update holds the whole content and is not older than this one.
  bool Put(const store_item& item, bool supersedes_view);
  bool Remove(std::string_view key, std::uint64_t revision, time_point now);
  /// \brief Replaces the content by that of a new era.
  [[nodiscard]] std::vector<std::string> BeginEra(const store_update& whole, time_point now);

  const mirror_settings settings_;
  std::map<std::string, entry, std::less<>> items_;
  std::deque<removal> removals_;
  std::uint64_t removals_complete_after_ = 0;  ///< `removals_` holds all later ones.
  std::uint64_t revision_ = 0;
  std::uint64_t era_ = 0;
  std::uint64_t newest_era_ = 0;
  std::optional<time_point> answered_at_;    ///< When the store last answered any entry.
  std::optional<time_point> failing_since_;  ///< First failure since the last contact.
  /// End of the grace period after the last outage or restore.
  std::optional<time_point> grace_until_;
};

}  // namespace quincebank
