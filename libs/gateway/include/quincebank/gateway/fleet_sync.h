#pragma once

#include <atomic>
#include <functional>
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
#include "quincebank/placement/crash_blame.h"
#include "quincebank/rpc/rpc.h"

namespace quincebank {

/// \brief Keeps this entry's view of the fleet up to date: configuration, upstreams and entries.
/// Runs on the control thread.
///
/// Watches the shared store, or follows the store readers of the failure domain (see
/// `store_relay.h`). While no watch confirms this view, reads the views of other entries, since the
/// store may be unreachable from single hosts only, or a connection may have gone silent. Registers
/// this entry in the store under a lease and holds the coordinator role if this entry has claimed
/// it.
class fleet_sync {
 public:
  fleet_sync(const gateway_settings& settings,
             const rules_holder& rules,
             const record_codec& codec,
             shared_store& store,
             rpc_client& rpc,
             event_log& log,
             fleet_snapshot_holder& snapshots,
             std::uint64_t incarnation);

  /// \brief Adds the RPC method `store.since`, by which other entries read this view.
  void AddMethods(rpc_server& rpc);
  /// \brief Starts the loops in fibers of the control thread.
  /// \returns An error if the socket for announcements can't be bound.
  [[nodiscard]] result<void> Start(fiber_thread& thread);
  /// \brief Ends the registration of this entry, so that look-ups no longer list it. Claims of the
  /// coordinator role stop, but a role that it holds stays until it is resigned.
  void Deregister();
  /// \brief Ends the coordinator role of this entry, if it holds it, so that another one can take
  /// over at once.
  void ResignCoordinator();
  /// \brief Tries to become the coordinator, the one entry that rebalances experts, if the role is
  /// vacant and the entries that come first have had time to claim it.
  void TryClaimCoordinatorRole();
  /// \brief Whether this incarnation of the entry is the coordinator and may act as such.
  [[nodiscard]] bool IsCoordinator() const;
  /// \brief Returns the position of the store at which the coordinator has claimed its role. Grows
  /// from one claim to the next, whichever entry makes it.
  /// \pre `IsCoordinator()`
  [[nodiscard]] store_position CoordinatorTerm() const;
  /// \brief Whether this entry is registered and the lease of its registration can't have ended
  /// yet.
  [[nodiscard]] bool HasValidRegistration() const;
  /// \brief Stores the encoded expert popularity of a group, at a limited rate: does nothing if the
  /// last write for the group is too recent or the store is unreachable.
  void StorePopularity(const std::string& group, const std::string& popularity);
  /// \brief Returns the stored popularity of a group; empty if there is none.
  [[nodiscard]] std::string StoredPopularity(const std::string& group) const;
  /// \brief Sets the receiver of the crash reports of all entries. Call before `Start`.
  void OnCrashReports(std::function<void(const crash_report&)> receiver) {
    on_crash_ = std::move(receiver);
  }
  /// \brief Sets the receiver of each restore of the store. Call before `Start`.
  void OnStoreRestored(std::function<void()> receiver) { on_restored_ = std::move(receiver); }
  /// \brief Writes a report on a crashed upstream to the store, joined with others on the same
  /// crash. Returns when it is written or several tries have failed.
  void ShareCrash(const crash_report& report);
  /// \brief Ends the loops and waits for them, which may take as long as a watch of the store. Call
  /// from another thread.
  void Stop();

 private:
  void EndLease(const store_lease& lease);
  /// \brief The era of the store has risen: ends what is held under leases of the older era and
  /// makes the watch loop read the whole content.
  void OnEraRise(std::uint64_t era);
  /// \brief Follows the first content of a new era: notes the keys that it lacks.
  /// \param before  position of the view until then.
  void OnRestoredContent(const store_position& before);
  /// \brief Writes the keys that a restore has lost and that this entry is responsible for.
  void RewriteLostKeys();
  /// \brief Writes a key and notes its value in case a restore loses it.
  [[nodiscard]] result<void> PutNoted(const std::string& key,
                                      const std::string& value,
                                      const store_lease& lease);
  /// \brief Writes one lost key unless it exists.
  /// \param report  it is a crash report, which is written under the lease for those.
  [[nodiscard]] result<void> RewriteLostKey(const std::string& key,
                                            const std::string& value,
                                            bool report);
  /// \brief Returns the lease for crash reports; opens it if needed.
  [[nodiscard]] result<store_lease> CrashLease();
  /// \brief Whether an upstream leaves, by its record or by an announcement that a restored store
  /// has lost. Notes announcements.
  [[nodiscard]] bool HasAnnouncedLeaving(const std::string& key, const upstream_record& record);
  /// \brief Whether the holder of the coordinator role before a restore of the store may still
  /// believe that it holds it.
  [[nodiscard]] bool MayFormerCoordinatorAct() const;
  /// \brief Watches the store, or follows the readers of the failure domain.
  void WatchLoop();
  /// \brief While this entry is a store reader, announces its revision to the entries of its
  /// failure domain.
  void AnnounceLoop();
  /// \brief Receives the announcements of the store readers.
  void ReceiveAnnouncementsLoop();
  /// \brief Time between a watch that has returned changes and the next one.
  [[nodiscard]] milliseconds WatchPause() const;
  /// \brief Whether this entry relies on the readers of its failure domain instead of watching the
  /// store itself.
  [[nodiscard]] bool FollowsReaders() const;
  /// \brief Whether a reader is live that knows the store in its newest era, or may soon do so.
  [[nodiscard]] bool HasReader(time_point now) const;
  /// \brief Fetches the changes that a reader has announced, or waits for the next announcement.
  void FollowReader();
  /// \brief Registers this entry and renews the lease of its registration.
  void RegisterLoop();
  /// \brief Carries out delayed removals. Reads from other entries while this view is outdated.
  void PeerLoop();
  /// \brief Renews the coordinator's lease, which is shorter than that of registrations.
  void CoordinatorLoop();
  /// \brief Reads the whole store, or watches it for changes after the known revision.
  [[nodiscard]] result<store_update> ReadStore();
  /// \param from_store  false if another entry passed the update on.
  void ApplyUpdate(const store_update& update, bool from_store);
  /// State of another entry's view.
  enum class peer_view : std::uint8_t {
    kUnavailable,  ///< The entry gave no usable answer.
    kOutdated,     ///< The store has not confirmed it lately.
    kCurrent,
  };
  /// \brief Fetches and applies the changes that another entry knows beyond this view.
  [[nodiscard]] peer_view ReadPeer(const endpoint& peer);
  /// \brief Brings the decoded state of a key up to date with the mirror.
  void ApplyRecord(const std::string& key);
  void ApplyCatalog(const store_item& item);
  /// \param item  null if the key was removed.
  void ApplyUpstream(const std::string& key, const store_item* item);
  /// \param item  null if the key was removed.
  void ApplyEntry(const std::string& key, const store_item* item);
  /// \param item  null if the key was removed.
  void ApplyCrashReport(const std::string& key, const store_item* item);
  /// \brief Hands a new snapshot to the traffic threads.
  void Publish();
  /// \brief Sets this entry's share of the request rate limit of each cold upstream.
  void ApplyColdLimitShares(fleet_snapshot& snapshot) const;
  /// \brief Marks upstreams that another registered upstream has replaced.
  void MarkSuperseded(fleet_snapshot& snapshot) const;
  /// \brief Returns the liveness of an upstream's group; null if it is in no group.
  [[nodiscard]] ref_ptr<group_liveness> LivenessOf(const upstream_record& record);
  /// \brief Returns the record of the coordinator; null if the role is vacant.
  [[nodiscard]] const store_item* FindHolder() const;
  /// \brief Returns this entry's name and incarnation, as stored by the holder of the role.
  [[nodiscard]] std::string CoordinatorId() const;
  /// \brief Stores this entry's name as that of the last coordinator.
  void StoreLastCoordinator();
  /// \brief Stores the number of entries; a smaller number only after `kFleetShrinkDelay`.
  void StoreFleetSize();
  /// \brief Returns the value of a key, also if a restore has lost it; empty if there is none.
  [[nodiscard]] std::string StoredValue(std::string_view key) const;
  /// \brief Returns the stored number of entries; 0 if none is stored.
  [[nodiscard]] std::size_t StoredFleetSize() const;
  /// \brief Whether the entries before this one have had time to claim the vacant role.
  [[nodiscard]] bool ClaimIsDue();
  /// \brief Writes one report under the lease for crash reports.
  [[nodiscard]] result<void> WriteCrash(const crash_report& report);
  /// \brief Renews the registration, or writes it under a new lease if there is none.
  [[nodiscard]] result<void> Register();
  /// \brief Returns this entry's record, see `ParseEntryRecord`.
  [[nodiscard]] std::string RegistrationRecord() const;
  [[nodiscard]] std::vector<entry_record> Entries() const;
  /// \brief Time since the store last confirmed that this view is complete.
  [[nodiscard]] milliseconds ViewAge() const;
  /// \brief Whether a watch that should have confirmed this view has not done so.
  [[nodiscard]] bool IsViewOutdated() const;
  /// \brief The store, or a reader that knows no later revision, confirmed this view.
  void ConfirmView(time_point at);
  /// \brief Records whether the last call to the store succeeded; logs a change.
  void UpdateStoreReachability(bool reachable, std::string_view reason);

  const gateway_settings& settings_;
  const rules_holder& rules_;
  const record_codec& codec_;
  shared_store& store_;
  rpc_client& rpc_;
  event_log& log_;
  fleet_snapshot_holder& snapshots_;
  const std::uint64_t incarnation_;
  stop_signal stop_;
  std::atomic<int> running_loops_{0};  ///< Loops that have not ended.
  store_mirror mirror_;
  ref_ptr<const service_catalog> catalog_;
  std::uint64_t catalog_era_ = 0;  ///< Era of the record of `catalog_`.
  std::map<std::string, known_upstream, std::less<>> upstreams_;      ///< By store key.
  std::map<std::string, ref_ptr<group_liveness>> liveness_by_group_;  ///< By service and group.
  store_lease registration_lease_;         ///< Empty while this entry is not registered.
  boot_time registration_renewal_sent_{};  ///< When the last successful renewal was sent.
  fiber_event registration_due_;           ///< Wakes `RegisterLoop`.
  store_lease coordinator_lease_;          ///< Empty unless this entry has claimed the role.
  role_lease coordinator_role_;
  boot_time confirmed_claim_sent_{};  ///< When the last confirmed claim was sent.
  store_position confirmed_claim_;    ///< Where the store has carried out that claim.
  std::map<std::string, time_point> popularity_stored_at_;  ///< By group.
  time_point registered_at_{};              ///< When this entry's record was written last.
  std::optional<time_point> vacant_since_;  ///< Since when no entry holds the role.
  time_point next_claim_at_{};
  /// When there were last at least as many entries as stored.
  time_point fleet_size_confirmed_at_{};
  std::function<void(const crash_report&)> on_crash_;
  std::map<std::string, crash_report> unshared_crashes_;  ///< By upstream.
  store_lease crash_lease_;  ///< Ends by itself, and the reports with it.
  time_point crash_lease_opened_{};
  const time_point started_;
  bool starting_ = true;  ///< Entries that started at the same time may still be unknown.
  bool leaving_ = false;
  std::map<std::string, entry_record, std::less<>> entries_;  ///< By store key.
  std::unique_ptr<datagram_socket> announcement_socket_;      ///< Null if no port is configured.
  store_reader_tracker reader_tracker_;
  fiber_event announcement_received_;  ///< Wakes `FollowReader`.
  fiber_event revision_changed_;  ///< The revision of the mirror has grown; wakes `AnnounceLoop`.
  time_point watch_directly_until_{};  ///< Until then this entry does not follow readers.
  /// Position of this entry among the store readers of its failure domain; empty if it is not one.
  std::optional<std::size_t> reader_index_;
  /// When a watch of this entry or of its reader last confirmed that this view is complete.
  std::optional<time_point> view_confirmed_at_;
  bool view_current_ = false;      ///< A watch has succeeded since the last full read.
  bool watching_ = false;          ///< A blocking watch of the store is waiting.
  bool full_read_needed_ = false;  ///< The store has lost the history since the known revision.
  bool store_reachable_ = false;
  std::function<void()> on_restored_;
  std::optional<boot_time> era_raised_at_;  ///< When the last restore was noticed.
  bool coordinator_before_rise_ = false;    ///< This entry held the role at that time.
  std::uint64_t restored_revision_ = 0;     ///< Of the first content of the present era.
  /// Values of keys that a restore has lost, until they are written again.
  std::map<std::string, std::string, std::less<>> lost_keys_;
  /// Value that this entry has written.
  struct written_value {
    std::string value;
    time_point at{};
  };
  std::map<std::string, written_value> written_keys_;  ///< Those that may not be in the mirror yet.
  /// Upstream that has announced that it leaves.
  struct leaving_upstream {
    std::uint64_t incarnation = 0;
    std::uint64_t era = 0;  ///< In which it has announced that.
    time_point announced_at{};
  };
  std::map<std::string, leaving_upstream> leaving_upstreams_;  ///< By store key.
};

/// \brief Decodes the record under which an entry has registered.
/// \returns The record, or all errors found in it.
[[nodiscard]] result<entry_record> ParseEntryRecord(std::string_view text);

}  // namespace quincebank
