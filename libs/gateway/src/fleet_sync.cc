#include "quincebank/gateway/fleet_sync.h"

#include <algorithm>
#include <array>
#include <boost/fiber/operations.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <thread>
#include <utility>

#include "fleet_keys.h"
#include "quincebank/base/clock.h"
#include "quincebank/base/digest.h"
#include "quincebank/base/ids.h"
#include "quincebank/base/json_reader.h"
#include "quincebank/gateway/claim_order.h"
#include "quincebank/gateway/store_relay.h"

namespace quincebank {
namespace {

namespace json = boost::json;

// Pause after a failed read of the store; doubles from the minimum to the maximum.
constexpr milliseconds kMinStoreRetryDelay{100};
constexpr milliseconds kMaxStoreRetryDelay{800};
// Pause between a watch that has returned changes and the next one. Changes come in bursts, and
// each watch that returns costs a call. The second reader of a failure domain is only a stand-in
// for the first, and an entry that is no reader watches only while it can't follow the readers.
constexpr milliseconds kFirstReaderWatchPause{200};
constexpr milliseconds kSecondReaderWatchPause{1'000};
constexpr milliseconds kNonReaderWatchPause{400};
// Longest time between two announcements of a reader. Two consecutive ones may be
// lost before the reader counts as silent.
constexpr milliseconds kAnnouncementPeriod{400};
// How long an entry watches the store itself after no reader handed over what it had announced.
constexpr milliseconds kDirectWatchTime{3'000};
// Wait of a watch that returns at once.
constexpr milliseconds kNoWait{1};
// Period at which `Stop` checks for running loops; also the pause after a socket error.
constexpr milliseconds kStopPollPeriod{2};
// How long a coordinator may act without a renewal of its lease, unless it sees that another entry
// holds the role.
constexpr milliseconds kMaxUnrenewedRoleTime{10'000};
// Renewals within one time to live, so that two consecutive ones may be lost.
constexpr int kRenewalsPerLease = 3;
// The stored fleet size shrinks only after this time, since entries that restart are missing for
// some seconds.
constexpr milliseconds kFleetShrinkDelay{60'000};
// Shortest time between two claims of one entry: its own claim appears in the mirror only after the
// watch pause.
constexpr milliseconds kMinClaimInterval{500};
// Time within which a claim that the store has confirmed appears in the mirror.
constexpr milliseconds kClaimVisibilityDelay{1'000};
// Shortest time between two writes of the popularity of one group.
constexpr milliseconds kPopularityStoreInterval{3'000};
// Time that an entry leaves to each entry before it to claim the coordinator role: a few calls.
constexpr milliseconds kClaimTurnTime{100};
// Time after its registration within which an entry learns of the entries that started together
// with it: their registrations take some calls, and the watch a pause. Any earlier, each of them
// would consider itself the first to claim.
constexpr milliseconds kEntryDiscoveryTime{900};
// Period of the checks for removals whose grace period is over.
constexpr milliseconds kExpiryCheckPeriod{200};
// A view counts as outdated this long after a watch should have confirmed it. Leaves time for a
// slow answer of the store.
constexpr milliseconds kWatchSlack{250};
// Time that the readers of a failure domain have, after this entry has noticed a restore of the
// store, before it reads the whole content itself.
constexpr milliseconds kReaderRestoreTime{800};
// Ages in milliseconds that another entry may report.
constexpr int_range kViewAgeRange{0, 86'400'000};

}  // namespace

fleet_sync::fleet_sync(const gateway_settings& settings,
                       const rules_holder& rules,
                       const record_codec& codec,
                       shared_store& store,
                       rpc_client& rpc,
                       event_log& log,
                       fleet_snapshot_holder& snapshots,
                       std::uint64_t incarnation)
    : settings_(settings),
      rules_(rules),
      codec_(codec),
      store_(store),
      rpc_(rpc),
      log_(log),
      snapshots_(snapshots),
      incarnation_(incarnation),
      coordinator_role_(settings.coordinator_lease, kMaxUnrenewedRoleTime),
      started_(Now()) {
  store_.era().OnRise([this](std::uint64_t era) { OnEraRise(era); });
}

void fleet_sync::AddMethods(rpc_server& rpc) {
  rpc.Add("store.since", [this](const json::object& params) -> result<json::value> {
    std::vector<error> errors;
    const json::value input(params);
    json_reader reader(input, "", errors);
    const auto since = static_cast<std::uint64_t>(reader.Int("since", {}));
    const auto era = static_cast<std::uint64_t>(reader.Int("era", {}, 0));
    if (!errors.empty())
      return JoinErrors(errors);
    const store_update update = mirror_.Since({era, since});
    json::object answer{
        {"revision", update.revision}, {"era", update.era}, {"whole", update.whole}};
    if (view_confirmed_at_ && !mirror_.IsFromOlderEra())
      answer["view_age_ms"] = ViewAge().count();
    json::array items;
    for (const store_event& event : update.events) {
      json::object item{{"key", event.item.key}, {"revision", event.item.revision}};
      if (event.removed)
        item["removed"] = true;
      else
        item["value"] = Base64Encode(event.item.value);
      items.push_back(std::move(item));
    }
    answer["items"] = std::move(items);
    return json::value(std::move(answer));
  });
}

result<void> fleet_sync::Start(fiber_thread& thread) {
  std::vector<void (fleet_sync::*)()> loops{&fleet_sync::WatchLoop, &fleet_sync::RegisterLoop,
                                            &fleet_sync::PeerLoop, &fleet_sync::CoordinatorLoop};
  if (settings_.announcements.port != 0) {
    BOOST_OUTCOME_TRY(announcement_socket_, datagram_socket::Bind(thread, settings_.announcements));
    loops.push_back(&fleet_sync::AnnounceLoop);
    loops.push_back(&fleet_sync::ReceiveAnnouncementsLoop);
  }
  for (const auto loop : loops) {
    ++running_loops_;
    thread.SpawnLoop(
        "fleet", [this, loop] { (this->*loop)(); }, stop_, [this] { --running_loops_; });
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void fleet_sync::Stop() {
  stop_.Set();
  registration_due_.Set();
  if (announcement_socket_)
    announcement_socket_->Close();
  while (running_loops_ > 0)
    std::this_thread::sleep_for(kStopPollPeriod);
}

void fleet_sync::UpdateStoreReachability(bool reachable, std::string_view reason) {
  if (!reachable)
    mirror_.OnStoreFailure(Now());
  if (reachable == store_reachable_)
    return;
  store_reachable_ = reachable;
  log_.Write(event_line(reachable ? "store.reached" : "store.lost")
                 .Add("revision", mirror_.revision())
                 .Add("view_age_ms", ViewAge())
                 .Add("reason", reason));
}

milliseconds fleet_sync::ViewAge() const {
  return std::chrono::duration_cast<milliseconds>(Now() - view_confirmed_at_.value_or(started_));
}

bool fleet_sync::IsViewOutdated() const {
  return !view_confirmed_at_ || ViewAge() >= settings_.max_watch_wait + kWatchSlack;
}

void fleet_sync::ConfirmView(time_point at) {
  view_confirmed_at_ = std::max(view_confirmed_at_.value_or(at), at);
}

result<store_update> fleet_sync::ReadStore() {
  const bool restored = mirror_.IsFromOlderEra() && mirror_.revision() != 0;
  full_read_needed_ = full_read_needed_ || restored;
  if (full_read_needed_ || mirror_.revision() == 0) {
    // After the store has lost the history, a stale read would only lead to a watch that fails the
    // same way, so the newest state is read.
    auto all =
        store_.ReadAll(full_read_needed_ ? read_freshness::kNewest : read_freshness::kMayBeStale);
    full_read_needed_ = !all.has_value() && full_read_needed_;
    view_current_ = false;
    return all;
  }
  // The full read may be some seconds old. The first watch returns the changes since then at once.
  watching_ = view_current_;
  const milliseconds wait =
      view_current_ ? std::max(settings_.max_watch_wait - ViewAge(), kNoWait) : kNoWait;
  auto update = store_.Watch(mirror_.revision(), wait);
  watching_ = false;
  view_current_ = view_current_ || update.has_value();
  return update;
}

milliseconds fleet_sync::WatchPause() const {
  if (!reader_index_)
    return kNonReaderWatchPause;
  return *reader_index_ == 0 || !reader_tracker_.HasLiveReader(Now()) ? kFirstReaderWatchPause
                                                                      : kSecondReaderWatchPause;
}

bool fleet_sync::FollowsReaders() const {
  const time_point now = Now();
  return announcement_socket_ && !reader_index_ && !leaving_ && view_current_ &&
         now >= watch_directly_until_ && HasReader(now);
}

bool fleet_sync::HasReader(time_point now) const {
  return reader_tracker_.HasLiveReader(now, mirror_.newest_era()) ||
         (era_raised_at_ && BootNow() - *era_raised_at_ < kReaderRestoreTime &&
          reader_tracker_.HasLiveReader(now));
}

void fleet_sync::FollowReader() {
  const store_position followed_from = mirror_.position();
  const auto reader = reader_tracker_.ReaderAheadOf(followed_from, Now());
  if (!reader) {
    announcement_received_.WaitFor(kAnnouncementPeriod);
    return;
  }
  const auto known = entries_.find(std::string(kEntryPrefix) + *reader);
  if (known != entries_.end() && ReadPeer(known->second.peers) != peer_view::kUnavailable &&
      mirror_.position() > followed_from)
    return;
  reader_tracker_.OnReadFailure(*reader);
  if (HasReader(Now()))
    return;
  watch_directly_until_ = Now() + kDirectWatchTime;
}

void fleet_sync::AnnounceLoop() {
  store_position announced;
  time_point announced_at{};
  while (!stop_.IsSet()) {
    const time_point now = Now();
    const bool due = mirror_.position() != announced || now - announced_at >= kAnnouncementPeriod;
    if (reader_index_ && view_confirmed_at_ && due && !leaving_ && !mirror_.IsFromOlderEra()) {
      announced = mirror_.position();
      announced_at = now;
      const std::string payload = Encode(
          revision_announcement{settings_.name, announced.revision, ViewAge(), announced.era});
      for (const auto& [key, entry] : entries_) {
        if (entry.failure_domain == settings_.failure_domain && entry.name != settings_.name)
          (void)announcement_socket_->Send({entry.peers.address, settings_.announcements.port},
                                           payload);
      }
    }
    revision_changed_.WaitFor(kAnnouncementPeriod);
  }
}

void fleet_sync::ReceiveAnnouncementsLoop() {
  while (!stop_.IsSet()) {
    const auto received = announcement_socket_->Receive();
    if (!received) {
      // The network may report an error for a datagram that was sent earlier.
      if (stop_.WaitFor(kStopPollPeriod))
        return;
      continue;
    }
    const auto announcement = DecodeAnnouncement(received.value().payload);
    // The socket accepts datagrams from anyone, and the changes can only be fetched from a
    // registered entry; an entry that has just started knows none.
    if (!announcement ||
        !entries_.contains(std::string(kEntryPrefix) + announcement.value().reader))
      continue;
    reader_tracker_.OnAnnouncement(announcement.value(), Now());
    // An announcement only shows that a newer era may be known: the era is taken from the reader's
    // answer, since anyone can send datagrams.
    if (announcement.value().era < mirror_.newest_era())
      continue;
    const time_point confirmed_at = Now() - announcement.value().age;
    mirror_.OnPeerContact(confirmed_at);
    if (!FollowsReaders())
      continue;
    if (announcement.value().position() <= mirror_.position())
      ConfirmView(confirmed_at);
    if (watching_)
      store_.CancelWatch();
    announcement_received_.Set();
  }
}

void fleet_sync::WatchLoop() {
  milliseconds pause = kMinStoreRetryDelay;
  bool was_following = false;
  while (!stop_.IsSet()) {
    const bool following = FollowsReaders();
    if (following != was_following) {
      log_.Write(event_line(following ? "store.followed" : "store.watched")
                     .Add("revision", mirror_.revision())
                     .Add("reader", reader_index_.has_value()));
    }
    was_following = following;
    if (following) {
      FollowReader();
      continue;
    }
    const std::uint64_t era_before = mirror_.newest_era();
    const auto update = ReadStore();
    // The watch was cancelled because a reader became live or the store was restored.
    if (!update && (FollowsReaders() || mirror_.newest_era() != era_before))
      continue;
    if (update) {
      UpdateStoreReachability(true, "answered");
      if (view_current_ && update.value().era == mirror_.era())
        ConfirmView(Now());
      ApplyUpdate(update.value(), true);
      pause = kMinStoreRetryDelay;
      if (!update.value().events.empty() && stop_.WaitFor(WatchPause()))
        return;
      continue;
    }
    if (update.error().code == error_code::kStale) {
      log_.Write(event_line("store.history_lost").Add("revision", mirror_.revision()));
      // A full read fails this way only if its own answers are from different eras.
      const bool full = std::exchange(full_read_needed_, true);
      if (full && stop_.WaitFor(pause))
        return;
      continue;
    }
    UpdateStoreReachability(false, update.error().message);
    if (stop_.WaitFor(pause))
      return;
    pause = std::min(pause * 2, kMaxStoreRetryDelay);
  }
}

void fleet_sync::PeerLoop() {
  std::size_t first_peer = incarnation_;
  bool was_outdated = false;
  while (!stop_.WaitFor(kExpiryCheckPeriod)) {
    const auto removed = mirror_.Expire(Now());
    for (const std::string& key : removed)
      ApplyRecord(key);
    const bool settled = starting_ && Now() - started_ >= kStartupTime;
    starting_ = starting_ && !settled;
    if (!removed.empty() || settled)
      Publish();
    // Renewed leases show that the store answers, but not that this view is complete.
    const bool outdated = mirror_.revision() != 0 && !FollowsReaders() && IsViewOutdated();
    if (outdated != was_outdated) {
      log_.Write(event_line(outdated ? "view.outdated" : "view.current")
                     .Add("revision", mirror_.revision())
                     .Add("view_age_ms", ViewAge()));
    }
    was_outdated = outdated;
    if (!outdated)
      continue;
    const std::vector<entry_record> entries = Entries();
    // A peer whose view is outdated too may still know more, so all are tried in rotation.
    for (std::size_t i = 0; i < entries.size() && IsViewOutdated(); ++i) {
      const entry_record& peer = entries[(first_peer + i) % entries.size()];
      if (peer.name != settings_.name && ReadPeer(peer.peers) == peer_view::kCurrent)
        break;
    }
    ++first_peer;
    if (stop_.WaitFor(settings_.peer_poll_interval - kExpiryCheckPeriod))
      return;
  }
}

fleet_sync::peer_view fleet_sync::ReadPeer(const endpoint& peer) {
  constexpr milliseconds kPeerTimeout{250};
  const store_position since = mirror_.position();
  const auto answer =
      rpc_.Call(peer, "store.since", {{"since", since.revision}, {"era", since.era}}, kPeerTimeout);
  if (!answer) {
    log_.Write(event_line("peer.failed")
                   .Add("peer", ToString(peer))
                   .Add("reason", answer.error().message));
    return peer_view::kUnavailable;
  }
  std::vector<error> errors;
  json_reader reader(answer.value(), "", errors);
  store_update update;
  update.revision = static_cast<std::uint64_t>(reader.Int("revision", {}));
  update.era = static_cast<std::uint64_t>(reader.Int("era", {}, 0));
  update.whole = reader.Bool("whole", false);
  if (errors.empty() && !store_.era().Observe(update.era))
    return peer_view::kOutdated;
  // An age that is missing or unreadable is no contact.
  const milliseconds view_age(reader.Int("view_age_ms", kViewAgeRange, kViewAgeRange.max));
  mirror_.OnPeerContact(Now() - view_age);
  const peer_view state = view_age < settings_.max_watch_wait + kWatchSlack ? peer_view::kCurrent
                                                                            : peer_view::kOutdated;
  if (update.position() <= since)
    return state;
  reader.Each("items", [&](json_reader& item) {
    store_event event;
    event.item.key = item.Text("key");
    event.item.revision = static_cast<std::uint64_t>(item.Int("revision", {}));
    event.removed = item.Bool("removed", false);
    if (!event.removed)
      event.item.value = Base64Decode(item.String("value", "")).value_or(std::string());
    update.events.push_back(std::move(event));
  });
  if (!errors.empty()) {
    log_.Write(event_line("peer.unreadable")
                   .Add("peer", ToString(peer))
                   .Add("reason", JoinErrors(errors).message));
    return peer_view::kUnavailable;
  }
  log_.Write(event_line("peer.read")
                 .Add("peer", ToString(peer))
                 .Add("from_era", since.era)
                 .Add("from_revision", since.revision)
                 .Add("era", update.era)
                 .Add("revision", update.revision));
  ApplyUpdate(update, false);
  return state;
}

void fleet_sync::ApplyUpdate(const store_update& update, bool from_store) {
  const store_position before = mirror_.position();
  const std::vector<std::string> changed = mirror_.Apply(update, from_store, Now());
  if (mirror_.position() != before)
    revision_changed_.Set();
  const bool restored = mirror_.era() != before.era && before.revision != 0;
  if (restored)
    OnRestoredContent(before);
  for (const store_event& event : update.events) {
    const store_item* const kept = event.removed ? mirror_.Find(event.item.key) : nullptr;
    if (kept == nullptr || kept->revision > event.item.revision)
      continue;
    log_.Write(event_line("store.removal_delayed")
                   .Add("key", event.item.key)
                   .Add("revision", event.item.revision)
                   .Add("from_store", from_store));
  }
  for (const std::string& key : changed)
    ApplyRecord(key);
  const bool affects_snapshot =
      restored || std::any_of(changed.begin(), changed.end(), [&](const std::string& key) {
        return codec_.KindOf(key) != record_kind::kOther || key == kFleetSizeKey;
      });
  if (affects_snapshot)
    Publish();
}

std::string fleet_sync::RegistrationRecord() const {
  return json::serialize(json::object{{"name", settings_.name},
                                      {"incarnation", incarnation_ >> 1U},
                                      {"failure_domain", settings_.failure_domain},
                                      {"cores", settings_.cores},
                                      {"clients", ToString(settings_.clients)},
                                      {"peers", ToString(settings_.peers)}});
}

result<void> fleet_sync::Register() {
  if (!registration_lease_.empty()) {
    const store_lease held = registration_lease_;
    const boot_time sent = BootNow();
    auto renewed = store_.RenewLease(held);
    if (renewed)
      registration_renewal_sent_ = sent;
    if (renewed || renewed.error().code != error_code::kNotFound)
      return renewed;
    log_.Write(event_line("registration.lapsed").Add("lease", held.id).Add("era", held.era));
    registration_lease_ = {};
  }
  const boot_time sent = BootNow();
  BOOST_OUTCOME_TRY(store_lease lease, store_.OpenLease(settings_.lease));
  BOOST_OUTCOME_TRY(
      store_.Put(std::string(kEntryPrefix) + settings_.name, RegistrationRecord(), lease));
  registration_lease_ = std::move(lease);
  registration_renewal_sent_ = sent;
  registered_at_ = Now();
  log_.Write(event_line("registration.written")
                 .Add("lease", registration_lease_.id)
                 .Add("era", registration_lease_.era));
  // The entry may have begun to leave while the restore of the store had ended its lease.
  if (leaving_)
    EndLease(registration_lease_);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void fleet_sync::RegisterLoop() {
  const milliseconds period = settings_.lease / kRenewalsPerLease;
  bool failing = false;
  while (!stop_.IsSet() && !leaving_) {
    // An entry without a configuration can't serve, so it does not register yet.
    const auto written =
        catalog_ ? Register() : result<void>(BOOST_OUTCOME_V2_NAMESPACE::success());
    // Renewals are frequent, so they are the first to fail when the store is unreachable. The watch
    // would wait for its whole time on a dead connection, so it is cancelled.
    const bool lost = !written && written.error().code != error_code::kNotFound &&
                      written.error().code != error_code::kStale;
    if (lost) {
      UpdateStoreReachability(false, written.error().message);
      store_.CancelWatch();
    }
    if (written && catalog_) {
      mirror_.OnContact(Now());
      UpdateStoreReachability(true, "renewed");
      RewriteLostKeys();
    }
    if (!written && !failing)
      log_.Write(event_line("registration.failed").Add("reason", written.error().message));
    failing = !written;
    registration_due_.WaitFor(catalog_ ? (failing ? period / 2 : period) : kExpiryCheckPeriod);
  }
}

bool fleet_sync::HasValidRegistration() const {
  return !registration_lease_.empty() && !leaving_ &&
         BootNow() - registration_renewal_sent_ < settings_.lease;
}

std::string fleet_sync::CoordinatorId() const {
  return settings_.name + "/" + ToString(incarnation{incarnation_});
}

const store_item* fleet_sync::FindHolder() const {
  return mirror_.IsCarriedOver(kCoordinatorKey) ? nullptr : mirror_.Find(kCoordinatorKey);
}

bool fleet_sync::IsCoordinator() const {
  if (coordinator_lease_.empty() || !coordinator_role_.MayAct(BootNow()))
    return false;
  const store_item* const holder = FindHolder();
  if (holder != nullptr)
    return holder->value == CoordinatorId();
  // The claim is confirmed by the store, but may not have reached this entry's mirror yet.
  return BootNow() - confirmed_claim_sent_ < kClaimVisibilityDelay;
}

store_position fleet_sync::CoordinatorTerm() const {
  // The answer to a claim may have been lost, or the mirror may still show an earlier claim.
  const store_item* const holder = FindHolder();
  if (holder == nullptr || holder->value != CoordinatorId())
    return confirmed_claim_;
  return std::max(confirmed_claim_, store_position{mirror_.era(), holder->revision});
}

bool fleet_sync::ClaimIsDue() {
  const time_point now = Now();
  if (!vacant_since_) {
    vacant_since_ = now;
    log_.Write(event_line("coordinator.vacant").Add("revision", mirror_.revision()));
  }
  const store_item* const last = mirror_.Find(kLastCoordinatorKey);
  if (last != nullptr && last->value == settings_.name)
    return true;
  if (now - registered_at_ < kEntryDiscoveryTime)
    return false;
  const std::vector<entry_record> entries = Entries();
  const auto before = static_cast<std::int64_t>(
      CountEarlierClaimants(kCoordinatorKey, {settings_.name, settings_.cores}, entries));
  return now - std::max(*vacant_since_, registered_at_ + kEntryDiscoveryTime) >=
         before * kClaimTurnTime;
}

void fleet_sync::TryClaimCoordinatorRole() {
  const store_item* const holder = FindHolder();
  if (!HasValidRegistration() || !view_current_ || mirror_.IsFromOlderEra() || IsCoordinator())
    return;
  // If an earlier incarnation of this entry holds the role, it is dead and can be replaced although
  // its lease has not ended.
  const bool own = holder != nullptr && holder->value.starts_with(settings_.name + "/");
  if (holder != nullptr && !own) {
    vacant_since_.reset();
    return;
  }
  const time_point sent = Now();
  if (sent < next_claim_at_ || MayFormerCoordinatorAct() || (!own && !ClaimIsDue()))
    return;
  vacant_since_.reset();
  next_claim_at_ = sent + kMinClaimInterval;
  const boot_time boot_sent = BootNow();
  const std::optional<store_item> replaced = own ? std::optional(*holder) : std::nullopt;
  auto lease = store_.OpenLease(settings_.coordinator_lease);
  const auto claimed = !lease     ? result<std::optional<std::uint64_t>>(lease.error())
                       : replaced ? store_.Replace(*replaced, CoordinatorId(), lease.value())
                                  : store_.Create(kCoordinatorKey, CoordinatorId(), lease.value());
  // A write that failed without an answer may still take effect, so its lease is kept.
  if (lease && lease.value().era == store_.era().newest() && (!claimed || claimed.value())) {
    coordinator_lease_ = lease.value();
    coordinator_role_.OnRenewed(boot_sent);
  }
  if (lease && claimed && claimed.value()) {
    confirmed_claim_sent_ = boot_sent;
    confirmed_claim_ = {lease.value().era, *claimed.value()};
    StoreLastCoordinator();
  }
  event_line line("coordinator.claim");
  line.Add("revision", mirror_.revision());
  if (claimed)
    line.Add("claimed", claimed.value().has_value()).Add("term", claimed.value().value_or(0));
  else
    line.Add("reason", claimed.error().message);
  log_.Write(std::move(line));
}

std::size_t fleet_sync::StoredFleetSize() const {
  const std::string value = StoredValue(kFleetSizeKey);
  std::size_t stored = 0;
  std::from_chars(value.data(), value.data() + value.size(), stored);
  return stored;
}

void fleet_sync::StoreLastCoordinator() {
  const store_item* const last = mirror_.Find(kLastCoordinatorKey);
  if (last != nullptr && last->value == settings_.name)
    return;
  const auto written = PutNoted(std::string(kLastCoordinatorKey), settings_.name, {});
  if (!written)
    log_.Write(event_line("coordinator.not_noted").Add("reason", written.error().message));
}

void fleet_sync::StorePopularity(const std::string& group, const std::string& popularity) {
  time_point& stored = popularity_stored_at_[group];
  const time_point now = Now();
  if (now - stored < kPopularityStoreInterval || !store_reachable_)
    return;
  stored = now;
  const auto written = PutNoted(std::string(kPopularityPrefix) + group, popularity, {});
  if (!written) {
    log_.Write(event_line("expert.popularity_not_noted")
                   .Add("group", group)
                   .Add("reason", written.error().message));
  }
}

std::string fleet_sync::StoredPopularity(const std::string& group) const {
  return StoredValue(std::string(kPopularityPrefix) + group);
}

void fleet_sync::StoreFleetSize() {
  const std::size_t present = Entries().size();
  const std::size_t stored = StoredFleetSize();
  const time_point now = Now();
  if (present >= stored)
    fleet_size_confirmed_at_ = now;
  const bool due = present > stored || now - fleet_size_confirmed_at_ >= kFleetShrinkDelay;
  if (present == stored || present == 0 || !due)
    return;
  const auto written = PutNoted(std::string(kFleetSizeKey), std::to_string(present), {});
  fleet_size_confirmed_at_ = now;
  log_.Write(event_line("fleet.size_noted")
                 .Add("entries", static_cast<std::uint64_t>(present))
                 .Add("before", static_cast<std::uint64_t>(stored))
                 .Add("reason", written ? "" : written.error().message));
}

void fleet_sync::CoordinatorLoop() {
  const milliseconds period = settings_.coordinator_lease / kRenewalsPerLease;
  while (!stop_.WaitFor(period)) {
    if (coordinator_lease_.empty())
      continue;
    if (IsCoordinator())
      StoreFleetSize();
    const boot_time sent = BootNow();
    const store_lease held = coordinator_lease_;
    coordinator_role_.OnRenewalAttempt(sent);
    const auto renewed = store_.RenewLease(held);
    if (coordinator_lease_ != held)
      continue;  // The store was restored, or the role resigned.
    if (renewed) {
      coordinator_role_.OnRenewed(sent);
      continue;
    }
    if (renewed.error().code != error_code::kNotFound)
      continue;  // RegisterLoop reports a store that does not answer.
    log_.Write(event_line("coordinator.lapsed").Add("lease", held.id).Add("era", held.era));
    coordinator_lease_ = {};
  }
}

void fleet_sync::Deregister() {
  leaving_ = true;
  EndLease(registration_lease_);
}

void fleet_sync::ResignCoordinator() {
  EndLease(std::exchange(coordinator_lease_, {}));
}

void fleet_sync::EndLease(const store_lease& lease) {
  if (lease.empty() || lease.era != store_.era().newest())
    return;
  const auto ended = store_.EndLease(lease);
  if (!ended)
    log_.Write(event_line("registration.left_behind").Add("reason", ended.error().message));
}

}  // namespace quincebank
