#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "quincebank/base/event_log.h"
#include "quincebank/expert_control/engine_port.h"
#include "quincebank/expert_control/map_rollout.h"
#include "quincebank/expert_control/map_versions.h"
#include "quincebank/experts/shift_detector.h"
#include "quincebank/gateway/fleet_snapshot.h"
#include "quincebank/gateway/fleet_sync.h"
#include "quincebank/gateway/rank_groups.h"
#include "quincebank/net/fiber_thread.h"

namespace quincebank {

/// \brief Rebalances the expert maps of all expert-parallel groups while this entry is the
/// coordinator.
///
/// Runs on the control thread. One fiber looks for groups, and each group has a fiber that reads
/// its expert counts, plans a new map and rolls it out.
class expert_rebalancer {
 public:
  expert_rebalancer(fleet_sync& sync,
                    engine_port& port,
                    event_log& log,
                    const fleet_snapshot_holder& snapshots);

  /// \param thread  the control thread.
  void Start(fiber_thread& thread);
  /// \brief Makes the fibers end after their current round, so that no further map change begins.
  /// Returns at once.
  void Stop();
  /// \brief Suspends a fiber of the control thread until all fibers have ended, at most until
  /// `limit`. Call after `Stop`.
  void AwaitEnd(time_point limit) const;
  /// \brief Blocks until all fibers have ended, including a map change in progress. Call after
  /// `Stop`, from a thread other than the control thread.
  void Join() const;

 private:
  /// State of one group, kept between reads.
  struct group_state {
    bool fiber_running = false;  ///< A fiber handles the group.
    std::uint64_t epoch = 0;  ///< Epoch of the group that the state belongs to; 0 before recovery.
    bool recovered = false;   ///< No unfinished map change was found for the epoch.
    std::vector<rank_experts> map;  ///< Experts by set and rank; empty if unknown.
    std::map<std::string, std::vector<std::uint64_t>> last_counts;  ///< By upstream id.
    popularity_window popularity;
    time_point last_change{};         ///< Time of the last rollout.
    time_point next_map_check{};      ///< When the maps of the ranks are compared again.
    bool popularity_assumed = false;  ///< Only the stored popularity is known, no counts yet.
    bool shifted = false;             ///< The last window showed a shift of the popularity.
    bool shifted_before = false;  ///< The window before it showed one, or followed an assumption.
    double choices = 0;           ///< Expert choices in the first set, in the last read.
    int idle_reads = 0;           ///< Consecutive reads without any expert choice.
  };

  [[nodiscard]] static group_state MakeState(std::uint64_t epoch);
  /// \brief Whether the catalog has a service whose engines are expert-parallel.
  [[nodiscard]] bool HasExpertServices() const;
  /// \brief Claims the coordinator role and starts a fiber for each group that has none.
  void ScanLoop(fiber_thread& thread);
  /// \brief Balances one group until it is incomplete or the term of this entry as coordinator
  /// ends.
  void GroupLoop(const std::string& group, group_state& state);
  /// \brief One round for a group: recovers it after a new epoch or when it makes no progress,
  /// reads its counts and changes its map if the gain justifies that.
  void Balance(const std::string& group,
               const rank_group& view,
               group_state& state,
               map_rollout& rollout,
               const map_versions& versions);
  /// \brief Reads the map in use from the ranks. Returns false, and logs the reason, if that fails.
  [[nodiscard]] bool ReadMap(const rollout_group& target, group_state& state);
  /// \brief Starts from the popularity that the last coordinator has stored, if it fits the group.
  void AssumePopularity(const std::string& group, const rollout_group& target, group_state& state);
  /// \brief Adds the expert choices of all ranks since the last read to the popularity.
  /// \returns Whether the popularity is known.
  [[nodiscard]] bool ReadCounts(const rank_group& view, group_state& state);

  fleet_sync& sync_;
  engine_port& port_;
  event_log& log_;
  const fleet_snapshot_holder& snapshots_;
  stop_signal stop_;
  std::atomic<int> running_fibers_{0};  ///< Fibers that have not ended.
  std::map<std::string, group_state> groups_;
  /// By group. Never removed, since a version must not be assigned twice.
  std::map<std::string, map_versions> versions_;
};

}  // namespace quincebank
