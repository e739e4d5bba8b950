#pragma once

#include <gtest/gtest.h>

#include <map>

#include "quincebank/idempotency/claim_writer.h"

namespace quincebank {

inline constexpr wall_time kWall{seconds(1'800'000'000)};
inline constexpr std::string_view kName = "claims/p1";

using status = store_reply::status;
using kind = store_action::kind;

/// One value of a key-value service; replies can be held back, lost or delayed by the test.
struct fake_store {
  std::string value;
  std::uint64_t index = 0;
  int reads = 0;
  int swaps = 0;
  int conflicts = 0;
  bool returns_index = true;

  store_reply Apply(const store_action& action) {
    if (action.what == kind::kRead) {
      ++reads;
      return {action.operation, status::kOk, value, index};
    }
    ++swaps;
    if (action.index != index) {
      ++conflicts;
      return {action.operation, status::kConflict, {}, 0};
    }
    value = action.value;
    ++index;
    return {action.operation, status::kOk, {}, returns_index ? index : 0};
  }
};

inline claim MakeClaim(std::uint64_t key, std::uint64_t attempt) {
  return {{key, 0}, 5, {attempt, 0}, {"a:1", incarnation{1}}, kWall};
}

class writer_fixture {
 public:
  explicit writer_fixture(fake_store& service, claim_writer_options options = {})
      : store(service), writer(std::string(kName), options) {}

  std::uint64_t Claim(std::uint64_t key,
                      std::uint64_t attempt,
                      std::optional<std::uint64_t> moved_from = std::nullopt) {
    claim_request request{.value = MakeClaim(key, attempt), .deadline = now + seconds(5)};
    if (moved_from)
      request.expected = attempt_id{*moved_from, 0};
    return writer.Add(request, now);
  }
  std::optional<store_action> Next() {
    auto actions = writer.Poll(now, kWall);
    return actions.empty() ? std::nullopt : std::optional(actions.back());
  }
  /// Runs the writer and the store until nothing is pending or `until` has passed.
  void Run(seconds span = seconds(10)) {
    const time_point end = now + span;
    while (now < end) {
      while (auto action = Next())
        writer.OnReply(store.Apply(*action), now);
      Collect();
      const auto wake = writer.NextWake();
      if (!wake)
        return;
      now = std::max(now + milliseconds(1), *wake);
    }
  }
  void Collect() {
    for (const claim_decision& decision : writer.TakeDecisions())
      decisions[decision.ticket] = decision;
  }
  claim_outcome Outcome(std::uint64_t ticket) {
    Collect();
    EXPECT_TRUE(decisions.contains(ticket)) << "no decision for " << ticket;
    return decisions[ticket].outcome;
  }

  fake_store& store;
  claim_writer writer;
  time_point now{};
  std::map<std::uint64_t, claim_decision> decisions;
};

}  // namespace quincebank
