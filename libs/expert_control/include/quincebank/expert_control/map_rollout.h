#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "quincebank/base/event_log.h"
#include "quincebank/base/time.h"
#include "quincebank/expert_control/engine_port.h"
#include "quincebank/expert_control/group_map.h"
#include "quincebank/expert_control/map_versions.h"

namespace quincebank {

/// \brief Clock of a rollout, tests run on a virtual one, and its permission.
struct rollout_clock {
  std::function<time_point()> now;
  std::function<void(milliseconds)> sleep;  ///< Suspends the fiber.
  /// Whether this process is the coordinator; asked before each round of orders, since any wait may
  /// have been long enough for another process to take over.
  std::function<bool()> may_act = [] { return true; };
  /// Whether a pass may still be held; false once the process is about to stop.
  std::function<bool()> may_hold = [] { return true; };
};

struct rollout_settings {
  milliseconds poll{25};            ///< Between reports while ranks load or switch.
  milliseconds load_limit{12'000};  ///< After it the plan is given up.
  /// First wait for the answer to an order, many times a round trip; shorter than the pause that a
  /// stream may make, even after two losses, since a pass may be held meanwhile. Grows by half with
  /// each repeat.
  milliseconds order_patience{30};
  milliseconds prepare_patience{200};  ///< The same for a whole map over the link of a small host.
  milliseconds most_patience{400};     ///< Longest wait for one answer.
  /// Usual wait for the answer to a repeated short order. A group stands still while one of its
  /// ranks leaves orders unanswered, and each repeat may be answered, so that many are better than
  /// long ones.
  milliseconds held_patience{60};
  milliseconds settle_retry{5};       ///< Between repeats of an unanswered order.
  milliseconds settle_limit{15'000};  ///< Unanswered orders may be carried out that late.
  /// For all ranks to report that they are armed, beside the age of the reports.
  milliseconds confirm_limit{100};
  /// From the hold to the pass that uses the new map, for the calls to all ranks.
  milliseconds switch_lead{30};
  milliseconds switch_limit{3'000};  ///< Longest wait for that pass.
};

enum class rollout_outcome : std::uint8_t {
  kSwitched,   ///< All ranks use the new map from the same pass on.
  kUnchanged,  ///< All ranks keep their map.
  kGroupLost,  ///< The group has broken or formed anew; nothing is left of the orders.
  /// Ranks did not answer, or the coordinator may not go on; the next attempt has to recover the
  /// group first.
  kUnknown,
};

[[nodiscard]] std::string_view ToString(rollout_outcome outcome) noexcept;

/// \brief Map that a group is to use.
struct map_change {
  const std::vector<rank_experts>& map;  ///< New experts, by set and rank.
  milliseconds loading{0};               ///< Expected time until all ranks have loaded theirs.
};

/// \brief Changes the map of one expert group so that no pass ever sees two maps.
///
/// A pass is held at one rank before any rank is armed for it, and released only after every rank
/// reports that it is armed: the answer to an order may be that to an earlier one, while no earlier
/// report can name the same version and pass. An order without an answer is repeated until the rank
/// answers.
///
/// Ranks keep all the state, so that any process can take over: `Recover` ends what another one
/// left unfinished. Orders may be carried out seconds after they were sent, also those of a
/// coordinator that is gone. A change of which a rank is armed is therefore completed, which is
/// what the earlier orders lead to as well; only if a rank can't take part it is undone, and then a
/// newer version is loaded first, so that late orders to arm are refused.
class map_rollout {
 public:
  /// \param versions  of the group, for all terms of this process; outlives the rollout.
  map_rollout(engine_port& port,
              rollout_clock clock,
              map_versions& versions,
              event_log& log,
              const rollout_settings& settings = {});

  [[nodiscard]] rollout_outcome Run(const rollout_group& target, const map_change& change);
  /// \brief Finishes or undoes what an earlier rollout has left: armed ranks, held passes, versions
  /// that are loaded and not in use, and ranks with different maps.
  [[nodiscard]] rollout_outcome Recover(const rollout_group& target);
  /// \brief Whether the reports of all ranks show that they use different maps.
  [[nodiscard]] bool MapsDiffer(const rollout_group& target);

 private:
  /// Age of reports before the first read.
  static constexpr milliseconds kAssumedAge{200};

  struct rank_state {
    const upstream_record* record = nullptr;
    rank_report report;
    std::uint64_t orders = 0;  ///< Accepted by the rank, as answered since the report.
  };
  using group_state = std::vector<rank_state>;

  /// What the reports show of a change that nobody has completed.
  struct unfinished_change {
    armed_map change;        ///< Its version and pass; only the pass if no rank is armed.
    std::size_t armed = 0;   ///< Ranks that are armed ...
    bool same = true;        ///< ... all for the same change.
    std::size_t ready = 0;   ///< Ranks that are armed or could be armed for it.
    std::size_t held = 0;    ///< Ranks that hold a pass.
    std::size_t loaded = 0;  ///< Ranks with a version that is not in use.
    bool one_map = true;     ///< All ranks use the same version.
  };

  /// \brief Reads all ranks; nothing unless they form one open group. Fails if they report a
  /// version of a later coordinator, to which the group is left.
  [[nodiscard]] rollout_outcome Read(const std::vector<const upstream_record*>& ranks,
                                     group_state& group);
  /// \brief Returns the version of a new map; nothing if the term has none left.
  [[nodiscard]] std::optional<std::uint64_t> NewVersion(const group_state& group);
  /// \brief Returns how long to wait for the answers to the next repeat of an order.
  [[nodiscard]] milliseconds NextPatience(order_kind kind,
                                          milliseconds patience,
                                          int repeats) const noexcept;
  /// \brief Sends an order to some ranks until each has answered.
  /// \param wanted  whether a report shows the order's effect; decides after a conflict that may
  ///     come from an earlier copy of the order itself.
  /// \returns Whether all ranks are in the wanted state; nothing if some did not answer in time.
  [[nodiscard]] std::optional<bool> Settle(group_state& group,
                                           const std::vector<std::size_t>& members,
                                           const engine_order& order,
                                           const std::function<bool(const rank_report&)>& wanted);
  /// What reports show of ranks that have refused a repeated order.
  struct refusal_causes {
    /// Ranks that have accepted other orders since their report, and have to be sent the order once
    /// more with their present count.
    std::vector<std::size_t> miscounted;
    bool fits = true;  ///< All others are in the wanted state.
  };
  /// \brief Finds out why ranks have refused a repeated order: they have carried out an earlier
  /// copy of it, they have accepted other orders meanwhile, or it does not fit their state.
  /// \returns Nothing if some ranks did not answer.
  [[nodiscard]] std::optional<refusal_causes> ExplainRefusals(
      group_state& group,
      const std::vector<std::size_t>& members,
      const engine_order& order,
      const std::function<bool(const rank_report&)>& wanted);
  /// \brief Waits until all ranks have loaded a map; reads only those that have not.
  [[nodiscard]] rollout_outcome WaitPrepared(group_state& group,
                                             std::uint64_t version,
                                             milliseconds loading);
  [[nodiscard]] rollout_outcome Switch(const rollout_group& target,
                                       group_state& group,
                                       std::uint64_t version);
  /// \brief Waits until the first rank uses a map for which all ranks were armed.
  [[nodiscard]] rollout_outcome WaitSwitched(const group_state& group, std::uint64_t version);
  /// \brief Waits until each rank reports that it is armed for a change.
  [[nodiscard]] bool ConfirmArmed(const group_state& group, const armed_map& change);
  [[nodiscard]] unfinished_change FindUnfinished(const group_state& group) const;
  /// \brief Completes a change of which some rank is armed.
  /// \returns Whether no rank refused to take part.
  [[nodiscard]] bool Finish(group_state& group, const armed_map& change);
  /// \param step  held or armed pass; 0 if there is none.
  [[nodiscard]] rollout_outcome Undo(const rollout_group& target,
                                     group_state& group,
                                     std::uint64_t step);
  /// \brief Holds a group whose ranks use different maps and brings it to one map.
  [[nodiscard]] rollout_outcome Unify(const rollout_group& target, group_state& group);
  /// \brief Releases all held passes.
  [[nodiscard]] rollout_outcome Release(group_state& group);
  [[nodiscard]] static std::vector<const upstream_record*> Records(const group_state& group);
  /// \brief First pass that any rank holds.
  [[nodiscard]] static std::optional<std::uint64_t> FirstHeld(const group_state& group) noexcept;
  /// \brief Last pass that any rank has begun.
  [[nodiscard]] static std::uint64_t LastStep(const group_state& group) noexcept;
  void MeasurePasses(std::uint64_t step);
  /// \brief Waits until reports show all that was ordered before.
  void AwaitFreshReports();
  [[nodiscard]] std::uint64_t StepAfter(const group_state& group, milliseconds lead) const;

  engine_port& port_;
  const rollout_clock clock_;
  map_versions& versions_;
  event_log& log_;
  const rollout_settings settings_;
  std::uint64_t reported_version_ = 0;  ///< Highest one in the last read.
  std::uint64_t replacement_ = 0;  ///< Version of the present map that an undo has loaded last.
  /// Time of one pass; 0 if unknown.
  nanoseconds pass_time_{0};
  milliseconds report_age_{kAssumedAge};  ///< Of the oldest report in the last read.
  std::uint64_t seen_step_ = 0;           ///< Where the present count of passes began.
  time_point seen_at_{};
};

}  // namespace quincebank
