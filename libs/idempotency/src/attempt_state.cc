#include "quincebank/idempotency/attempt_state.h"

#include <array>
#include <utility>

namespace quincebank {
namespace {

using enum attempt_state;

constexpr std::array<std::pair<attempt_state, std::string_view>, 8> kStates{{
    {kNeverSeen, "never_seen"},
    {kRunning, "running"},
    {kDone, "done"},
    {kAnswerGone, "answer_gone"},
    {kMayHaveRun, "may_have_run"},
    {kBlocked, "blocked"},
    {kForgotten, "forgotten"},
    {kWrongIncarnation, "wrong_incarnation"},
}};

constexpr std::array<std::pair<begin_outcome, std::string_view>, 8> kOutcomes{{
    {begin_outcome::kStart, "start"},
    {begin_outcome::kAlreadyRunning, "already_running"},
    {begin_outcome::kDone, "done"},
    {begin_outcome::kBlocked, "blocked"},
    {begin_outcome::kMayHaveRun, "may_have_run"},
    {begin_outcome::kWrongIncarnation, "wrong_incarnation"},
    {begin_outcome::kUntimely, "untimely"},
    {begin_outcome::kFull, "full"},
}};

template <typename Table, typename Value>
std::string_view NameOf(const Table& table, Value value) noexcept {
  for (const auto& [known, name] : table) {
    if (known == value)
      return name;
  }
  return "unknown";
}

template <typename Value, typename Table>
std::optional<Value> ValueOf(const Table& table, std::string_view text) noexcept {
  for (const auto& [known, name] : table) {
    if (name == text)
      return known;
  }
  return std::nullopt;
}

}  // namespace

std::string_view ToString(attempt_state state) noexcept {
  return NameOf(kStates, state);
}

std::optional<attempt_state> ParseAttemptState(std::string_view text) noexcept {
  return ValueOf<attempt_state>(kStates, text);
}

verdict VerdictOf(attempt_state state) noexcept {
  if (state == kBlocked)
    return verdict::kNotRun;
  if (state == kDone || state == kAnswerGone)
    return verdict::kRan;
  return verdict::kMayHaveRun;
}

std::string_view ToString(begin_outcome outcome) noexcept {
  return NameOf(kOutcomes, outcome);
}

std::optional<begin_outcome> ParseBeginOutcome(std::string_view text) noexcept {
  return ValueOf<begin_outcome>(kOutcomes, text);
}

}  // namespace quincebank
