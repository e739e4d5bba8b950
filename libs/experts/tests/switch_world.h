#pragma once

#include <array>
#include <boost/container/static_vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "quincebank/experts/group_restart.h"
#include "quincebank/experts/switch_agent.h"
#include "quincebank/experts/switch_coordinator.h"

namespace quincebank::test {

inline constexpr int kMaxRanks = 3;
inline constexpr int kMaxCoordinators = 2;
inline constexpr int kUnbounded = -1;
inline constexpr int kMaxEpochs = 5;

/// \brief Sizes of one enumeration, and how often each fault may happen.
struct limits {
  int ranks = 2;
  int coordinators = 1;
  step_number steps = 3;  ///< Steps that ranks run.
  int coordinator_crashes = 0;
  int agent_restarts = 0;
  int rank_losses = 0;
  int wrong_suspicions = 0;  ///< Agents that take a live coordinator for gone.
  int group_reboots = 0;     ///< Restarts of all engines at once.
  int order_copies = 1;      ///< Copies of one order that are in flight at a time.
  bool engines_check_fences = false;
  /// Deadlines that pass; refusals count as such. Only without a bound do all groups settle.
  int give_ups = kUnbounded;
  /// The second coordinator starts only after the first is done; else at any time.
  bool in_turn = false;
};

struct start_event {};
struct gone_event {
  change_id change;
};
struct deadline_event {};
struct service_failed_event {};

using agent_event = std::variant<start_event,
                                 engine_view,
                                 prepare_message,
                                 promise_request,
                                 decision_message,
                                 withdraw_message,
                                 gone_event,
                                 switch_decision,
                                 switch_history>;
using coordinator_event = std::variant<start_event,
                                       switch_history,
                                       prepared_message,
                                       promised_message,
                                       switch_decision,
                                       deadline_event,
                                       service_failed_event>;

[[nodiscard]] std::vector<agent_action> Deliver(switch_agent& agent, const agent_event& event);
[[nodiscard]] std::vector<coordinator_action> Deliver(switch_coordinator& coordinator,
                                                      int rank,
                                                      const coordinator_event& event);

/// \brief Engine that executes orders in the order of arrival.
struct engine_model {
  std::uint8_t boot = 0;
  step_number next_step = 0;
  map_epoch active = 0;
  map_epoch pending = 0;
  step_number pending_step = 0;
  std::uint64_t fence = 0;
  std::array<bool, kMaxEpochs> staged{};
  std::array<std::uint8_t, kMaxEpochs> hold{};  // Step plus 1; 0 without a hold.

  void Execute(const engine_order& order, bool check_fence);
  [[nodiscard]] bool MayStart(step_number step) const;
  [[nodiscard]] engine_view View() const;
};

/// \brief Message between a rank and the coordinators, or create request to the service. Sent
/// messages stay, so each may arrive at any time, any number of times, or never.
struct message {
  enum class kind : std::uint8_t {
    kPrepare,
    kPromiseRequest,
    kDecision,
    kWithdraw,
    kPrepared,
    kPromised,
    kCreate
  };
  kind what = kind::kPrepare;
  std::uint8_t rank = 0;
  std::uint8_t epoch = 0;
  std::uint8_t coordinator = 0;
  std::uint8_t step = 0;
  switch_verdict verdict = switch_verdict::kAbort;
  std::uint8_t map = 0;
  std::array<std::uint8_t, kMaxRanks> boots{};  ///< In a restart record, by rank.

  [[nodiscard]] bool operator==(const message&) const noexcept = default;
  [[nodiscard]] bool operator<(const message& other) const noexcept {
    return std::tie(what, rank, epoch, coordinator, step, verdict, map, boots) <
           std::tie(other.what, other.rank, other.epoch, other.coordinator, other.step,
                    other.verdict, other.map, other.boots);
  }
};

struct rank_model {
  switch_agent agent;
  engine_model engine;
  boost::container::static_vector<engine_order, 10> orders;  // In flight; each arrives once.
  bool lost = false;
  std::optional<rank_condition> reported;  ///< Last report of a lost engine.
};

struct coordinator_model {
  switch_coordinator machine{{}, 1, {}, 1};
  bool started = false;
  bool crashed = false;
};

/// \brief State of the whole group, the service and the network.
struct world {
  std::array<rank_model, kMaxRanks> ranks;
  std::array<coordinator_model, kMaxCoordinators> coordinators;
  boost::container::static_vector<message, 48> messages;  // Sorted.
  std::array<switch_decision, kMaxEpochs> records;        // Epoch 0 stands for "no record".
  int crashes = 0;
  int restarts = 0;
  int losses = 0;
  int suspicions = 0;
  int reboots = 0;
  int restart_records = 0;    // Create requests for restart records.
  int give_ups = 0;           // Counted only if bounded.
  step_number last_step = 0;  // Highest step started plus 1, and the map that it uses.
  map_epoch last_map = 0;
  std::string violation;

  void Send(const message& sent);
  [[nodiscard]] switch_history History() const;
  /// \brief Drops messages that can't change anything any more.
  void DropDeadMessages(bool creates_once);
  /// \brief Appends all that tells this state from others, with the ranks in the given order.
  void Encode(std::string& out,
              const limits& bounds,
              const std::array<std::uint8_t, kMaxRanks>& order) const;
};

/// \brief Strategy through which all machines are driven. The default is the protocol as it is;
/// broken variants override a part.
class protocol {
 public:
  virtual ~protocol() = default;
  [[nodiscard]] virtual std::vector<agent_action> Agent(switch_agent& agent,
                                                        const agent_event& event) const {
    return Deliver(agent, event);
  }
  [[nodiscard]] virtual std::vector<coordinator_action>
  Coordinator(switch_coordinator& coordinator, int rank, const coordinator_event& event) const {
    return Deliver(coordinator, rank, event);
  }
  /// \brief Whether a create has no effect once the epoch has a record.
  [[nodiscard]] virtual bool CreatesOnce() const { return true; }
  /// \brief Create-if-absent of the service.
  virtual void Create(switch_decision& stored, const switch_decision& record) const {
    if (stored.epoch == 0)
      stored = record;
  }
  /// \brief Replaces the agent of a rank by its successor. Broken variants use the history at once.
  [[nodiscard]] virtual std::vector<agent_action> Restart(
      switch_agent& agent,
      const switch_history& /*history*/,
      const switch_decision& /*last_record*/) const {
    agent = switch_agent(agent.rank());
    return Agent(agent, start_event{});
  }
};

/// \brief A successor state and the event that leads to it.
struct successor {
  world next;
  std::string event;
};

[[nodiscard]] world FirstWorld(const limits& bounds, const protocol& rules);
[[nodiscard]] std::vector<successor> Successors(const world& from,
                                                const limits& bounds,
                                                const protocol& rules);

}  // namespace quincebank::test
