#include "quincebank/experts/switch_agent.h"

#include <algorithm>

namespace quincebank {

engine_order switch_agent::Order(engine_order_kind kind, map_epoch epoch, step_number step) const {
  // A refused epoch counts, since its stage or hold order carried it: an engine that checks fencing
  // tokens would reject the release otherwise.
  return {kind, epoch, step, std::max({state_.decided, state_.change.epoch, state_.refused})};
}

switch_agent::actions switch_agent::Start() {
  return ReadHistory();
}

switch_agent::actions switch_agent::OnTick() {
  if (state_.phase == agent_phase::kStarting || state_.reading)
    return ReadHistory();
  if (state_.asking != 0)
    return Ask(state_.asking);
  return {read_engine{}};
}

switch_agent::actions switch_agent::ReadHistory() {
  state_.reading = true;
  return {read_history{}};
}

switch_agent::actions switch_agent::Ask(map_epoch epoch) {
  state_.asking = epoch;
  return {create_record{{epoch, switch_verdict::kAbort, 0, {}, {}}}};
}

switch_agent::actions switch_agent::Settle() {
  state_.phase = agent_phase::kSettling;
  state_.change = {};
  state_.step = 0;
  return {read_engine{}};
}

switch_agent::actions switch_agent::Abandon() {
  const refused_message refusal{state_.change};
  state_.refused = std::max(state_.refused, state_.change.epoch);
  actions out = Settle();
  out.emplace_back(refusal);
  return out;
}

switch_agent::actions switch_agent::Conclude(const switch_decision& record) {
  if (record.epoch > state_.decided) {
    state_.decided = record.epoch;
    if (record.verdict != switch_verdict::kAbort)
      state_.committed = record;
  }
  state_.asking = 0;
  return Settle();
}

switch_agent::actions switch_agent::OnView(const engine_view& view) {
  const bool open = TakesPart() && state_.phase != agent_phase::kPromised;
  if (open && view.boot != state_.boot)
    return Abandon();
  switch (state_.phase) {
    case agent_phase::kSettling:
    case agent_phase::kIdle:
      return Reconcile(view);
    case agent_phase::kStaging: {
      const engine_epoch* const entry = view.Find(state_.change.epoch);
      if (entry == nullptr || !entry->staged)
        return {};
      state_.phase = agent_phase::kPrepared;
      state_.step = view.next_step;
      return {prepared_message{state_.change, state_.step}};
    }
    case agent_phase::kHolding: {
      const engine_epoch* const entry = view.Find(state_.change.epoch);
      if (entry != nullptr && entry->hold == state_.step) {
        state_.phase = agent_phase::kPromised;
        return {promised_message{state_.change}};
      }
      // The step has started, so the engine refuses the hold whenever it arrives.
      return view.next_step > state_.step ? Abandon() : actions{};
    }
    case agent_phase::kStarting:
    case agent_phase::kPrepared:
    case agent_phase::kPromised:
      return {};
  }
  return {};
}

switch_agent::actions switch_agent::Reconcile(const engine_view& view) {
  if (state_.asking != 0 || state_.reading)
    return {};
  for (const engine_epoch& entry : view.epochs) {
    actions out = ReconcileEpoch(entry, view);
    if (!out.empty()) {
      state_.phase = agent_phase::kSettling;
      return out;
    }
  }
  // The engine keeps one pending map. A new change would replace it before its step, so the agent
  // takes part in none until the committed map is in use.
  const bool in_use = UsesCommittedMap(view);
  state_.phase = in_use ? agent_phase::kIdle : agent_phase::kSettling;
  state_.boot = view.boot;
  if (!in_use && (view.pending == 0 || view.pending != state_.committed.epoch))
    return {report_engine_lost{view.boot}};
  return {};
}

bool switch_agent::UsesCommittedMap(const engine_view& view) const noexcept {
  const switch_decision& committed = state_.committed;
  if (view.pending != 0)
    return false;
  if (committed.verdict != switch_verdict::kRestart)
    return view.map == committed.epoch;
  return view.map == 0 && rank_ < committed.boots.size() && view.boot == committed.boots[rank_];
}

switch_agent::actions switch_agent::ReconcileEpoch(const engine_epoch& entry,
                                                   const engine_view& view) {
  if (!entry.staged && !entry.hold)
    return {};
  const map_epoch epoch = entry.epoch;
  if (epoch > state_.decided && epoch != state_.withdrawn && entry.hold) {
    // A predecessor may have promised; only the record can end its hold.
    return epoch == state_.decided + 1 ? Ask(epoch) : ReadHistory();
  }
  const bool committed = epoch <= state_.decided && epoch == state_.committed.epoch &&
                         state_.committed.verdict == switch_verdict::kCommit;
  if (committed && entry.staged && view.map != epoch && view.pending != epoch) {
    return {Order(engine_order_kind::kCommit, epoch, state_.committed.step), read_engine{}};
  }
  return {Order(engine_order_kind::kRelease, epoch, 0), read_engine{}};
}

switch_agent::actions switch_agent::OnPrepare(const prepare_message& message) {
  const change_id& change = message.change;
  if (state_.phase == agent_phase::kStarting)
    return {};
  if (TakesPart() && change == state_.change) {
    if (state_.phase != agent_phase::kPrepared)
      return {};
    return {prepared_message{change, state_.step}};
  }
  if (change.epoch <= std::max(state_.decided, state_.refused) || TakesPart())
    return {refused_message{change}};
  if (change.epoch > state_.decided + 1)
    return ReadHistory();
  if (state_.phase != agent_phase::kIdle)
    return {};
  state_.phase = agent_phase::kStaging;
  state_.change = change;
  return {Order(engine_order_kind::kStage, change.epoch, 0), read_engine{}};
}

switch_agent::actions switch_agent::OnPromiseRequest(const promise_request& message) {
  if (state_.phase == agent_phase::kStarting)
    return {};
  if (!TakesPart() || message.change != state_.change)
    return {refused_message{message.change}};
  if (state_.phase == agent_phase::kPromised)
    return {promised_message{state_.change}};
  if (state_.phase != agent_phase::kPrepared)
    return {};
  state_.phase = agent_phase::kHolding;
  state_.step = message.step;
  return {Order(engine_order_kind::kHold, state_.change.epoch, state_.step), read_engine{}};
}

switch_agent::actions switch_agent::OnDecision(const decision_message& message) {
  const switch_decision& record = message.record;
  if (state_.phase == agent_phase::kStarting || record.epoch <= state_.decided)
    return {};
  if (record.epoch > state_.decided + 1)
    return ReadHistory();
  return Conclude(record);
}

switch_agent::actions switch_agent::OnWithdraw(const withdraw_message& message) {
  if (!TakesPart() || message.change != state_.change)
    return {};
  state_.withdrawn = message.change.epoch;
  state_.refused = std::max(state_.refused, message.change.epoch);
  state_.asking = 0;
  return Settle();
}

switch_agent::actions switch_agent::OnCoordinatorGone(const change_id& change) {
  if (!TakesPart() || change != state_.change)
    return {};
  return state_.phase == agent_phase::kPromised ? Ask(change.epoch) : Abandon();
}

switch_agent::actions switch_agent::OnRecord(const switch_decision& record) {
  if (state_.asking == 0 || record.epoch != state_.asking)
    return {};
  return Conclude(record);
}

switch_agent::actions switch_agent::OnHistory(const switch_history& history) {
  if (!state_.reading)
    return {};
  state_.reading = false;
  const bool starting = state_.phase == agent_phase::kStarting;
  if (history.decided > state_.decided || starting) {
    state_.decided = history.decided;
    state_.committed = history.committed;
  }
  if (starting)
    state_.refused = state_.decided + 1;
  if (TakesPart() && state_.change.epoch > state_.decided)
    return {};
  if (state_.asking <= state_.decided)
    state_.asking = 0;
  return Settle();
}

}  // namespace quincebank
