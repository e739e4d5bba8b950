#include "quincebank/idempotency/request_action.h"

#include <array>

namespace quincebank {

std::string_view ToString(action_kind kind) noexcept {
  static constexpr std::array<std::string_view, 11> kNames{
      "none",  "choose", "claim",     "look", "send",  "ask_state",
      "block", "fetch",  "ask_retry", "wait", "finish"};
  return kNames.at(static_cast<std::size_t>(kind));
}

copy_outcome CopyOutcomeOf(begin_outcome outcome) noexcept {
  switch (outcome) {
    case begin_outcome::kAlreadyRunning:
    case begin_outcome::kDone:
      return copy_outcome::kDuplicate;
    case begin_outcome::kBlocked:
      return copy_outcome::kBlocked;
    case begin_outcome::kMayHaveRun:
      return copy_outcome::kFailed;
    case begin_outcome::kWrongIncarnation:
      return copy_outcome::kWrongIncarnation;
    case begin_outcome::kUntimely:
    case begin_outcome::kFull:
      return copy_outcome::kRejected;
    case begin_outcome::kStart:
      break;
  }
  return copy_outcome::kLost;
}

}  // namespace quincebank
