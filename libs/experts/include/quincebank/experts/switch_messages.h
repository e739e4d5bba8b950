#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "quincebank/base/ids.h"

namespace quincebank {

/// \brief Number of a map change of a group. Each epoch is decided once: committed or aborted.
using map_epoch = std::uint64_t;
using step_number = std::uint64_t;

/// \brief SHA-256 digest of a map in its JSON form.
struct map_digest {
  std::array<std::uint8_t, 32> bytes{};

  [[nodiscard]] auto operator<=>(const map_digest&) const noexcept = default;
};
[[nodiscard]] map_digest DigestOfMap(std::string_view json);

/// \brief One attempt to change the map. A coordinator uses an epoch once.
struct change_id {
  map_epoch epoch = 0;
  incarnation coordinator;

  [[nodiscard]] auto operator<=>(const change_id&) const noexcept = default;
};

enum class switch_verdict : std::uint8_t {
  kAbort,
  kCommit,
  kRestart,  ///< All engines of the group have restarted and use their initial map.
};

/// \brief Decision record of an epoch, created once in the key-value service under
/// `experts/<group>/<epoch>`. The first one created is the decision.
struct switch_decision {
  map_epoch epoch = 0;
  switch_verdict verdict = switch_verdict::kAbort;
  step_number step = 0;  ///< First step that uses the map.
  map_digest map;
  std::vector<std::uint64_t> boots;  ///< Of the engines in the order of the ranks; for `kRestart`.

  [[nodiscard]] bool operator==(const switch_decision&) const noexcept = default;
};

/// \brief What the records of a group say: the highest decided epoch and the last record that says
/// which map is in use: a commit or a restart.
///
/// A cleaner of old records must keep both, or a late create of an old epoch could succeed and look
/// like the newest one.
struct switch_history {
  map_epoch decided = 0;
  switch_decision committed;
};

/// \name Messages from the coordinator to the agents of all ranks.
/// @{
struct prepare_message {
  change_id change;
  map_digest map;
  [[nodiscard]] bool operator==(const prepare_message&) const noexcept = default;
};
struct promise_request {
  change_id change;
  step_number step = 0;  ///< Not to be started without a decision.
  [[nodiscard]] bool operator==(const promise_request&) const noexcept = default;
};
/// \brief The record of the epoch as it stands in the key-value service.
struct decision_message {
  switch_decision record;
  [[nodiscard]] bool operator==(const decision_message&) const noexcept = default;
};
/// \brief The coordinator has never tried to commit this change and never will.
struct withdraw_message {
  change_id change;
  [[nodiscard]] bool operator==(const withdraw_message&) const noexcept = default;
};
/// @}

/// \name Messages from the agent of a rank to the coordinator.
/// @{
struct prepared_message {
  change_id change;
  step_number next_step = 0;  ///< First step that the rank hadn't started.
  [[nodiscard]] bool operator==(const prepared_message&) const noexcept = default;
};
struct promised_message {
  change_id change;
  [[nodiscard]] bool operator==(const promised_message&) const noexcept = default;
};
struct refused_message {
  change_id change;
  [[nodiscard]] bool operator==(const refused_message&) const noexcept = default;
};
/// @}

enum class engine_order_kind : std::uint8_t {
  kStage,    ///< Load the weights that the epoch adds; the engine goes on meanwhile.
  kHold,     ///< Don't start `step` before a commit or release; refused if it has started.
  kCommit,   ///< Use the staged epoch from `step` on, and end its hold.
  kRelease,  ///< Drop the staged weights and the hold of the epoch.
};

/// \brief Order of an agent to its engine.
struct engine_order {
  engine_order_kind kind = engine_order_kind::kStage;
  map_epoch epoch = 0;
  step_number step = 0;     ///< For `kHold` and `kCommit`.
  std::uint64_t fence = 0;  ///< Never falls. The protocol is safe with engines that ignore it.

  [[nodiscard]] bool operator==(const engine_order&) const noexcept = default;
};

/// \brief What an engine reports about one epoch besides its active map.
struct engine_epoch {
  map_epoch epoch = 0;
  bool staged = false;  ///< Weights are complete and not yet in use.
  std::optional<step_number> hold;
};

/// \brief State read back from an engine.
struct engine_view {
  std::uint64_t boot = 0;     ///< Changes when the engine restarts.
  step_number next_step = 0;  ///< First step not started yet.
  map_epoch map = 0;          ///< Map of the last started step; 0 is the initial map.
  map_epoch pending = 0;      ///< Committed map that waits for its step; 0 if none.
  std::vector<engine_epoch> epochs;

  [[nodiscard]] const engine_epoch* Find(map_epoch epoch) const noexcept {
    for (const engine_epoch& entry : epochs) {
      if (entry.epoch == epoch)
        return &entry;
    }
    return nullptr;
  }
};

/// \name Actions that a driver carries out.
/// @{
struct read_engine {};
struct read_history {};
/// \brief Create-if-absent; the answer is the record that stands then, whoever wrote it.
struct create_record {
  switch_decision record;
};
/// \brief The engine has another map than the records say. Once all engines of the group have
/// restarted, a restart record lets it take part again.
struct report_engine_lost {
  std::uint64_t boot = 0;
};
using agent_action = std::variant<prepared_message,
                                  promised_message,
                                  refused_message,
                                  engine_order,
                                  read_engine,
                                  read_history,
                                  create_record,
                                  report_engine_lost>;
/// \brief Messages go to the agents of all ranks.
using coordinator_action = std::variant<prepare_message,
                                        promise_request,
                                        decision_message,
                                        withdraw_message,
                                        read_history,
                                        create_record>;
/// @}

}  // namespace quincebank
