#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "quincebank/base/event_log.h"
#include "quincebank/expert_control/engine_port.h"
#include "quincebank/expert_control/map_rollout.h"
#include "quincebank/experts/shift_detector.h"
#include "quincebank/gateway/fleet_snapshot.h"
#include "quincebank/gateway/fleet_sync.h"
#include "quincebank/net/fiber_thread.h"

namespace quincebank {

/// \brief Keeps the expert maps of all groups balanced while this entry is the coordinator. Lives
/// on the control thread; each group has a fiber of its own.
class expert_rebalancer {
 public:
  expert_rebalancer(fleet_sync& sync,
                    engine_port& port,
                    event_log& log,
                    const fleet_snapshot_box& snapshots);

  void Start(fiber_thread& thread);
  /// \brief Begins no further change of a map.
  void Stop();
  /// \brief Waits until a change under way is finished. Call after `Stop`, from another thread.
  void Join() const;

 private:
  /// What is known of one group.
  struct group_state {
    bool fiber_running = false;  ///< Its fiber is alive.
    std::uint64_t epoch = 0;
    bool recovered = false;
    std::vector<rank_experts> map;  ///< By set and rank; empty if unknown.
    std::map<std::string, std::vector<std::uint64_t>> last_counts;  ///< By upstream.
    popularity_window popularity;
    time_point last_change{};         ///< When its map was changed last.
    bool popularity_assumed = false;  ///< No window has told the popularity yet.
    bool shifted = false;             ///< The last window told of a shift ...
    bool shifted_before = false;      ///< ... and so did the one before it.
    double choices = 0;               ///< Of one set, in the last read.
    int idle_reads = 0;               ///< Reads in a row without any choice.
  };
  /// Members of one group in one snapshot.
  struct group_view {
    ref_ptr<const fleet_snapshot> snapshot;  ///< Owner of the records.
    std::vector<const upstream_record*> ranks;
    engine_profile profile;
    std::uint64_t epoch = 0;
  };

  [[nodiscard]] static group_state MakeState(std::uint64_t epoch);
  /// \brief Whether any service has expert groups.
  [[nodiscard]] bool HasExpertServices() const;
  void ScanLoop(fiber_thread& thread);
  void GroupLoop(const std::string& group, group_state& state);
  [[nodiscard]] std::map<std::string, group_view> Groups() const;
  void Balance(const std::string& group,
               const group_view& view,
               group_state& state,
               map_rollout& rollout);
  [[nodiscard]] bool ReadMap(const rollout_group& target, group_state& state);
  /// \brief Begins with the popularity that the last coordinator has noted.
  void AssumePopularity(const std::string& group, const rollout_group& target, group_state& state);
  /// \brief Adds what the requests of all ranks have chosen since the last read.
  [[nodiscard]] bool ReadCounts(const group_view& view, group_state& state);

  fleet_sync& sync_;
  engine_port& port_;
  event_log& log_;
  const fleet_snapshot_box& snapshots_;
  stop_signal stop_;
  std::atomic<int> running_fibers_{0};  ///< Fibers that have not ended.
  std::map<std::string, group_state> groups_;
};

}  // namespace quincebank
