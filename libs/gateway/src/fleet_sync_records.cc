// Part of fleet_sync: decodes changed records of the store and builds the snapshot for the traffic
// threads.

#include <algorithm>

#include "fleet_keys.h"
#include "quincebank/base/clock.h"
#include "quincebank/base/json_reader.h"
#include "quincebank/gateway/fleet_sync.h"

namespace quincebank {

namespace {

/// Sets the closing time of each group to that of its last rank, since the group forms after it has
/// registered; to `now` while ranks are missing.
void AlignGroupClosings(fleet_snapshot& snapshot, time_point now) {
  for (auto& [service, upstreams] : snapshot.upstreams) {
    std::map<std::pair<std::string, std::uint64_t>, std::pair<int, time_point>> closed;
    for (const known_upstream& upstream : upstreams) {
      if (!upstream.group_closed_since || upstream.superseded)
        continue;
      auto& [ranks, since] = closed[{upstream.record.group->group, upstream.record.group->epoch}];
      ++ranks;
      since = std::max(since, *upstream.group_closed_since);
    }
    for (known_upstream& upstream : upstreams) {
      if (!upstream.group_closed_since || upstream.superseded)
        continue;
      const auto& [ranks, since] =
          closed[{upstream.record.group->group, upstream.record.group->epoch}];
      upstream.group_closed_since = ranks < upstream.record.group->size ? now : since;
    }
  }
}

}  // namespace

result<entry_record> ParseEntryRecord(std::string_view text) {
  BOOST_OUTCOME_TRY(const boost::json::value document, ParseJson(text));
  std::vector<error> errors;
  json_reader reader(document, "", errors);
  entry_record record;
  record.name = reader.String("name");
  record.incarnation = static_cast<std::uint64_t>(reader.Int("incarnation", {}));
  record.failure_domain = reader.String("failure_domain");
  constexpr double kMaxCores = 10'000;
  record.cores = reader.Number("cores", 0, kMaxCores, 0);
  const auto clients = ParseEndpoint(reader.String("clients"));
  const auto peers = ParseEndpoint(reader.String("peers"));
  if (!errors.empty())
    return JoinErrors(errors);
  if (!clients)
    return clients.error();
  if (!peers)
    return peers.error();
  record.clients = clients.value();
  record.peers = peers.value();
  return record;
}

void fleet_sync::ApplyRecord(const std::string& key) {
  const store_item* const item = mirror_.Find(key);
  switch (codec_.KindOf(key)) {
    case record_kind::kCatalog:
      if (item != nullptr)
        ApplyCatalog(*item);
      break;
    case record_kind::kUpstream:
      ApplyUpstream(key, item);
      break;
    case record_kind::kEvacuation:
      log_.Write(event_line(item != nullptr ? "domain.evacuated" : "domain.returned")
                     .Add("domain", codec_.DecodeEvacuation(key))
                     .Add("revision", mirror_.revision()));
      break;
    case record_kind::kEntry:
      ApplyEntry(key, item);
      break;
    case record_kind::kOther:
      ApplyCrashReport(key, item);
      break;
  }
}

void fleet_sync::ApplyCrashReport(const std::string& key, const store_item* item) {
  if (item == nullptr || !on_crash_ || !key.starts_with(kCrashPrefix))
    return;
  const auto report = DecodeCrashReport(item->value);
  if (report) {
    on_crash_(*report);
    return;
  }
  log_.Write(event_line("crash.unreadable").Add("key", key).Add("revision", item->revision));
}

void fleet_sync::ApplyCatalog(const store_item& item) {
  auto decoded = codec_.DecodeCatalog(item);
  if (!decoded) {
    log_.Write(event_line("config.unreadable")
                   .Add("revision", item.revision)
                   .Add("bytes", static_cast<std::uint64_t>(item.value.size()))
                   .Add("reason", Describe(decoded.error())));
    return;
  }
  const std::uint64_t version = decoded.value()->version();
  // After a restore the store may hold an older version until the operator writes the one in force
  // again.
  const bool newer = !catalog_ || version > catalog_->version() ||
                     (version == catalog_->version() && mirror_.era() > catalog_era_);
  if (!newer) {
    log_.Write(
        event_line("config.ignored").Add("version", version).Add("in_force", catalog_->version()));
    return;
  }
  log_.Write(event_line("config.in_force")
                 .Add("version", version)
                 .Add("previous", catalog_ ? catalog_->version() : 0)
                 .Add("revision", item.revision)
                 .Add("routes", static_cast<std::uint64_t>(decoded.value()->routes().size())));
  catalog_ = std::move(decoded).value();
  catalog_era_ = mirror_.era();
}

void fleet_sync::ApplyUpstream(const std::string& key, const store_item* item) {
  const auto known = upstreams_.find(key);
  if (item == nullptr) {
    if (known == upstreams_.end())
      return;
    log_.Write(event_line("upstream.gone")
                   .Add("upstream", known->second.record.id)
                   .Add("service", known->second.record.service)
                   .Add("revision", mirror_.revision()));
    upstreams_.erase(known);
    return;
  }
  auto decoded = codec_.DecodeUpstream(*item);
  if (!decoded) {
    // An unreadable record removes the upstream: its last readable state may be outdated.
    log_.Write(event_line("upstream.unreadable")
                   .Add("key", key)
                   .Add("revision", item->revision)
                   .Add("bytes", static_cast<std::uint64_t>(item->value.size()))
                   .Add("reason", Describe(decoded.error())));
    if (known != upstreams_.end())
      upstreams_.erase(known);
    return;
  }
  upstream_record& record = decoded.value();
  record.leaving = HasAnnouncedLeaving(key, record);
  const bool same_incarnation = known != upstreams_.end() &&
                                known->second.record.incarnation == record.incarnation &&
                                known->second.record.address == record.address;
  log_.Write(event_line(record.leaving     ? "upstream.leaving"
                        : same_incarnation ? "upstream.changed"
                                           : "upstream.listed")
                 .Add("upstream", record.id)
                 .Add("service", record.service)
                 .Add("address", ToString(record.address))
                 .Add("domain", record.failure_domain)
                 .Add("cold_ms", record.cold_remaining)
                 .Add("revision", item->revision));
  ref_ptr<upstream_health> health =
      same_incarnation ? known->second.health : ref_ptr<upstream_health>(new upstream_health);
  std::optional<time_point> group_closed_since;
  if (record.group && !record.group->open) {
    group_closed_since = same_incarnation ? known->second.group_closed_since : std::nullopt;
    group_closed_since = group_closed_since.value_or(Now());
  }
  ref_ptr<group_liveness> liveness = LivenessOf(record);
  known_upstream listed{std::move(record), std::move(health), std::move(liveness)};
  listed.group_closed_since = group_closed_since;
  upstreams_.insert_or_assign(key, std::move(listed));
}

ref_ptr<group_liveness> fleet_sync::LivenessOf(const upstream_record& record) {
  if (!record.group)
    return nullptr;
  ref_ptr<group_liveness>& liveness =
      liveness_by_group_[record.service + "/" + record.group->group];
  if (!liveness)
    liveness = new group_liveness;
  return liveness;
}

void fleet_sync::ApplyEntry(const std::string& key, const store_item* item) {
  log_.Write(event_line(item != nullptr ? "entry.listed" : "entry.gone")
                 .Add("key", key)
                 .Add("revision", mirror_.revision()));
  auto record = item != nullptr ? ParseEntryRecord(item->value)
                                : result<entry_record>(MakeError(error_code::kNotFound, "removed"));
  if (record) {
    entries_.insert_or_assign(key, std::move(record).value());
    return;
  }
  entries_.erase(key);
  if (item == nullptr)
    return;
  log_.Write(event_line("entry.unreadable")
                 .Add("key", key)
                 .Add("revision", item->revision)
                 .Add("bytes", static_cast<std::uint64_t>(item->value.size()))
                 .Add("reason", Describe(record.error())));
}

std::vector<entry_record> fleet_sync::Entries() const {
  std::vector<entry_record> entries;
  entries.reserve(entries_.size());
  for (const auto& [key, record] : entries_)
    entries.push_back(record);
  return entries;
}

void fleet_sync::Publish() {
  ref_ptr<fleet_snapshot> snapshot(new fleet_snapshot);
  snapshot->catalog = catalog_;
  snapshot->store_era = mirror_.era();
  snapshot->store_revision = mirror_.revision();
  for (const auto& [key, upstream] : upstreams_)
    snapshot->upstreams[upstream.record.service].push_back(upstream);
  mirror_.Each("", [&](const store_item& item) {
    if (codec_.KindOf(item.key) == record_kind::kEvacuation)
      snapshot->evacuated_domains.emplace(codec_.DecodeEvacuation(item.key));
  });
  snapshot->entries = Entries();
  const auto readers = SelectStoreReaders(settings_.failure_domain, snapshot->entries);
  const auto self = std::find(readers.begin(), readers.end(), settings_.name);
  reader_index_.reset();
  if (self != readers.end())
    reader_index_ = static_cast<std::size_t>(self - readers.begin());
  snapshot->expected_entries = std::max(snapshot->entries.size(), StoredFleetSize());
  ApplyColdLimitShares(*snapshot);
  MarkSuperseded(*snapshot);
  AlignGroupClosings(*snapshot, Now());
  snapshots_.Set(std::move(snapshot));
}

void fleet_sync::MarkSuperseded(fleet_snapshot& snapshot) const {
  for (auto& [service, upstreams] : snapshot.upstreams) {
    for (known_upstream& older : upstreams) {
      older.superseded = std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& newer) {
        return Supersedes(newer.second.record, older.record);
      });
    }
  }
}

void fleet_sync::ApplyColdLimitShares(fleet_snapshot& snapshot) const {
  if (!catalog_)
    return;
  std::vector<std::string> entries;
  entries.reserve(snapshot.entries.size());
  for (const entry_record& entry : snapshot.entries)
    entries.push_back(entry.name);
  const gateway_rules rules = rules_.Get();
  const auto age = std::chrono::duration_cast<milliseconds>(Now() - started_);
  for (auto& [service, upstreams] : snapshot.upstreams) {
    const service_rule* const rule = catalog_->FindService(service);
    if (rule == nullptr || rule->cold_requests_per_s <= 0)
      continue;
    const double per_second = rule->cold_requests_per_s * rules.cold_factor + rules.cold_allowance;
    const send_limit limit =
        ShareOfColdLimit(per_second, ExpectedEntries(std::max<std::size_t>(entries.size(), 1),
                                                     StoredFleetSize(), per_second, age));
    // The rest of the limit is reserved for entries whose entry lists differ while an entry joins.
    const auto senders = static_cast<std::size_t>(static_cast<double>(limit.senders) /
                                                  (1 + kUnregisteredEntryShare));
    for (known_upstream& upstream : upstreams) {
      upstream.limit = limit;
      upstream.may_send =
          limit.senders == 0 || IsSender(upstream.record.id, settings_.name, entries, senders);
    }
  }
}

}  // namespace quincebank
