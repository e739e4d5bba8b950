#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "quincebank/base/verdict.h"

namespace quincebank {

/// \brief What one incarnation of an agent knows about an attempt.
enum class attempt_state : std::uint8_t {
  kNeverSeen,         ///< This incarnation has not started it; a late copy may still start it.
  kRunning,           ///< Started; the answer so far can be read unless it was too large to hold.
  kDone,              ///< Ran; the whole answer is held.
  kAnswerGone,        ///< Ran; its answer is incomplete or no longer held.
  kMayHaveRun,        ///< Started and failed without proof of the outcome.
  kBlocked,           ///< Has not run and never will at this incarnation.
  kForgotten,         ///< Older than the horizon; nothing can be said.
  kWrongIncarnation,  ///< The question was meant for another incarnation.
};

/// \brief Returns the wire form, such as `never_seen`.
[[nodiscard]] std::string_view ToString(attempt_state state) noexcept;
/// \brief Parses the wire form.
[[nodiscard]] std::optional<attempt_state> ParseAttemptState(std::string_view text) noexcept;

/// \brief Returns what the state proves about the attempt.
///
/// Only `kBlocked` proves "not run": a `kNeverSeen` attempt may still arrive.
[[nodiscard]] verdict VerdictOf(attempt_state state) noexcept;

/// \brief Answer of an agent to the start of an attempt.
enum class begin_outcome : std::uint8_t {
  kStart,  ///< First copy: run it.
  kAlreadyRunning,
  kDone,  ///< Ran before; see `Status` and `Read` for the held answer.
  kBlocked,
  kMayHaveRun,  ///< Started before and failed without proof of the outcome.
  kWrongIncarnation,
  kUntimely,  ///< The id's time is outside the horizon, or it carries none.
  kFull,      ///< No room for another record; this copy does not run.
};

/// \brief Returns the wire form, such as `wrong_incarnation`.
[[nodiscard]] std::string_view ToString(begin_outcome outcome) noexcept;
/// \brief Parses the wire form.
[[nodiscard]] std::optional<begin_outcome> ParseBeginOutcome(std::string_view text) noexcept;

}  // namespace quincebank
