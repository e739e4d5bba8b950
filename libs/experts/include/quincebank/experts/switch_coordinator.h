#pragma once

#include <vector>

#include "quincebank/experts/switch_messages.h"

namespace quincebank {

enum class coordinator_phase : std::uint8_t {
  kReading,     ///< Asks the key-value service for the next epoch.
  kNotStarted,  ///< The service was down; no rank has heard of the change.
  kPreparing,
  kChecking,  ///< All ranks are prepared; asks whether the service still responds.
  kPromising,
  kCommitting,  ///< The commit may stand in the service from here on.
  kAborting,    ///< Withdrawn; makes sure that the epoch has a record.
  kDone,
};

struct coordinator_state {
  coordinator_phase phase = coordinator_phase::kReading;
  change_id change;
  map_digest map;
  std::uint64_t prepared = 0;  ///< Bit for each rank.
  std::uint64_t promised = 0;
  step_number step = 0;  ///< Highest step reported, then the step of the switch.
  switch_decision outcome;

  [[nodiscard]] bool operator==(const coordinator_state&) const noexcept = default;
};

/// \brief Decides what the coordinator of one map change does. A new change needs a new object.
///
/// The coordinator keeps no durable state: after its loss, any agent that has promised finds or
/// makes the decision in the key-value service.
class switch_coordinator {
 public:
  using actions = std::vector<coordinator_action>;
  static constexpr int kMaxRanks = 64;

  /// \param self    incarnation of this process; no other change of it uses the same epoch.
  /// \param ranks   from 1 to `kMaxRanks`.
  /// \param margin  steps between the highest reported step and the switch.
  switch_coordinator(incarnation self, int ranks, const map_digest& map, step_number margin);

  [[nodiscard]] actions Start() const;
  [[nodiscard]] actions OnHistory(const switch_history& history);
  [[nodiscard]] actions OnPrepared(int rank, const prepared_message& message);
  [[nodiscard]] actions OnPromised(int rank, const promised_message& message);
  [[nodiscard]] actions OnRefused(const refused_message& message);
  /// \brief The time for the present phase is over.
  [[nodiscard]] actions OnDeadline();
  /// \brief The service failed or its answer was lost.
  [[nodiscard]] actions OnServiceFailed();
  [[nodiscard]] actions OnRecord(const switch_decision& record);
  /// \brief Repeats what agents or the service may not have heard.
  [[nodiscard]] actions OnTick() const;

  [[nodiscard]] const coordinator_state& state() const noexcept { return state_; }

 private:
  [[nodiscard]] std::uint64_t AllRanks() const noexcept;
  [[nodiscard]] switch_decision Record(switch_verdict verdict) const;
  [[nodiscard]] actions Withdraw();

  incarnation self_;
  int ranks_;
  step_number margin_;
  coordinator_state state_;
};

}  // namespace quincebank
