#include "../src/claim_json.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

claim SomeClaim() {
  claim value;
  value.key = {0xfedcba9876543210ULL, 7};
  value.request_digest = 0xffffffffffffffffULL;
  value.attempt = {3, 4};
  value.target = {"10.0.0.1:8000", incarnation{0x8000000000000001ULL}};
  value.expires = wall_time(seconds(1'700'000'000));
  return value;
}

// Guards against a forwarded claim that names another attempt than its sender meant.
TEST(claim_json_test, ForwardedClaimSurvivesTheWire) {
  forwarded_claim sent{"claims/t/1", {}};
  sent.request.value = SomeClaim();
  sent.request.expected = attempt_id{5, 6};
  const time_point now{seconds(100)};
  const auto read = ForwardedClaimFromJson(ToJson(sent, milliseconds(250)), now);
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read.value().bucket, sent.bucket);
  EXPECT_EQ(read.value().request.value, sent.request.value);
  EXPECT_EQ(read.value().request.expected, sent.request.expected);
  EXPECT_EQ(read.value().request.deadline, now + milliseconds(250));
}

class decision_json_test : public testing::TestWithParam<claim_outcome> {};

TEST_P(decision_json_test, SurvivesTheWire) {
  claim_decision sent;
  sent.outcome = GetParam();
  sent.holder = SomeClaim();
  sent.failure = MakeError(error_code::kOverloaded, "bucket is full");
  const auto read = ClaimDecisionFromJson(ToJson(sent));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read.value().outcome, sent.outcome);
  if (sent.outcome == claim_outcome::kHeld) {
    EXPECT_EQ(read.value().holder, sent.holder);
  }
}

INSTANTIATE_TEST_SUITE_P(Outcomes,
                         decision_json_test,
                         testing::Values(claim_outcome::kOwned,
                                         claim_outcome::kHeld,
                                         claim_outcome::kAbsent,
                                         claim_outcome::kUsed,
                                         claim_outcome::kNotRun));

class malformed_decision_test : public testing::TestWithParam<const char*> {};

// Guards against reading a damaged answer as the ownership of a claim.
TEST_P(malformed_decision_test, IsAnError) {
  EXPECT_FALSE(ClaimDecisionFromJson(boost::json::value{{"outcome", GetParam()}}).has_value());
}

INSTANTIATE_TEST_SUITE_P(Outcomes, malformed_decision_test, testing::Values("", "own", "held"));

}  // namespace
}  // namespace quincebank
