#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "quincebank/base/event_log.h"
#include "quincebank/fleet/store_mirror.h"
#include "quincebank/gateway/fleet_snapshot.h"
#include "quincebank/gateway/gateway_settings.h"
#include "quincebank/gateway/record_codec.h"
#include "quincebank/gateway/role_lease.h"
#include "quincebank/gateway/shared_store.h"
#include "quincebank/gateway/store_relay.h"
#include "quincebank/net/datagram_socket.h"
#include "quincebank/net/fiber_event.h"
#include "quincebank/net/fiber_thread.h"
#include "quincebank/rpc/rpc.h"

namespace quincebank {

/// \brief Keeps this entry's view of the fleet. Lives on the control thread.
///
/// Watches the shared store; while the store does not answer, reads the views of other entries,
/// since the store may turn away single hosts only. Registers this entry under a lease.
class fleet_sync {
 public:
  fleet_sync(const gateway_settings& settings,
             const rules_box& rules,
             const record_codec& codec,
             shared_store& store,
             rpc_client& rpc,
             event_log& log,
             fleet_snapshot_box& snapshots,
             std::uint64_t incarnation);

  /// \brief Adds `store.since`, by which other entries read this view.
  void AddMethods(rpc_server& rpc);
  /// \brief Starts the loops in fibers of the control thread.
  [[nodiscard]] result<void> Start(fiber_thread& thread);
  /// \brief Removes this entry's registration, so that look-ups no longer list it.
  void Deregister();
  /// \brief Tries to become the one entry that rebalances experts, when it is this entry's turn.
  void TryClaimCoordinatorRole();
  /// \brief Whether this incarnation of the entry is the coordinator.
  [[nodiscard]] bool IsCoordinator() const;
  /// \brief Whether this entry's registration, and so its role, surely stands.
  [[nodiscard]] bool HasValidRegistration() const;
  /// \brief Notes the popularity of a group's experts in the store, now and then.
  void StorePopularity(const std::string& group, const std::string& popularity);
  /// \brief What the store notes of the popularity of a group; empty if nothing.
  [[nodiscard]] std::string StoredPopularity(const std::string& group) const;
  /// \brief Ends the loops and waits for them; a watch may last its whole time.
  void Stop();

 private:
  void WatchLoop();
  /// \brief As a reader of the store, tells the entries of the failure domain what it knows.
  void AnnounceLoop();
  void ReceiveAnnouncementsLoop();
  /// \brief Time between a watch that has returned changes and the next one.
  [[nodiscard]] milliseconds WatchPause() const;
  /// \brief Whether this entry leaves it to the readers of its failure domain to watch the store.
  [[nodiscard]] bool FollowsReaders() const;
  /// \brief Takes what a reader has told of, or waits for its next news.
  void FollowReader();
  void RegisterLoop();
  void PeerLoop();
  /// \brief Renews the coordinator's lease, which is shorter than that of registrations.
  void CoordinatorLoop();
  [[nodiscard]] result<store_update> ReadStore();
  void ApplyUpdate(const store_update& update, bool from_store);
  [[nodiscard]] bool ReadPeer(const endpoint& peer);
  void ApplyRecord(const std::string& key);
  void ApplyCatalog(const store_item& item);
  void ApplyUpstream(const std::string& key, const store_item* item);
  void ApplyEntry(const std::string& key, const store_item* item);
  void Publish();
  /// \brief Sets the shares of this entry in what the upstreams can take when cold.
  void ApplyColdLimitShares(fleet_snapshot& snapshot) const;
  /// \brief Marks upstreams that have ended although they are still registered.
  void MarkSuperseded(fleet_snapshot& snapshot) const;
  /// \brief Returns the pulse of an upstream's group; null if it is in none.
  [[nodiscard]] ref_ptr<group_pulse> PulseOf(const upstream_record& record);
  [[nodiscard]] std::string CoordinatorId() const;
  /// \brief Notes this entry as the last coordinator.
  void StoreLastCoordinator();
  /// \brief Notes the number of entries in the store; a smaller one only after a while.
  void StoreFleetSize();
  /// \brief Number of entries that the store notes; 0 if it notes none.
  [[nodiscard]] std::size_t StoredFleetSize() const;
  /// \brief Whether the entries before this one have had time to claim the role.
  [[nodiscard]] bool ClaimIsDue();
  [[nodiscard]] result<void> Register();
  [[nodiscard]] std::string RegistrationRecord() const;
  [[nodiscard]] std::vector<entry_record> Entries() const;
  void UpdateStoreReachability(bool reachable, std::string_view reason);

  const gateway_settings& settings_;
  const rules_box& rules_;
  const record_codec& codec_;
  shared_store& store_;
  rpc_client& rpc_;
  event_log& log_;
  fleet_snapshot_box& snapshots_;
  const std::uint64_t incarnation_;
  stop_signal stop_;
  std::atomic<int> running_loops_{0};  ///< Loops that have not ended.
  store_mirror mirror_;
  ref_ptr<const service_catalog> catalog_;
  std::map<std::string, known_upstream, std::less<>> upstreams_;  ///< By key.
  std::map<std::string, ref_ptr<group_pulse>> pulses_;            ///< By service and group.
  std::string registration_lease_;
  boot_time registration_renewal_sent_{};  ///< Sending of the last renewal that succeeded.
  std::string coordinator_lease_;          ///< Empty unless this entry has claimed the role.
  role_lease coordinator_role_;
  boot_time confirmed_claim_sent_{};  ///< Sending of the claim that the store has confirmed.
  std::map<std::string, time_point> popularity_stored_at_;  ///< By group.
  time_point registered_at_{};              ///< When this entry's record was written last.
  std::optional<time_point> vacant_since_;  ///< Nobody holds the role since then.
  time_point next_claim_at_{};
  time_point
      fleet_size_confirmed_at_{};  ///< When there last were as many entries as the store notes.
  const time_point started_;
  bool starting_ = true;  ///< Entries that started at the same time may be unknown.
  bool leaving_ = false;
  std::map<std::string, entry_record, std::less<>> entries_;  ///< By key.
  std::unique_ptr<datagram_socket> announcement_socket_;      ///< Null without news.
  store_reader_tracker reader_tracker_;
  fiber_event announcement_received_;  ///< A reader has told something.
  fiber_event revision_changed_;       ///< The revision of the mirror has grown.
  time_point watch_directly_until_{};  ///< Until then the store is watched whatever readers tell.
  /// Place of this entry among the readers of its failure domain; nothing if it is none.
  std::optional<std::size_t> reader_index_;
  bool view_current_ = false;  ///< The view has been brought up to date since the last whole read.
  bool watching_ = false;      ///< A watch of the store is waiting.
  bool full_read_needed_ = false;  ///< The next read must fetch the whole content.
  bool store_reachable_ = false;
};

/// \brief Reads what an entry wrote of itself.
[[nodiscard]] result<entry_record> ParseEntryRecord(std::string_view text);

}  // namespace quincebank
