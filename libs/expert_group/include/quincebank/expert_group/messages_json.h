#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/experts/count_report.h"
#include "quincebank/experts/group_restart.h"
#include "quincebank/experts/switch_messages.h"

namespace quincebank {

/// \name Parameters of the `experts.*` methods; each also names its group.
/// @{
[[nodiscard]] boost::json::object ToJson(const prepare_message& message);
[[nodiscard]] boost::json::object ToJson(const promise_request& message);
[[nodiscard]] boost::json::object ToJson(const decision_message& message);
[[nodiscard]] boost::json::object ToJson(const withdraw_message& message);
[[nodiscard]] result<prepare_message> PrepareFromJson(const boost::json::object& params);
[[nodiscard]] result<promise_request> PromiseFromJson(const boost::json::object& params);
[[nodiscard]] result<decision_message> DecisionFromJson(const boost::json::object& params);
[[nodiscard]] result<withdraw_message> WithdrawFromJson(const boost::json::object& params);
/// @}

enum class rank_answer_kind : std::uint8_t { kNone, kPrepared, kPromised, kRefused };

/// \brief What a rank's agent answers to a message of the coordinator. `kNone` means that it has no
/// answer yet; the coordinator repeats its message.
struct rank_answer {
  rank_answer_kind kind = rank_answer_kind::kNone;
  change_id change;
  step_number next_step = 0;  ///< For `kPrepared`.

  [[nodiscard]] bool operator==(const rank_answer&) const noexcept = default;
};
[[nodiscard]] boost::json::object ToJson(const rank_answer& answer);
[[nodiscard]] result<rank_answer> RankAnswerFromJson(const boost::json::value& value);

[[nodiscard]] result<engine_view> EngineViewFromJson(std::string_view text);
/// \brief Body of an order to an engine, without the map of a `stage`.
[[nodiscard]] boost::json::object ToJson(const engine_order& order);

/// \brief Reads the condition of a rank from the answer to `experts.status`.
/// \returns Nothing if the agent hasn't read its engine yet.
[[nodiscard]] std::optional<rank_condition> RankConditionFromJson(const boost::json::value& status);

/// \brief Tokens that the experts of one rank have handled since its engine started.
struct token_counts {
  step_number steps = 0;
  /// Time of the rank's own part of these steps, without waiting for other ranks.
  std::optional<std::int64_t> busy_ns;
  std::vector<std::vector<std::int64_t>> layers;

  [[nodiscard]] bool operator==(const token_counts&) const = default;
};
[[nodiscard]] boost::json::object ToJson(const token_counts& counts);
[[nodiscard]] result<token_counts> TokenCountsFromJson(const boost::json::value& value);

/// \brief Asks for the next report of token counts.
struct counts_request {
  count_receipt receipt;
  std::int64_t bytes = 0;  ///< Limit of the report, before its text form.

  [[nodiscard]] bool operator==(const counts_request&) const noexcept = default;
};
[[nodiscard]] boost::json::object ToJson(const counts_request& request);
[[nodiscard]] result<counts_request> CountsRequestFromJson(const boost::json::object& params);

}  // namespace quincebank
