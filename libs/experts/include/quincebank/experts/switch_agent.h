#pragma once

#include <cstddef>
#include <vector>

#include "quincebank/experts/switch_messages.h"

namespace quincebank {

enum class agent_phase : std::uint8_t {
  kStarting,  ///< Doesn't know the records yet.
  kSettling,  ///< Brings the engine in line with the records; takes part in nothing.
  kIdle,
  kStaging,
  kPrepared,
  kHolding,   ///< Ordered the hold; the engine hasn't shown it yet.
  kPromised,  ///< Only a decision or a withdrawal ends this phase.
};

struct agent_state {
  agent_phase phase = agent_phase::kStarting;
  change_id change;        ///< From `kStaging` to `kPromised`.
  std::uint64_t boot = 0;  ///< Of the engine when the change began.
  step_number step = 0;    ///< Reported as prepared, then held.
  map_epoch decided = 0;   ///< Highest epoch known to be decided.
  switch_decision committed;
  map_epoch refused = 0;    ///< Takes part only in epochs above this one.
  map_epoch withdrawn = 0;  ///< Can't be committed any more, though no record may exist.
  map_epoch asking = 0;     ///< Epoch whose record is asked for; 0 if none.
  bool reading = false;     ///< Waits for the history.

  [[nodiscard]] bool operator==(const agent_state&) const noexcept = default;
};

/// \brief Decides what the agent of one rank does in a map switch. Each event returns the actions.
///
/// Rules that make it safe with engines that execute late orders, whatever their fencing token:
///  - A promise is given only after the engine has shown the hold.
///  - A hold ends only by the decision of the key-value service or by the withdrawal of the
///    coordinator that asked for it.
///  - Orders to stage and to hold are sent once. If one isn't confirmed, the agent refuses the
///  epoch.
///    Orders to commit and to release repeat a decision, so late copies do no harm.
///  - A change ends at a rank whose engine restarts before the promise: what was staged and held
///    is gone, and orders that were sent before may still arrive.
///  - A restarted agent takes part only in epochs above all that its predecessor may have seen.
///    Therefore a commit order and a late stage order of the same epoch never coexist.
///
/// A driver calls `OnView` after each `read_engine`, and at intervals (`OnTick`) so that late
/// orders of a predecessor are found.
class switch_agent {
 public:
  using actions = std::vector<agent_action>;

  /// \param rank  place of the engine's boot number in a restart record.
  explicit switch_agent(std::size_t rank = 0) noexcept : rank_(rank) {}

  [[nodiscard]] actions Start();
  [[nodiscard]] actions OnTick();
  [[nodiscard]] actions OnView(const engine_view& view);
  [[nodiscard]] actions OnPrepare(const prepare_message& message);
  [[nodiscard]] actions OnPromiseRequest(const promise_request& message);
  [[nodiscard]] actions OnDecision(const decision_message& message);
  [[nodiscard]] actions OnWithdraw(const withdraw_message& message);
  /// \brief The coordinator doesn't respond. A wrong suspicion costs the change, nothing else.
  [[nodiscard]] actions OnCoordinatorGone(const change_id& change);
  /// \brief Answer to `create_record`. A lost answer is no event; `OnTick` asks again.
  [[nodiscard]] actions OnRecord(const switch_decision& record);
  [[nodiscard]] actions OnHistory(const switch_history& history);

  [[nodiscard]] std::size_t rank() const noexcept { return rank_; }
  [[nodiscard]] const agent_state& state() const noexcept { return state_; }

 private:
  [[nodiscard]] bool TakesPart() const noexcept { return state_.phase >= agent_phase::kStaging; }
  /// \brief Whether the engine uses the map that the records say.
  [[nodiscard]] bool UsesCommittedMap(const engine_view& view) const noexcept;
  [[nodiscard]] engine_order Order(engine_order_kind kind, map_epoch epoch, step_number step) const;
  [[nodiscard]] actions Reconcile(const engine_view& view);
  [[nodiscard]] actions ReconcileEpoch(const engine_epoch& entry, const engine_view& view);
  [[nodiscard]] actions Settle();
  [[nodiscard]] actions Ask(map_epoch epoch);
  [[nodiscard]] actions ReadHistory();
  [[nodiscard]] actions Conclude(const switch_decision& record);
  [[nodiscard]] actions Abandon();

  std::size_t rank_;
  agent_state state_;
};

}  // namespace quincebank
