#include <algorithm>
#include <tuple>
#include <utility>

#include "switch_world.h"

namespace quincebank::test {
namespace {

using kind = message::kind;

std::uint8_t Small(std::uint64_t value) {
  return static_cast<std::uint8_t>(value);
}

message About(kind what, const change_id& change) {
  message sent;
  sent.what = what;
  sent.epoch = Small(change.epoch);
  sent.coordinator = Small(change.coordinator.value);
  return sent;
}

message About(kind what, const switch_decision& record) {
  message sent;
  sent.what = what;
  sent.epoch = Small(record.epoch);
  sent.step = Small(record.step);
  sent.verdict = record.verdict;
  sent.map = record.map.bytes[0];
  for (std::size_t i = 0; i < record.boots.size(); ++i)
    sent.boots[i] = Small(record.boots[i]);
  return sent;
}

switch_decision RecordOf(const message& sent, const limits& bounds) {
  switch_decision record{sent.epoch, sent.verdict, sent.step, {}, {}};
  record.map.bytes[0] = sent.map;
  if (sent.verdict == switch_verdict::kRestart)
    record.boots.assign(sent.boots.begin(), sent.boots.begin() + bounds.ranks);
  return record;
}

bool Earlier(const engine_order& a, const engine_order& b) {
  return std::tie(a.kind, a.epoch, a.step, a.fence) < std::tie(b.kind, b.epoch, b.step, b.fence);
}

/// Carries out the actions of an agent.
struct agent_outlet {
  world& w;
  int r;
  const limits& bounds;

  void operator()(const prepared_message& sent) const {
    message out = About(kind::kPrepared, sent.change);
    out.rank = Small(static_cast<std::uint64_t>(r));
    out.step = Small(sent.next_step);
    w.Send(out);
  }
  void operator()(const promised_message& sent) const { Reply(kind::kPromised, sent.change); }
  // A coordinator takes a refusal for the end of its time, which may come at any moment anyway.
  void operator()(const refused_message&) const {}
  void operator()(engine_order order) const {
    if (!bounds.engines_check_fences)
      order.fence = 0;
    auto& orders = w.ranks[r].orders;
    if (orders.size() == orders.capacity()) {
      w.violation = "an agent repeats orders without end";
      return;
    }
    if (std::count(orders.begin(), orders.end(), order) < bounds.order_copies)
      orders.insert(std::upper_bound(orders.begin(), orders.end(), order, Earlier), order);
  }
  void operator()(const create_record& request) const {
    w.Send(About(kind::kCreate, request.record));
  }
  void operator()(const report_engine_lost&) const {
    rank_model& rank = w.ranks[r];
    if (rank.engine.boot == 0) {
      w.violation = "an agent finds a map in its engine that the records don't explain";
      return;
    }
    const engine_model& engine = rank.engine;
    rank.reported = {true, rank.agent.state().decided, engine.boot, engine.active, engine.pending};
  }
  // Reads are answered at any time while the state waits for them.
  void operator()(const read_engine&) const {}
  void operator()(const read_history&) const {}

 private:
  void Reply(kind what, const change_id& change) const {
    message out = About(what, change);
    out.rank = Small(static_cast<std::uint64_t>(r));
    w.Send(out);
  }
};

struct coordinator_outlet {
  world& w;

  void operator()(const prepare_message& sent) const {
    message out = About(kind::kPrepare, sent.change);
    out.map = sent.map.bytes[0];
    w.Send(out);
  }
  void operator()(const promise_request& sent) const {
    message out = About(kind::kPromiseRequest, sent.change);
    out.step = Small(sent.step);
    w.Send(out);
  }
  void operator()(const decision_message& sent) const {
    w.Send(About(kind::kDecision, sent.record));
  }
  void operator()(const withdraw_message& sent) const {
    w.Send(About(kind::kWithdraw, sent.change));
  }
  void operator()(const create_record& request) const {
    w.Send(About(kind::kCreate, request.record));
  }
  void operator()(const read_history&) const {}
};

/// Collects the successors of one state.
class expansion {
 public:
  expansion(const world& from, const limits& bounds, const protocol& rules)
      : from_(from), bounds_(bounds), rules_(rules) {}

  std::vector<successor> Run() {
    for (int r = 0; r < bounds_.ranks; ++r) {
      if (!from_.ranks[r].lost)
        Rank(r);
    }
    for (int c = 0; c < bounds_.coordinators; ++c) {
      if (!from_.coordinators[c].crashed)
        Coordinator(c);
    }
    for (const message& sent : from_.messages) {
      if (sent.what == kind::kCreate) {
        Add("the service executes a create of epoch " + std::to_string(sent.epoch),
            [&](world& w) { rules_.Create(w.records[sent.epoch], RecordOf(sent, bounds_)); });
      }
    }
    Reboot();
    return std::move(found_);
  }

 private:
  /// All engines restart at once, and later a restart record is made of what the agents reported.
  /// Orders and messages that are on the way stay.
  void Reboot() {
    if (from_.reboots < bounds_.group_reboots) {
      Add("all engines restart", [&](world& w) {
        ++w.reboots;
        for (rank_model& rank : w.ranks) {
          rank.engine = engine_model{};
          rank.engine.boot = Small(static_cast<std::uint64_t>(w.reboots));
        }
        w.last_step = 0;
        w.last_map = 0;
      });
    }
    if (from_.restart_records >= from_.reboots)
      return;
    std::vector<rank_condition> ranks;
    ranks.reserve(kMaxRanks);
    for (int r = 0; r < bounds_.ranks; ++r)
      ranks.push_back(from_.ranks[r].reported.value_or(rank_condition{}));
    const auto record = PlanGroupRestart(from_.History(), ranks);
    if (!record)
      return;
    Add("a restart record of epoch " + std::to_string(record->epoch) + " is sent", [&](world& w) {
      ++w.restart_records;
      w.Send(About(kind::kCreate, *record));
    });
  }

  template <typename Change>
  void Add(std::string event, const Change& change) {
    found_.push_back({from_, std::move(event)});
    change(found_.back().next);
    found_.back().next.DropDeadMessages(rules_.CreatesOnce());
  }

  void ToAgent(int r, const std::string& label, const agent_event& event) {
    switch_agent agent = from_.ranks[r].agent;
    const std::vector<agent_action> actions = rules_.Agent(agent, event);
    const bool quiet = std::all_of(actions.begin(), actions.end(), [](const agent_action& action) {
      return std::holds_alternative<read_engine>(action) ||
             std::holds_alternative<read_history>(action) ||
             std::holds_alternative<refused_message>(action);
    });
    if (quiet && agent.state() == from_.ranks[r].agent.state())
      return;
    Add("rank " + std::to_string(r) + ": " + label, [&](world& w) {
      w.ranks[r].agent = agent;
      for (const agent_action& action : actions)
        std::visit(agent_outlet{w, r, bounds_}, action);
    });
  }

  void ToCoordinator(int c, const std::string& label, int rank, const coordinator_event& event) {
    coordinator_model coordinator = from_.coordinators[c];
    coordinator.started = true;
    const std::vector<coordinator_action> actions =
        rules_.Coordinator(coordinator.machine, rank, event);
    if (actions.empty() && from_.coordinators[c].started &&
        coordinator.machine.state() == from_.coordinators[c].machine.state())
      return;
    Add("coordinator " + std::to_string(c) + ": " + label, [&](world& w) {
      w.coordinators[c] = coordinator;
      for (const coordinator_action& action : actions)
        std::visit(coordinator_outlet{w}, action);
    });
  }

  void Rank(int r) {
    const rank_model& rank = from_.ranks[r];
    Step(r);
    for (std::size_t i = 0; i < rank.orders.size(); ++i) {
      const engine_order order = rank.orders[i];
      const std::string name = std::to_string(static_cast<int>(order.kind));
      Add("rank " + std::to_string(r) + ": engine executes order " + name + " of epoch " +
              std::to_string(order.epoch),
          [&](world& w) {
            w.ranks[r].orders.erase(w.ranks[r].orders.begin() + static_cast<std::ptrdiff_t>(i));
            w.ranks[r].engine.Execute(order, bounds_.engines_check_fences);
          });
    }
    const agent_state& state = rank.agent.state();
    ToAgent(r, "view", rank.engine.View());
    for (const message& sent : from_.messages)
      MessageToAgent(r, sent);
    for (const switch_decision& record : from_.records) {
      if (record.verdict == switch_verdict::kRestart)
        ToAgent(r, "restart record", decision_message{record});
    }
    if (state.reading)
      ToAgent(r, "history", from_.History());
    if (state.asking != 0 && from_.records[state.asking].epoch != 0)
      ToAgent(r, "record", from_.records[state.asking]);
    Suspect(r, state);
    if (from_.restarts < bounds_.agent_restarts) {
      Add("rank " + std::to_string(r) + ": agent restarts", [&](world& w) {
        ++w.restarts;
        const switch_history history = w.History();
        for (const agent_action& action :
             rules_.Restart(w.ranks[r].agent, history, w.records[history.decided]))
          std::visit(agent_outlet{w, r, bounds_}, action);
      });
    }
    if (from_.losses < bounds_.rank_losses) {
      Add("rank " + std::to_string(r) + ": lost", [&](world& w) {
        ++w.losses;
        w.ranks[r].lost = true;
        w.ranks[r].orders.clear();
      });
    }
  }

  /// The coordinator is gone, or the agent thinks so.
  void Suspect(int r, const agent_state& state) {
    if (state.phase < agent_phase::kStaging)
      return;
    const bool crashed = from_.coordinators[state.change.coordinator.value - 1].crashed;
    if (!crashed && from_.suspicions >= bounds_.wrong_suspicions)
      return;
    const std::size_t before = found_.size();
    ToAgent(r, "coordinator gone", gone_event{state.change});
    if (!crashed && found_.size() > before)
      ++found_.back().next.suspicions;
  }

  void MessageToAgent(int r, const message& sent) {
    const change_id change{sent.epoch, {sent.coordinator}};
    if (sent.what == kind::kPrepare) {
      ToAgent(r, "prepare", prepare_message{change, RecordOf(sent, bounds_).map});
    } else if (sent.what == kind::kPromiseRequest) {
      ToAgent(r, "promise request", promise_request{change, sent.step});
    } else if (sent.what == kind::kDecision) {
      ToAgent(r, "decision", decision_message{RecordOf(sent, bounds_)});
    } else if (sent.what == kind::kWithdraw) {
      ToAgent(r, "withdraw", withdraw_message{change});
    }
  }

  /// Lock-step: a rank starts a step once all ranks have started the one before.
  void Step(int r) {
    const engine_model& engine = from_.ranks[r].engine;
    const step_number step = engine.next_step;
    if (step >= bounds_.steps || !engine.MayStart(step))
      return;
    for (int other = 0; other < bounds_.ranks; ++other) {
      if (from_.ranks[other].engine.next_step < step)
        return;
    }
    Add("rank " + std::to_string(r) + ": starts step " + std::to_string(step), [&](world& w) {
      engine_model& started = w.ranks[r].engine;
      if (started.pending != 0 && started.pending_step <= step) {
        started.active = std::exchange(started.pending, 0);
        started.pending_step = 0;
      }
      started.next_step = step + 1;
      if (w.last_step == step + 1 && w.last_map != started.active)
        w.violation = "two ranks use different maps in one step";
      w.last_step = step + 1;
      w.last_map = started.active;
    });
  }

  void Coordinator(int c) {
    const coordinator_model& coordinator = from_.coordinators[c];
    const coordinator_state& state = coordinator.machine.state();
    if (!coordinator.started) {
      const coordinator_model& previous = from_.coordinators[0];
      const bool turn = c == 0 || !bounds_.in_turn || previous.crashed ||
                        previous.machine.state().phase == coordinator_phase::kDone;
      if (turn)
        ToCoordinator(c, "starts", 0, start_event{});
      return;
    }
    const bool reads =
        state.phase == coordinator_phase::kReading || state.phase == coordinator_phase::kChecking;
    if (reads)
      ToCoordinator(c, "history", 0, from_.History());
    const bool waits = state.phase == coordinator_phase::kCommitting ||
                       state.phase == coordinator_phase::kAborting;
    if (waits && from_.records[state.change.epoch].epoch != 0)
      ToCoordinator(c, "record", 0, from_.records[state.change.epoch]);
    for (const message& sent : from_.messages)
      MessageToCoordinator(c, sent);
    if (bounds_.give_ups == kUnbounded || from_.give_ups < bounds_.give_ups) {
      GiveUp(c, "deadline", deadline_event{});
      GiveUp(c, "service fails", service_failed_event{});
    }
    if (from_.crashes < bounds_.coordinator_crashes) {
      Add("coordinator " + std::to_string(c) + ": crashes", [&](world& w) {
        ++w.crashes;
        w.coordinators[c].crashed = true;
      });
    }
  }

  void GiveUp(int c, const std::string& label, const coordinator_event& event) {
    const std::size_t before = found_.size();
    ToCoordinator(c, label, 0, event);
    if (found_.size() > before && bounds_.give_ups != kUnbounded)
      ++found_.back().next.give_ups;
  }

  void MessageToCoordinator(int c, const message& sent) {
    if (sent.coordinator != c + 1)
      return;
    const change_id change{sent.epoch, {sent.coordinator}};
    if (sent.what == kind::kPrepared) {
      ToCoordinator(c, "prepared", sent.rank, prepared_message{change, sent.step});
    } else if (sent.what == kind::kPromised) {
      ToCoordinator(c, "promised", sent.rank, promised_message{change});
    }
  }

  const world& from_;
  const limits& bounds_;
  const protocol& rules_;
  std::vector<successor> found_;
};

}  // namespace

world FirstWorld(const limits& bounds, const protocol& rules) {
  world first;
  for (int c = 0; c < bounds.coordinators; ++c) {
    map_digest map;
    map.bytes[0] = Small(static_cast<std::uint64_t>(c) + 1);
    first.coordinators[c].machine =
        switch_coordinator({static_cast<std::uint64_t>(c) + 1}, bounds.ranks, map, 1);
  }
  // A started agent refuses the next epoch, so the group begins after epoch 1 has been aborted.
  first.records[1] = {1, switch_verdict::kAbort, 0, {}, {}};
  for (int r = 0; r < bounds.ranks; ++r) {
    rank_model& rank = first.ranks[r];
    rank.agent = switch_agent(static_cast<std::size_t>(r));
    (void)rules.Agent(rank.agent, start_event{});
    (void)rules.Agent(rank.agent, switch_history{});
    (void)rules.Agent(rank.agent, decision_message{first.records[1]});
    (void)rules.Agent(rank.agent, rank.engine.View());
  }
  return first;
}

std::vector<successor> Successors(const world& from, const limits& bounds, const protocol& rules) {
  return expansion(from, bounds, rules).Run();
}

}  // namespace quincebank::test
