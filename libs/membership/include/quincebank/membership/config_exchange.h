#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/time.h"
#include "quincebank/config/apply_flow.h"
#include "quincebank/config/holder.h"
#include "quincebank/membership/config_peer.h"

namespace quincebank {

struct exchange_settings {
  std::size_t peers = 3;            ///< Peers polled by each node.
  std::size_t remote_peers = 1;     ///< How many of them are in other regions, if there are any.
  milliseconds poll_interval{500};  ///< Between two polls of one peer.
  milliseconds call_timeout{400};   ///< The caller reports a failure after this time.
  /// Failures in a row after which the next peer in rendezvous order takes the place of a planned
  /// one, until that has rested.
  std::size_t peer_failures = 3;
  milliseconds peer_rest{15'000};  ///< Time until a replaced peer is tried again.
  std::size_t parallel_fetches = 4;
  /// Time limit of the first four tries to fetch a body from a peer; later ones have
  /// `call_timeout`. A lost message is more common than a slow peer, and each hop of a large
  /// section waits for it.
  milliseconds first_fetch_timeout{200};
  milliseconds fetch_retry{
      100};  ///< Doubles from the ninth failure on, since the body may be gone.
  milliseconds fetch_last_retry{3'000};
  /// Nodes that do not watch read a body from the service only after this time without a peer that
  /// has it, so that a change costs the service a few reads and not one for each node.
  milliseconds service_fallback{3'000};
  std::size_t watchers = 3;  ///< Entries of each region that watch the root.
  /// Entries that stand in when the root they hold gets old: the watchers may be gone before the
  /// host list says so. They are few, since during an outage every root gets old.
  std::size_t standby_watchers = 3;
  milliseconds standby_age{4'500};
  /// Longest blocking watch. Its return confirms the root as of its start, so the age at a watcher
  /// reaches twice this time; the way through the fleet has to fit in the rest of the 10 s after
  /// which a root is unconfirmed.
  milliseconds watch_wait{2'000};
  milliseconds service_first_wait{500};
  milliseconds service_last_wait{4'000};
};

enum class exchange_step : std::uint8_t {
  kAskPeer,           ///< `config.root {have}` of `peer`; answer by `OnPeerRoot` or `OnPeerFailed`.
  kFetchFromPeer,     ///< `config.section {digest}`; answer by `OnBody` or `OnFetchFailed`.
  kFetchFromService,  ///< Read `SectionKey(digest)`; answered as above.
  kReadRoot,          ///< Plain read of the root; answer by `OnServiceRoot` or `OnServiceFailed`.
  kWatchRoot,         ///< Blocking read at `index` for at most `wait`; answered in the same way.
};

struct exchange_action {
  exchange_step step = exchange_step::kAskPeer;
  config_peer peer;
  std::string digest;
  std::uint64_t index = 0;
  std::uint64_t have = 0;  ///< Version held, for `config.root`.
  milliseconds wait{0};    ///< Time limit of the call, or of the blocking watch.
};

/// \brief Decides which peers a node asks for the configuration and when it reads the service.
///
/// Does no I/O: the caller runs the actions of `Due` and reports each answer. One blocking watch,
/// and at most `parallel_fetches` fetches, are open at a time.
///
/// \example
///   for (const exchange_action& action : exchange.Due(now)) { ... }
class config_exchange {
 public:
  config_exchange(config_peer self,
                  exchange_settings settings,
                  config_holder& holder,
                  time_point start);

  /// \brief Replaces the list of live processes. `self` may be in it.
  void OnPeers(std::vector<config_peer> peers, time_point now);

  [[nodiscard]] std::vector<exchange_action> Due(time_point now);

  void OnPeerRoot(std::string_view peer,
                  const root_answer& heard,
                  time_point asked_at,
                  time_point now);
  void OnPeerFailed(std::string_view peer, time_point now);
  /// \brief A body arrived, from a peer or the service.
  void OnBody(std::string_view digest, std::string_view body, time_point now);
  /// \brief The source failed or does not have the body.
  void OnFetchFailed(std::string_view digest, time_point now);
  void OnServiceRoot(const std::optional<stored_value>& value, time_point asked_at, time_point now);
  void OnServiceFailed(time_point now);
  /// \brief A peer or the command-line tool offered a root.
  /// \param bodies  the root's body first, then those of sections; may be empty.
  root_relation OnOffer(const root_announcement& offered,
                        const std::vector<std::string>& bodies,
                        time_point now);

  [[nodiscard]] bool IsWatcher(time_point now) const;
  /// \brief Returns the names of the peers polled now.
  [[nodiscard]] std::vector<std::string> PolledPeers() const;

 private:
  struct slot {
    std::uint32_t peer = 0;  ///< Position in `peers_`.
    time_point next;
    std::size_t failures = 0;
  };
  struct fetch {
    bool open = false;
    std::size_t tries = 0;
    time_point first_seen;
    time_point next;
    std::string source;  ///< Peer that is asked; empty for the service.
  };
  struct peer_note {
    std::uint64_t version = 0;  ///< Highest version announced by the peer.
    time_point rest_until;
  };

  void FillSlots(time_point now);
  /// Gives places back to planned peers whose rest is over.
  void ReturnToPlan(time_point now);
  [[nodiscard]] bool IsPolled(std::uint32_t peer) const;
  [[nodiscard]] bool Rests(std::uint32_t peer, time_point now) const;
  [[nodiscard]] bool IsRemote(std::uint32_t peer) const;
  std::size_t AddSlots(bool remote, bool resting, std::size_t count, time_point now);
  [[nodiscard]] bool MayReadService(const fetch& entry, time_point now) const;
  void DuePolls(time_point now, std::vector<exchange_action>& due);
  void DueFetches(time_point now, std::vector<exchange_action>& due);
  void DueService(time_point now, std::vector<exchange_action>& due);
  [[nodiscard]] std::vector<std::uint32_t> Sources() const;

  const config_peer self_;
  const exchange_settings settings_;
  config_holder& holder_;
  const time_point start_;
  std::vector<config_peer> peers_;         ///< Without `self_`, in rendezvous order for it.
  std::optional<std::size_t> watch_rank_;  ///< Of this entry among the entries of its region.
  std::vector<std::uint32_t> planned_;     ///< Positions of the peers that `PlanPeers` chose.
  std::vector<slot> slots_;
  std::map<std::string, peer_note, std::less<>> notes_;
  std::map<std::string, fetch, std::less<>> fetches_;
  bool service_open_ = false;
  time_point service_next_;
  milliseconds service_wait_;
  std::uint64_t service_index_ = 0;
};

}  // namespace quincebank
