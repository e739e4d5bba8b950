#include "quincebank/experts/switch_coordinator.h"

#include <algorithm>

namespace quincebank {

switch_coordinator::switch_coordinator(incarnation self,
                                       int ranks,
                                       const map_digest& map,
                                       step_number margin)
    : self_(self), ranks_(ranks), margin_(margin) {
  state_.map = map;
}

std::uint64_t switch_coordinator::AllRanks() const noexcept {
  return ranks_ >= kMaxRanks ? ~0ULL : (1ULL << static_cast<unsigned>(ranks_)) - 1;
}

switch_decision switch_coordinator::Record(switch_verdict verdict) const {
  if (verdict == switch_verdict::kAbort)
    return {state_.change.epoch, verdict, 0, {}, {}};
  return {state_.change.epoch, verdict, state_.step, state_.map, {}};
}

switch_coordinator::actions switch_coordinator::Start() const {
  return {read_history{}};
}

switch_coordinator::actions switch_coordinator::OnHistory(const switch_history& history) {
  if (state_.phase == coordinator_phase::kReading) {
    state_.phase = coordinator_phase::kPreparing;
    state_.change = {history.decided + 1, self_};
    return {prepare_message{state_.change, state_.map}};
  }
  if (state_.phase != coordinator_phase::kChecking)
    return {};
  if (history.decided >= state_.change.epoch)
    return Withdraw();
  state_.phase = coordinator_phase::kPromising;
  state_.step += margin_;
  return {promise_request{state_.change, state_.step}};
}

switch_coordinator::actions switch_coordinator::OnPrepared(int rank,
                                                           const prepared_message& message) {
  if (state_.phase != coordinator_phase::kPreparing || message.change != state_.change)
    return {};
  state_.prepared |= 1ULL << static_cast<unsigned>(rank);
  state_.step = std::max(state_.step, message.next_step);
  if (state_.prepared != AllRanks())
    return {};
  // Ranks that have promised stand still while the service is down, so ask shortly before.
  state_.phase = coordinator_phase::kChecking;
  return {read_history{}};
}

switch_coordinator::actions switch_coordinator::OnPromised(int rank,
                                                           const promised_message& message) {
  if (state_.phase != coordinator_phase::kPromising || message.change != state_.change)
    return {};
  state_.promised |= 1ULL << static_cast<unsigned>(rank);
  if (state_.promised != AllRanks())
    return {};
  state_.phase = coordinator_phase::kCommitting;
  return {create_record{Record(switch_verdict::kCommit)}};
}

switch_coordinator::actions switch_coordinator::Withdraw() {
  state_.phase = coordinator_phase::kAborting;
  return {withdraw_message{state_.change}, create_record{Record(switch_verdict::kAbort)}};
}

switch_coordinator::actions switch_coordinator::OnRefused(const refused_message& message) {
  return message.change == state_.change ? OnDeadline() : actions{};
}

switch_coordinator::actions switch_coordinator::OnDeadline() {
  switch (state_.phase) {
    case coordinator_phase::kPreparing:
    case coordinator_phase::kChecking:
    case coordinator_phase::kPromising:
      return Withdraw();
    case coordinator_phase::kReading:
    case coordinator_phase::kNotStarted:
    case coordinator_phase::kCommitting:
    case coordinator_phase::kAborting:
    case coordinator_phase::kDone:
      return {};
  }
  return {};
}

switch_coordinator::actions switch_coordinator::OnServiceFailed() {
  if (state_.phase == coordinator_phase::kReading) {
    state_.phase = coordinator_phase::kNotStarted;
    return {};
  }
  // A create that failed may still take effect, so the commit can't be taken back; `OnTick` repeats
  // it. A failed check means that nobody has promised yet.
  return state_.phase == coordinator_phase::kChecking ? Withdraw() : actions{};
}

switch_coordinator::actions switch_coordinator::OnRecord(const switch_decision& record) {
  const bool waits = state_.phase == coordinator_phase::kCommitting ||
                     state_.phase == coordinator_phase::kAborting;
  if (!waits || record.epoch != state_.change.epoch)
    return {};
  state_.phase = coordinator_phase::kDone;
  state_.outcome = record;
  return {decision_message{record}};
}

switch_coordinator::actions switch_coordinator::OnTick() const {
  switch (state_.phase) {
    case coordinator_phase::kReading:
    case coordinator_phase::kChecking:
      return {read_history{}};
    case coordinator_phase::kPreparing:
      return {prepare_message{state_.change, state_.map}};
    case coordinator_phase::kPromising:
      return {promise_request{state_.change, state_.step}};
    case coordinator_phase::kCommitting:
      return {create_record{Record(switch_verdict::kCommit)}};
    case coordinator_phase::kAborting:
      return {withdraw_message{state_.change}, create_record{Record(switch_verdict::kAbort)}};
    case coordinator_phase::kDone:
      return {decision_message{state_.outcome}};
    case coordinator_phase::kNotStarted:
      return {};
  }
  return {};
}

}  // namespace quincebank
