#include "quincebank/membership/config_exchange.h"

#include <algorithm>
#include <utility>

#include "quincebank/base/digest.h"
#include "quincebank/membership/peer_plan.h"
#include "quincebank/membership/rendezvous.h"

namespace quincebank {
namespace {

/// Pause between two watches, so that a root that changes all the time costs few reads.
constexpr milliseconds kServicePause{100};
/// Pause between reads while no configuration was ever accepted.
constexpr milliseconds kAbsentPause{1'000};
/// Pause of a fresh node that is no watcher after it has read the root: its sections need that time
/// to arrive, and the whole fleet may start at once.
constexpr milliseconds kStrangerPause{5'000};
/// Longest pause of a fresh node that is no watcher: all nodes of the fleet may be in this state.
constexpr milliseconds kStrangerLastWait{15'000};
/// Failed fetches of one body before the waits grow: lost messages are common, lost bodies are not.
constexpr std::size_t kQuickFetches = 8;
constexpr std::size_t kMaxDoublings = 16;
/// Tries with the short time limit.
constexpr std::size_t kShortFetches = 4;
/// One in so many tries goes to the service if peers have the body too: it may be down, and then
/// each try costs a whole time limit.
constexpr std::size_t kServiceTurn = 4;

milliseconds Spread(std::string_view key, std::string_view node, milliseconds range) {
  return milliseconds(RendezvousScore(key, node) % static_cast<std::uint64_t>(range.count()));
}

}  // namespace

config_exchange::config_exchange(config_peer self,
                                 exchange_settings settings,
                                 config_holder& holder,
                                 time_point start)
    : self_(std::move(self)),
      settings_(settings),
      holder_(holder),
      start_(start),
      service_next_(start),
      service_wait_(settings.service_first_wait) {}

void config_exchange::OnPeers(std::vector<config_peer> peers, time_point now) {
  std::erase_if(peers, [this](const config_peer& peer) { return peer.name == self_.name; });
  std::vector<std::string> names;
  names.reserve(peers.size());
  std::vector<std::string> entries;
  for (const config_peer& peer : peers) {
    names.push_back(peer.name);
    if (peer.role == peer_role::kEntry && peer.region == self_.region)
      entries.push_back(peer.name);
  }
  watch_rank_.reset();
  if (self_.role == peer_role::kEntry) {
    const std::string key = "watch/" + self_.region;
    const std::uint64_t mine = RendezvousScore(key, self_.name);
    watch_rank_ = static_cast<std::size_t>(
        std::count_if(entries.begin(), entries.end(),
                      [&](const std::string& name) { return RendezvousScore(key, name) > mine; }));
  }
  std::vector<std::string> polled = PolledPeers();
  std::vector<config_peer> ordered;
  ordered.reserve(peers.size());
  for (const std::uint32_t index : RendezvousOrder(self_.name, names, names.size()))
    ordered.push_back(std::move(peers[index]));
  peers_ = std::move(ordered);
  planned_ = PlanPeers(self_, peers_, settings_.peers, settings_.remote_peers);
  // Slots name peers by position, which has changed.
  std::vector<slot> kept;
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    const auto found = std::find_if(peers_.begin(), peers_.end(), [&](const config_peer& peer) {
      return peer.name == polled[i];
    });
    if (found == peers_.end())
      continue;
    kept.push_back(slots_[i]);
    kept.back().peer = static_cast<std::uint32_t>(found - peers_.begin());
  }
  slots_ = std::move(kept);
  std::erase_if(notes_, [this](const auto& note) {
    return std::none_of(peers_.begin(), peers_.end(),
                        [&](const config_peer& peer) { return peer.name == note.first; });
  });
  FillSlots(now);
}

std::size_t config_exchange::AddSlots(bool remote,
                                      bool resting,
                                      std::size_t count,
                                      time_point now) {
  std::size_t added = 0;
  for (std::uint32_t i = 0; i < peers_.size() && added < count; ++i) {
    if (IsRemote(i) != remote || Rests(i, now) != resting || IsPolled(i))
      continue;
    slots_.push_back({i, now + Spread(self_.name, peers_[i].name, settings_.poll_interval), 0});
    ++added;
  }
  return added;
}

bool config_exchange::IsPolled(std::uint32_t peer) const {
  return std::any_of(slots_.begin(), slots_.end(),
                     [peer](const slot& used) { return used.peer == peer; });
}

bool config_exchange::Rests(std::uint32_t peer, time_point now) const {
  const auto note = notes_.find(peers_[peer].name);
  return note != notes_.end() && note->second.rest_until > now;
}

bool config_exchange::IsRemote(std::uint32_t peer) const {
  return peers_[peer].region != self_.region;
}

void config_exchange::FillSlots(time_point now) {
  std::size_t want_remote = 0;
  for (const std::uint32_t peer : planned_)
    want_remote += IsRemote(peer) ? 1 : 0;
  for (const std::uint32_t peer : planned_) {
    if (slots_.size() < settings_.peers && !IsPolled(peer) && !Rests(peer, now))
      slots_.push_back(
          {peer, now + Spread(self_.name, peers_[peer].name, settings_.poll_interval)});
  }
  for (const slot& used : slots_)
    want_remote -= IsRemote(used.peer) && want_remote > 0 ? 1 : 0;
  const std::size_t free = settings_.peers - std::min(settings_.peers, slots_.size());
  want_remote = std::min(free, want_remote);
  std::size_t want_local = free - want_remote;
  // Resting peers are taken only if no other is left in the same place, so that a node whose peers
  // all failed keeps trying.
  for (const bool resting : {false, true}) {
    want_remote -= AddSlots(true, resting, want_remote, now);
    want_local -= AddSlots(false, resting, want_local, now);
  }
  std::size_t left = want_remote + want_local;
  for (const bool resting : {false, true}) {
    left -= AddSlots(false, resting, left, now);
    left -= AddSlots(true, resting, left, now);
  }
}

void config_exchange::ReturnToPlan(time_point now) {
  for (const std::uint32_t peer : planned_) {
    if (IsPolled(peer) || Rests(peer, now))
      continue;
    const auto is_substitute = [&](const slot& used) {
      return std::find(planned_.begin(), planned_.end(), used.peer) == planned_.end();
    };
    auto substitute = std::find_if(slots_.begin(), slots_.end(), [&](const slot& used) {
      return is_substitute(used) && IsRemote(used.peer) == IsRemote(peer);
    });
    if (substitute == slots_.end())
      substitute = std::find_if(slots_.begin(), slots_.end(), is_substitute);
    if (substitute == slots_.end())
      continue;
    // The place keeps its rhythm. One more failure is enough to send the peer back to rest.
    substitute->peer = peer;
    substitute->failures = settings_.peer_failures - 1;
  }
}

std::vector<exchange_action> config_exchange::Due(time_point now) {
  holder_.Tick(now);
  ReturnToPlan(now);
  std::vector<exchange_action> due;
  DueService(now, due);
  DuePolls(now, due);
  DueFetches(now, due);
  return due;
}

void config_exchange::DuePolls(time_point now, std::vector<exchange_action>& due) {
  for (slot& used : slots_) {
    if (now < used.next)
      continue;
    used.next = std::max(used.next + settings_.poll_interval, now);
    due.push_back({exchange_step::kAskPeer,
                   peers_[used.peer],
                   {},
                   0,
                   holder_.version(),
                   settings_.call_timeout});
  }
}

bool config_exchange::IsWatcher(time_point now) const {
  if (!watch_rank_)
    return false;
  if (*watch_rank_ < settings_.watchers)
    return true;
  if (*watch_rank_ >= settings_.watchers + settings_.standby_watchers)
    return false;
  // Stand-ins start a second apart, so that the first one's read can reach the others.
  const milliseconds patience =
      settings_.standby_age + seconds(1) * (*watch_rank_ - settings_.watchers);
  const auto age = holder_.Age(now);
  return age ? *age > patience : now - start_ > patience;
}

void config_exchange::DueService(time_point now, std::vector<exchange_action>& due) {
  if (service_open_ || now < service_next_)
    return;
  if (IsWatcher(now)) {
    due.push_back({exchange_step::kWatchRoot, {}, {}, service_index_, 0, settings_.watch_wait});
    service_open_ = true;
    return;
  }
  // Spreads the first reads of a fleet that starts at once.
  if (now < start_ + Spread("service", self_.name, settings_.service_first_wait))
    return;
  const holder_state state = holder_.State(now);
  if (state != holder_state::kEmpty && state != holder_state::kProvisional)
    return;
  due.push_back({exchange_step::kReadRoot, {}, {}, 0, 0, settings_.call_timeout});
  service_open_ = true;
}

std::vector<std::uint32_t> config_exchange::Sources() const {
  std::vector<std::uint32_t> sources;
  for (const auto& [name, note] : notes_) {
    if (note.version <= holder_.version())
      continue;
    const auto found = std::find_if(peers_.begin(), peers_.end(),
                                    [&name = name](const auto& peer) { return peer.name == name; });
    if (found != peers_.end())
      sources.push_back(static_cast<std::uint32_t>(found - peers_.begin()));
  }
  std::stable_sort(sources.begin(), sources.end(), [this](std::uint32_t a, std::uint32_t b) {
    return notes_.find(peers_[a].name)->second.version >
           notes_.find(peers_[b].name)->second.version;
  });
  return sources;
}

bool config_exchange::MayReadService(const fetch& entry, time_point now) const {
  const milliseconds patience =
      settings_.service_fallback + Spread("fallback", self_.name, seconds(1));
  return IsWatcher(now) || now - entry.first_seen >= patience;
}

void config_exchange::DueFetches(time_point now, std::vector<exchange_action>& due) {
  const std::vector<std::string> missing = holder_.Missing();
  std::erase_if(fetches_, [&missing](const auto& entry) {
    return !entry.second.open &&
           std::find(missing.begin(), missing.end(), entry.first) == missing.end();
  });
  if (missing.empty())
    return;
  const std::vector<std::uint32_t> sources = Sources();
  auto open = static_cast<std::size_t>(std::count_if(
      fetches_.begin(), fetches_.end(), [](const auto& entry) { return entry.second.open; }));
  for (const std::string& digest : missing) {
    const auto [place, fresh] = fetches_.try_emplace(digest);
    fetch& entry = place->second;
    if (fresh)
      entry.first_seen = entry.next = now;
    if (entry.open || now < entry.next || open >= settings_.parallel_fetches)
      continue;
    // Peers come first: they spare the service, and they answer while it is down.
    const bool from_service = MayReadService(entry, now) &&
                              (entry.tries % kServiceTurn == kServiceTurn - 1 || sources.empty());
    if (from_service && holder_.IsRoot(digest) && (sources.empty() || !service_open_)) {
      // The root is not stored under its digest. A watch that is open brings it anyway.
      if (service_open_)
        continue;
      service_open_ = true;
      entry.next = now + settings_.call_timeout;
      ++entry.tries;
      due.push_back({exchange_step::kReadRoot, {}, {}, 0, 0, settings_.call_timeout});
      continue;
    }
    if (from_service && !holder_.IsRoot(digest)) {
      due.push_back({exchange_step::kFetchFromService, {}, digest, 0, 0, settings_.call_timeout});
    } else if (!sources.empty()) {
      const config_peer& source = peers_[sources[entry.tries % sources.size()]];
      const milliseconds limit =
          entry.tries < kShortFetches ? settings_.first_fetch_timeout : settings_.call_timeout;
      due.push_back({exchange_step::kFetchFromPeer, source, digest, 0, 0, limit});
    } else {
      continue;
    }
    entry.open = true;
    ++open;
  }
}

void config_exchange::OnPeerRoot(std::string_view peer,
                                 const root_answer& heard,
                                 time_point asked_at,
                                 time_point now) {
  for (slot& used : slots_) {
    if (peers_[used.peer].name == peer)
      used.failures = 0;
  }
  peer_note& note = notes_[std::string(peer)];
  note.version = std::max(note.version, heard.announcement.version);
  note.rest_until = {};
  if (heard.announcement.version == 0)
    return;
  holder_.Hear(heard.announcement, root_source::kPeer, asked_at, now);
  for (const std::string& body : heard.bodies)
    (void)holder_.Store(Sha256Hex(body), body, now);
}

void config_exchange::OnPeerFailed(std::string_view peer, time_point now) {
  for (auto used = slots_.begin(); used != slots_.end(); ++used) {
    if (peers_[used->peer].name != peer)
      continue;
    if (++used->failures < settings_.peer_failures)
      return;
    notes_[std::string(peer)].rest_until = now + settings_.peer_rest;
    const time_point next = used->next;
    slots_.erase(used);
    const std::size_t left = slots_.size();
    FillSlots(now);
    // The successor keeps the rhythm, so that replacing peers sends no more polls.
    if (slots_.size() > left)
      slots_.back().next = next;
    return;
  }
}

void config_exchange::OnBody(std::string_view digest, std::string_view body, time_point now) {
  if (!holder_.Store(digest, body, now)) {
    OnFetchFailed(digest, now);
    return;
  }
  const auto entry = fetches_.find(digest);
  if (entry != fetches_.end())
    fetches_.erase(entry);
}

void config_exchange::OnFetchFailed(std::string_view digest, time_point now) {
  const auto entry = fetches_.find(digest);
  if (entry == fetches_.end())
    return;
  entry->second.open = false;
  ++entry->second.tries;
  const std::size_t doublings = std::min<std::size_t>(
      entry->second.tries > kQuickFetches ? entry->second.tries - kQuickFetches : 0, kMaxDoublings);
  entry->second.next =
      now + std::min(settings_.fetch_retry * (1U << doublings), settings_.fetch_last_retry);
}

void config_exchange::OnServiceRoot(const std::optional<stored_value>& value,
                                    time_point asked_at,
                                    time_point now) {
  service_open_ = false;
  service_wait_ = settings_.service_first_wait;
  if (!value) {
    service_next_ = now + kAbsentPause;
  } else {
    service_next_ = now + (IsWatcher(now) ? kServicePause : kStrangerPause);
  }
  if (!value)
    return;
  service_index_ = value->index;
  (void)holder_.HearRootBody(value->value, root_source::kService, asked_at, now);
}

void config_exchange::OnServiceFailed(time_point now) {
  service_open_ = false;
  service_next_ = now + service_wait_ + Spread("service", self_.name, settings_.service_first_wait);
  const milliseconds last = watch_rank_ && *watch_rank_ < settings_.watchers
                                ? settings_.service_last_wait
                                : kStrangerLastWait;
  service_wait_ = std::min(2 * service_wait_, last);
}

root_relation config_exchange::OnOffer(const root_announcement& offered,
                                       const std::vector<std::string>& bodies,
                                       time_point now) {
  const root_relation relation = holder_.Hear(offered, root_source::kOffer, now, now);
  for (const std::string& body : bodies)
    (void)holder_.Store(Sha256Hex(body), body, now);
  return relation;
}

std::vector<std::string> config_exchange::PolledPeers() const {
  std::vector<std::string> names;
  names.reserve(slots_.size());
  for (const slot& used : slots_)
    names.push_back(peers_[used.peer].name);
  return names;
}

}  // namespace quincebank
