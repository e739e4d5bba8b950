// Part of fleet_sync: what follows when the store is restored from an older copy.

#include <algorithm>

#include "fleet_keys.h"
#include "quincebank/base/clock.h"
#include "quincebank/gateway/fleet_sync.h"

namespace quincebank {
namespace {

// A copy of the store is some seconds old. What happened before this time is in the copy.
constexpr milliseconds kMaxCopyAge{60'000};

}  // namespace

void fleet_sync::OnEraRise(std::uint64_t era) {
  coordinator_before_rise_ = IsCoordinator();
  mirror_.OnEra(era);
  if (mirror_.revision() == 0)
    return;  // The first answer of the store.
  era_raised_at_ = BootNow();
  if (!coordinator_lease_.empty()) {
    log_.Write(event_line("coordinator.lapsed")
                   .Add("lease", coordinator_lease_.id)
                   .Add("era", coordinator_lease_.era));
  }
  registration_lease_ = {};
  coordinator_lease_ = {};
  crash_lease_ = {};
  coordinator_role_.OnLost();
  confirmed_claim_sent_ = {};
  vacant_since_.reset();
  registration_due_.Set();
  announcement_received_.Set();
  if (watching_)
    store_.CancelWatch();
}

void fleet_sync::OnRestoredContent(const store_position& before) {
  log_.Write(event_line("store.restored")
                 .Add("era_before", before.era)
                 .Add("revision_before", before.revision)
                 .Add("era", mirror_.era())
                 .Add("revision", mirror_.revision()));
  restored_revision_ = mirror_.revision();
  const time_point now = Now();
  for (const auto& [key, written] : written_keys_) {
    if (now - written.at < kMaxCopyAge && mirror_.Find(key) == nullptr)
      lost_keys_.insert_or_assign(key, written.value);
  }
  const std::string own_report = "/" + settings_.name;
  mirror_.Each(kOwnPrefix, [&](const store_item& item) {
    const bool other_owner =
        item.key == kCoordinatorKey || item.key.starts_with(kEntryPrefix) ||
        (item.key.starts_with(kCrashPrefix) && !item.key.ends_with(own_report));
    if (!other_owner && mirror_.IsCarriedOver(item.key))
      lost_keys_.insert_or_assign(item.key, item.value);
  });
  for (auto& [key, upstream] : upstreams_) {
    const store_item* const item = mirror_.Find(key);
    if (item != nullptr && !mirror_.IsCarriedOver(key))
      upstream.record.store_revision = item->revision;
  }
  if (on_restored_)
    on_restored_();
}

std::string fleet_sync::StoredValue(std::string_view key) const {
  if (const store_item* const item = mirror_.Find(key); item != nullptr)
    return item->value;
  const auto lost = lost_keys_.find(key);
  return lost != lost_keys_.end() ? lost->second : std::string();
}

void fleet_sync::RewriteLostKeys() {
  const auto lost = lost_keys_;
  for (const auto& [key, value] : lost) {
    if (mirror_.Find(key) != nullptr && !mirror_.IsCarriedOver(key)) {
      lost_keys_.erase(key);
      continue;
    }
    const bool report = key.starts_with(kCrashPrefix);
    if (mirror_.IsFromOlderEra() || (!report && !IsCoordinator()))
      continue;
    const auto written = RewriteLostKey(key, value, report);
    log_.Write(event_line("store.key_rewritten")
                   .Add("key", key)
                   .Add("reason", written ? "" : written.error().message));
    if (!written)
      return;  // The caller tries again.
    lost_keys_.erase(key);
  }
}

result<void> fleet_sync::PutNoted(const std::string& key,
                                  const std::string& value,
                                  const store_lease& lease) {
  auto written = store_.Put(key, value, lease);
  const time_point now = Now();
  std::erase_if(written_keys_,
                [&](const auto& item) { return now - item.second.at >= kMaxCopyAge; });
  if (written)
    written_keys_.insert_or_assign(key, written_value{value, now});
  return written;
}

result<void> fleet_sync::RewriteLostKey(const std::string& key,
                                        const std::string& value,
                                        bool report) {
  store_lease lease;
  if (report) {
    BOOST_OUTCOME_TRY(lease, CrashLease());
  }
  // A value that another entry has written since the restore is newer.
  BOOST_OUTCOME_TRY(store_.Create(key, value, lease));
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

bool fleet_sync::HasAnnouncedLeaving(const std::string& key, const upstream_record& record) {
  const time_point now = Now();
  const auto known = leaving_upstreams_.find(key);
  if (!record.leaving) {
    if (known == leaving_upstreams_.end())
      return false;
    const leaving_upstream& announced = known->second;
    // A record of the restored copy may be older than the announcement. One that the upstream has
    // written since the restore is not.
    if (announced.incarnation == record.incarnation && announced.era < mirror_.era() &&
        record.store_revision <= restored_revision_)
      return true;
    leaving_upstreams_.erase(known);
    return false;
  }
  leaving_upstreams_.insert_or_assign(key,
                                      leaving_upstream{record.incarnation, mirror_.era(), now});
  std::erase_if(leaving_upstreams_, [&](const auto& item) {
    return !upstreams_.contains(item.first) && now - item.second.announced_at >= kMaxCopyAge;
  });
  return true;
}

bool fleet_sync::MayFormerCoordinatorAct() const {
  return !coordinator_before_rise_ && era_raised_at_ &&
         BootNow() - *era_raised_at_ < settings_.coordinator_lease;
}

}  // namespace quincebank
