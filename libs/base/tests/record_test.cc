#include "quincebank/base/record.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

TEST(record_test, SurvivesTheWire) {
  decision_record record;
  record.request = "r1";
  record.kind = "route";
  record.input = {{"seed", 7}};
  record.outcome = {{"upstream", "u1"}};
  const decision_record copy = RecordFromJson(ToJson(record));
  EXPECT_EQ(copy.request, record.request);
  EXPECT_EQ(copy.input, record.input);
  EXPECT_EQ(copy.outcome, record.outcome);
}

// Guards against unbounded memory in a long-running process.
TEST(record_test, KeepsOnlyTheLastRecords) {
  record_log log(3);
  for (int i = 0; i < 5; ++i)
    log.Append({.request = "r" + std::to_string(i)});
  const auto kept = log.Since(0, 10);
  ASSERT_EQ(kept.size(), 3U);
  EXPECT_EQ(kept.front().sequence, 3U);
  EXPECT_TRUE(log.ForRequest("r0").empty());
  EXPECT_EQ(log.ForRequest("r4").size(), 1U);
}

}  // namespace
}  // namespace quincebank
