#include "quincebank/fleet/store_mirror.h"

#include <algorithm>
#include <set>

namespace quincebank {

bool store_mirror::IsOutage(time_point now) const noexcept {
  return failing_since_ &&
         now - std::max(*failing_since_, answered_at_.value_or(*failing_since_)) >=
             settings_.min_outage;
}

void store_mirror::OnContact(time_point now) {
  OnPeerContact(now);
  failing_since_.reset();
}

void store_mirror::OnPeerContact(time_point answered) {
  if (answered_at_ && answered <= *answered_at_)
    return;
  if (answered_at_ && IsOutage(answered))
    grace_until_ = answered + settings_.lease_grace_period;
  answered_at_ = answered;
}

bool store_mirror::Put(const store_item& item, bool supersedes_view) {
  // All keys that existed at `revision_` are known, so a missing one has been removed since.
  const bool missing = !items_.contains(item.key) || IsCarriedOver(item.key);
  if (!supersedes_view && item.revision <= revision_ && missing)
    return false;
  const auto [found, added] = items_.try_emplace(item.key, entry{item, era_, std::nullopt});
  if (added)
    return true;
  entry& known = found->second;
  if (known.era == era_ && known.item.revision >= item.revision)
    return false;
  // A key that was written again after a restore with the same value has not changed.
  const bool changed = known.era == era_ || known.item.value != item.value;
  known = {item, era_, std::nullopt};
  return changed;
}

bool store_mirror::Remove(std::string_view key, std::uint64_t revision, time_point now) {
  const auto found = items_.find(key);
  if (found == items_.end() ||
      (found->second.era == era_ && found->second.item.revision > revision))
    return false;
  removals_.push_back({std::string(key), revision});
  while (removals_.size() > settings_.max_removals) {
    removals_complete_after_ = std::max(removals_complete_after_, removals_.front().revision);
    removals_.pop_front();
  }
  // Another entry may pass on the removal before this one has reached the store again.
  const bool in_outage = IsOutage(now);
  if (in_outage || (grace_until_ && now < *grace_until_)) {
    if (!found->second.remove_at)
      found->second.remove_at = in_outage ? now + settings_.lease_grace_period : *grace_until_;
    return false;
  }
  items_.erase(found);
  return true;
}

std::vector<std::string> store_mirror::Apply(const store_update& update,
                                             bool from_store,
                                             time_point now) {
  OnEra(update.era);
  if (update.era < newest_era_)
    return {};
  if (from_store)
    OnContact(now);
  if (update.era > era_)
    return update.whole ? BeginEra(update, now) : std::vector<std::string>();
  std::vector<std::string> changed;
  std::set<std::string_view> present;
  const bool supersedes_view = update.whole && update.revision >= revision_;
  for (const store_event& event : update.events) {
    if (event.removed) {
      if (Remove(event.item.key, event.item.revision, now))
        changed.push_back(event.item.key);
      continue;
    }
    present.insert(event.item.key);
    if (Put(event.item, supersedes_view))
      changed.push_back(event.item.key);
  }
  if (update.whole) {
    // Removals before the first read are not known individually.
    if (revision_ == 0)
      removals_complete_after_ = update.revision;
    std::vector<std::string> missing;
    for (const auto& [key, known] : items_) {
      if (!present.contains(key))
        missing.push_back(key);
    }
    for (const std::string& key : missing) {
      if (Remove(key, update.revision, now))
        changed.push_back(key);
    }
  }
  revision_ = std::max(revision_, update.revision);
  return changed;
}

std::vector<std::string> store_mirror::BeginEra(const store_update& whole, time_point now) {
  const bool restored = !items_.empty();
  era_ = whole.era;
  revision_ = whole.revision;
  removals_.clear();
  removals_complete_after_ = whole.revision;
  std::vector<std::string> changed;
  for (const store_event& event : whole.events) {
    if (!event.removed && Put(event.item, true))
      changed.push_back(event.item.key);
  }
  const time_point kept_until = now + settings_.lease_grace_period;
  // Leases of the copy may end before their holders have noticed the restore.
  if (restored)
    grace_until_ = std::max(grace_until_.value_or(kept_until), kept_until);
  for (auto& [key, known] : items_) {
    // A key of an even older era keeps the end of its grace period.
    if (known.era != era_ && !known.remove_at)
      known.remove_at = kept_until;
  }
  return changed;
}

std::vector<std::string> store_mirror::Expire(time_point now) {
  std::vector<std::string> removed;
  for (auto it = items_.begin(); it != items_.end();) {
    if (!it->second.remove_at || now < *it->second.remove_at) {
      ++it;
      continue;
    }
    removed.push_back(it->first);
    it = items_.erase(it);
  }
  return removed;
}

const store_item* store_mirror::Find(std::string_view key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? nullptr : &found->second.item;
}

bool store_mirror::IsCarriedOver(std::string_view key) const {
  const auto found = items_.find(key);
  return found != items_.end() && found->second.era != era_;
}

store_update store_mirror::Since(const store_position& since) const {
  store_update update;
  update.revision = revision_;
  update.era = era_;
  if (since.era > era_)
    return update;
  update.whole = since.era < era_ || since.revision < removals_complete_after_;
  for (const auto& [key, known] : items_) {
    if (known.era != era_)
      continue;
    // In the whole content, a missing key is the only sign of a removal.
    if (update.whole ? !known.remove_at : known.item.revision > since.revision)
      update.events.push_back({known.item, false});
  }
  if (update.whole)
    return update;
  for (const removal& removed : removals_) {
    if (removed.revision > since.revision)
      update.events.push_back({{removed.key, {}, removed.revision}, true});
  }
  return update;
}

}  // namespace quincebank
