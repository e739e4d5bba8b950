#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/experts/even_share_plan.h"
#include "quincebank/fleet/fleet_records.h"

namespace quincebank {

/// \brief Map that a rank takes into use when a pass begins.
struct armed_map {
  std::uint64_t version = 0;
  std::uint64_t step = 0;  ///< 0 if the rank does not tell.

  [[nodiscard]] bool operator==(const armed_map&) const noexcept = default;
};

/// \brief State of one rank.
struct rank_report {
  std::uint64_t incarnation = 0;
  std::string group;
  std::uint64_t epoch = 0;  ///< Formation of the group; a new one begins without any orders.
  int rank = 0;
  bool open = false;                      ///< The group serves.
  std::uint64_t step = 0;                 ///< Last pass that was begun.
  std::uint64_t map = 0;                  ///< Version of the map in use.
  std::optional<std::uint64_t> prepared;  ///< Version whose experts are all loaded.
  std::optional<armed_map> armed;
  std::optional<std::uint64_t> held;  ///< Pass that does not begin before a release.
  std::uint64_t orders = 0;           ///< Orders accepted since the start.
  int running = 0;                    ///< Requests in its batch, from all entries.
  int waiting = 0;                    ///< Requests in its queue.
  std::int64_t kv_used = 0;           ///< Tokens in its memory; 0 if it does not tell.
  int pace = 0;                       ///< Its speed, 1000 as configured; 0 if it does not tell.
  milliseconds age{0};                ///< Longest time since the state was so.

  [[nodiscard]] bool operator==(const rank_report&) const = default;
};

/// \brief How often the requests of one rank chose each expert, since its start.
struct pick_counts {
  std::uint64_t epoch = 0;
  std::vector<std::uint64_t> counts;  ///< Set by set.

  [[nodiscard]] bool operator==(const pick_counts&) const = default;
};

/// \brief Experts that one rank holds, by set.
struct held_experts {
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  std::vector<std::vector<int>> experts;

  [[nodiscard]] bool operator==(const held_experts&) const = default;
};

enum class order_kind : std::uint8_t {
  kPrepare,  ///< Load the experts that a map adds.
  kArm,      ///< Use the prepared map from a pass on.
  kDisarm,
  kHold,  ///< Do not begin a pass before a release.
  kRelease,
};

[[nodiscard]] std::string_view ToString(order_kind kind) noexcept;

struct engine_order {
  order_kind kind = order_kind::kPrepare;
  std::uint64_t version = 0;  ///< Of the map; for prepare, arm and disarm.
  std::uint64_t step = 0;     ///< For arm, hold and release.
  std::uint64_t epoch = 0;
  std::uint64_t expected_orders = 0;  ///< The rank refuses the order if it has accepted others.
  const std::vector<rank_experts>* map = nullptr;  ///< By set; for prepare.
};

enum class order_answer : std::uint8_t {
  kBegun,
  kHolds,       ///< The wanted state holds already.
  kConflict,    ///< It does not fit the rank's state, or another order came between.
  kReplaced,    ///< Another upstream has the address.
  kUnanswered,  ///< It may have been accepted, or may be carried out later.
};

[[nodiscard]] std::string_view ToString(order_answer answer) noexcept;

/// \brief Order for one rank.
struct rank_order {
  const upstream_record* rank = nullptr;
  engine_order order;
};

/// \brief Reaches the ranks of expert groups. Used by the fibers of one thread.
class engine_port {
 public:
  virtual ~engine_port() = default;

  /// \brief Reads all ranks at once.
  [[nodiscard]] virtual std::vector<result<rank_report>> Reports(
      std::span<const upstream_record* const> ranks) = 0;
  [[nodiscard]] virtual std::vector<result<pick_counts>> Counts(
      std::span<const upstream_record* const> ranks) = 0;
  [[nodiscard]] virtual std::vector<result<held_experts>> Held(
      std::span<const upstream_record* const> ranks) = 0;
  /// \brief Sends all orders at once; the answers are in the same order.
  /// \param patience  longest wait for each answer.
  [[nodiscard]] virtual std::vector<order_answer> Send(std::span<const rank_order> orders,
                                                       milliseconds patience) = 0;
};

}  // namespace quincebank
