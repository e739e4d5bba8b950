#include "quincebank/admission/hedge_record.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

struct decision_case {
  const char* name;
  hedge_input input;
  hedge_reason reason;
};

hedge_input DueHedge() {
  hedge_input input;
  input.latency = {.samples = 500, .quantile = milliseconds(120)};
  input.repeatable = true;
  input.elapsed = milliseconds(121);
  input.other_upstream = true;
  input.budget_granted = true;
  return input;
}

hedge_input With(void (*change)(hedge_input&)) {
  hedge_input input = DueHedge();
  change(input);
  return input;
}

class hedge_record_test : public testing::TestWithParam<decision_case> {};

// Guards against a hedge that must not be sent, and against a record from which the decision cannot
// be reproduced.
TEST_P(hedge_record_test, IsReproducedFromTheRecordAlone) {
  EXPECT_EQ(DecideHedge(GetParam().input), GetParam().reason);
  decision_record record = MakeHedgeRecord(
      "r1", wall_time(), GetParam().input, {"a1", "10.0.0.1:1"},
      GetParam().input.other_upstream ? hedge_copy{"a2", "10.0.0.2:1"} : hedge_copy{});
  EXPECT_EQ(record.outcome.at("reason"), boost::json::value(ToString(GetParam().reason)));
  EXPECT_EQ(record.outcome.contains("second"), GetParam().reason == hedge_reason::kSend);
  const auto replayed = ReplayHedge(RecordFromJson(ToJson(record)));
  ASSERT_TRUE(replayed.has_value()) << Describe(replayed.error());
  EXPECT_EQ(replayed.value(), record.outcome);
  record.input["elapsed_ms"] = 3;
  const auto changed = ReplayHedge(record);
  ASSERT_TRUE(changed.has_value());
  EXPECT_EQ(changed.value() == record.outcome, GetParam().reason != hedge_reason::kSend &&
                                                   GetParam().reason != hedge_reason::kNoBudget &&
                                                   GetParam().reason != hedge_reason::kNoUpstream);
}

INSTANTIATE_TEST_SUITE_P(
    Decisions,
    hedge_record_test,
    testing::Values(
        decision_case{"sent", DueHedge(), hedge_reason::kSend},
        decision_case{"order", With([](hedge_input& input) { input.repeatable = false; }),
                      hedge_reason::kNotRepeatable},
        decision_case{"few", With([](hedge_input& input) { input.latency.samples = 99; }),
                      hedge_reason::kFewSamples},
        decision_case{"quick", With([](hedge_input& input) { input.elapsed = milliseconds(119); }),
                      hedge_reason::kNotSlow},
        decision_case{"alone", With([](hedge_input& input) { input.other_upstream = false; }),
                      hedge_reason::kNoUpstream},
        decision_case{"budget", With([](hedge_input& input) { input.budget_granted = false; }),
                      hedge_reason::kNoBudget}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace quincebank
