#include "switch_world.h"

#include <algorithm>

namespace quincebank::test {
namespace {

template <typename... Handlers>
struct overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

void Put(std::string& out, std::uint64_t value) {
  out += static_cast<char>(value);
}

void Put(std::string& out,
         const switch_decision& record,
         const std::array<std::uint8_t, kMaxRanks>& order) {
  Put(out, record.epoch);
  Put(out, static_cast<std::uint64_t>(record.verdict));
  Put(out, record.step);
  Put(out, record.map.bytes[0]);
  for (std::size_t i = 0; i < record.boots.size(); ++i)
    Put(out, record.boots[order[i]]);
}

void Put(std::string& out,
         const agent_state& state,
         const std::array<std::uint8_t, kMaxRanks>& order) {
  // Values of decided epochs play no part any more.
  const auto open = [&state](map_epoch epoch) { return epoch > state.decided ? epoch : 0; };
  for (const std::uint64_t value :
       {static_cast<std::uint64_t>(state.phase), state.change.epoch, state.change.coordinator.value,
        state.phase >= agent_phase::kStaging ? state.boot : 0, state.step, state.decided,
        open(state.refused), open(state.withdrawn), state.asking,
        static_cast<std::uint64_t>(state.reading)})
    Put(out, value);
  Put(out, state.committed, order);
}

void Put(std::string& out, const engine_model& engine) {
  for (const std::uint64_t value : {static_cast<std::uint64_t>(engine.boot), engine.active,
                                    engine.pending, engine.pending_step})
    Put(out, value);
  Put(out, engine.fence);
  for (int epoch = 0; epoch < kMaxEpochs; ++epoch)
    Put(out, engine.hold[epoch] * 2U + (engine.staged[epoch] ? 1U : 0U));
}

}  // namespace

std::vector<agent_action> Deliver(switch_agent& agent, const agent_event& event) {
  return std::visit(
      overloaded{[&](const start_event&) { return agent.Start(); },
                 [&](const engine_view& view) { return agent.OnView(view); },
                 [&](const prepare_message& sent) { return agent.OnPrepare(sent); },
                 [&](const promise_request& sent) { return agent.OnPromiseRequest(sent); },
                 [&](const decision_message& sent) { return agent.OnDecision(sent); },
                 [&](const withdraw_message& sent) { return agent.OnWithdraw(sent); },
                 [&](const gone_event& gone) { return agent.OnCoordinatorGone(gone.change); },
                 [&](const switch_decision& record) { return agent.OnRecord(record); },
                 [&](const switch_history& history) { return agent.OnHistory(history); }},
      event);
}

std::vector<coordinator_action> Deliver(switch_coordinator& coordinator,
                                        int rank,
                                        const coordinator_event& event) {
  return std::visit(
      overloaded{[&](const start_event&) { return coordinator.Start(); },
                 [&](const switch_history& history) { return coordinator.OnHistory(history); },
                 [&](const prepared_message& sent) { return coordinator.OnPrepared(rank, sent); },
                 [&](const promised_message& sent) { return coordinator.OnPromised(rank, sent); },
                 [&](const switch_decision& record) { return coordinator.OnRecord(record); },
                 [&](const deadline_event&) { return coordinator.OnDeadline(); },
                 [&](const service_failed_event&) { return coordinator.OnServiceFailed(); }},
      event);
}

void engine_model::Execute(const engine_order& order, bool check_fence) {
  if (check_fence && order.fence < fence)
    return;
  fence = std::max(fence, order.fence);
  const auto epoch = static_cast<std::size_t>(order.epoch);
  switch (order.kind) {
    case engine_order_kind::kStage:
      staged[epoch] = true;
      return;
    case engine_order_kind::kHold:
      if (order.step >= next_step)
        hold[epoch] = static_cast<std::uint8_t>(order.step + 1);
      return;
    case engine_order_kind::kCommit:
      // Without staged weights there is nothing to switch to. The engine checks nothing else: a
      // late commit takes effect at once.
      if (!staged[epoch])
        return;
      staged[epoch] = false;
      hold[epoch] = 0;
      pending = order.epoch;
      pending_step = order.step;
      return;
    case engine_order_kind::kRelease:
      staged[epoch] = false;
      hold[epoch] = 0;
      return;
  }
}

bool engine_model::MayStart(step_number step) const {
  return std::none_of(hold.begin(), hold.end(),
                      [step](std::uint8_t held) { return held != 0 && step + 1U >= held; });
}

engine_view engine_model::View() const {
  engine_view view;
  view.boot = boot;
  view.next_step = next_step;
  view.map = active;
  view.pending = pending;
  for (int epoch = 1; epoch < kMaxEpochs; ++epoch) {
    if (!staged[epoch] && hold[epoch] == 0)
      continue;
    engine_epoch entry{static_cast<map_epoch>(epoch), staged[epoch], std::nullopt};
    if (hold[epoch] != 0)
      entry.hold = hold[epoch] - 1U;
    view.epochs.push_back(entry);
  }
  return view;
}

void world::Send(const message& sent) {
  const auto at = std::lower_bound(messages.begin(), messages.end(), sent);
  if (at == messages.end() || *at != sent)
    messages.insert(at, sent);
}

switch_history world::History() const {
  switch_history history;
  for (const switch_decision& record : records) {
    if (record.epoch == 0)
      continue;
    history.decided = record.epoch;
    if (record.verdict != switch_verdict::kAbort)
      history.committed = record;
  }
  return history;
}

void world::DropDeadMessages(bool creates_once) {
  const auto dead = [&](const message& sent) {
    if (sent.what == message::kind::kCreate)
      return creates_once && records[sent.epoch].epoch != 0;
    if (sent.what != message::kind::kPrepared && sent.what != message::kind::kPromised)
      return false;
    const coordinator_model& to = coordinators[sent.coordinator - 1U];
    const coordinator_phase last = sent.what == message::kind::kPrepared
                                       ? coordinator_phase::kPreparing
                                       : coordinator_phase::kPromising;
    return to.crashed || to.machine.state().phase > last;
  };
  messages.erase(std::remove_if(messages.begin(), messages.end(), dead), messages.end());
}

void world::Encode(std::string& out,
                   const limits& bounds,
                   const std::array<std::uint8_t, kMaxRanks>& order) const {
  std::array<std::uint8_t, kMaxRanks> place{};
  for (std::uint8_t i = 0; i < bounds.ranks; ++i) {
    const rank_model& rank = ranks[order[i]];
    place[order[i]] = i;
    Put(out, rank.lost ? 1 : 0);
    Put(out, rank.engine.next_step);
    if (rank.lost)
      continue;
    Put(out, rank.agent.state(), order);
    Put(out, rank.engine);
    Put(out, rank.reported ? (rank.reported->boot * 16) + rank.reported->decided + 1 : 0);
    Put(out, rank.orders.size());
    for (const engine_order& sent : rank.orders) {
      for (const std::uint64_t value :
           {static_cast<std::uint64_t>(sent.kind), sent.epoch, sent.step, sent.fence})
        Put(out, value);
    }
  }
  const auto reorder = [&](std::uint64_t mask) {
    std::uint64_t placed = 0;
    for (int i = 0; i < bounds.ranks; ++i)
      placed |= ((mask >> order[i]) & 1U) << static_cast<unsigned>(i);
    return placed;
  };
  for (int c = 0; c < bounds.coordinators; ++c) {
    const coordinator_state& state = coordinators[c].machine.state();
    Put(out, (coordinators[c].started ? 1U : 0U) + (coordinators[c].crashed ? 2U : 0U));
    if (coordinators[c].crashed)
      continue;
    // A coordinator reads each of these values in some phases only.
    const bool counts = state.phase <= coordinator_phase::kPromising;
    const bool steps = state.phase <= coordinator_phase::kCommitting;
    for (const std::uint64_t value : {static_cast<std::uint64_t>(state.phase), state.change.epoch,
                                      counts ? reorder(state.prepared) : 0,
                                      counts ? reorder(state.promised) : 0, steps ? state.step : 0})
      Put(out, value);
    Put(out, state.outcome, order);
  }
  std::array<message, 48> sorted;
  const auto end =
      std::transform(messages.begin(), messages.end(), sorted.begin(), [&](message sent) {
        if (sent.what == message::kind::kPrepared || sent.what == message::kind::kPromised)
          sent.rank = place[sent.rank];
        const auto boots = sent.boots;
        for (int i = 0; i < bounds.ranks; ++i)
          sent.boots[i] = boots[order[i]];
        return sent;
      });
  std::sort(sorted.begin(), end);
  for (auto sent = sorted.begin(); sent != end; ++sent) {
    for (const std::uint64_t value :
         {static_cast<std::uint64_t>(sent->what), static_cast<std::uint64_t>(sent->rank),
          static_cast<std::uint64_t>(sent->epoch), static_cast<std::uint64_t>(sent->coordinator),
          static_cast<std::uint64_t>(sent->step), static_cast<std::uint64_t>(sent->verdict),
          static_cast<std::uint64_t>(sent->map)})
      Put(out, value);
    for (int i = 0; i < bounds.ranks; ++i)
      Put(out, sent->boots[i]);
  }
  Put(out, 255);
  for (const switch_decision& record : records)
    Put(out, record, order);
  for (const std::uint64_t value :
       {static_cast<std::uint64_t>(crashes), static_cast<std::uint64_t>(restarts),
        static_cast<std::uint64_t>(losses), static_cast<std::uint64_t>(suspicions),
        static_cast<std::uint64_t>(reboots), static_cast<std::uint64_t>(restart_records),
        static_cast<std::uint64_t>(give_ups), last_step, last_map})
    Put(out, value);
}

}  // namespace quincebank::test
