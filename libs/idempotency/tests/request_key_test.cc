#include "quincebank/idempotency/request_key.h"

#include <gtest/gtest.h>

#include "quincebank/base/random.h"
#include "quincebank/idempotency/retention.h"
#include "quincebank/idempotency/timed_attempt.h"

namespace quincebank {
namespace {

constexpr wall_time kIssued{milliseconds(0x018f'6d2c'4a10)};
const std::string kUuid = "018f6d2c-4a10-7abc-8def-0123456789ab";

struct uuid_case {
  const char* text;
  bool timed;
};

class uuid_test : public testing::TestWithParam<uuid_case> {};

// Guards against reading a time from a random key, which would reject it as too old.
TEST_P(uuid_test, OnlyVersionSevenCarriesATime) {
  const auto time = UuidV7Time(GetParam().text);
  EXPECT_EQ(time.has_value(), GetParam().timed);
  if (time) {
    EXPECT_EQ(*time, kIssued);
  }
}

INSTANTIATE_TEST_SUITE_P(Texts,
                         uuid_test,
                         testing::Values(uuid_case{"018f6d2c-4a10-7abc-8def-0123456789ab", true},
                                         uuid_case{"018F6D2C-4A10-7ABC-BDEF-0123456789AB", true},
                                         uuid_case{"018f6d2c-4a10-4abc-8def-0123456789ab", false},
                                         uuid_case{"018f6d2c-4a10-7abc-cdef-0123456789ab", false},
                                         uuid_case{"018f6d2c-4a10-7abc-8def-0123456789a", false},
                                         uuid_case{"018f6d2c04a10-7abc-8def-0123456789ab", false},
                                         uuid_case{"018f6d2g-4a10-7abc-8def-0123456789ab", false},
                                         uuid_case{"order-17", false}));

struct age_case {
  const char* name;
  seconds age;
  std::optional<verdict> rejected;
};

class key_age_test : public testing::TestWithParam<age_case> {};

TEST_P(key_age_test, GivesTheTruthfulVerdict) {
  const auto key = ParseRequestKey("order-desk", "w", kUuid, kIssued + GetParam().age);
  ASSERT_EQ(key.has_value(), !GetParam().rejected.has_value());
  if (!key) {
    EXPECT_EQ(key.error().outcome, *GetParam().rejected);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Ages,
    key_age_test,
    testing::Values(age_case{"fresh", seconds(0), std::nullopt},
                    age_case{"clock_behind", -kClockMargin, std::nullopt},
                    age_case{"future", -kClockMargin - seconds(1), verdict::kNotRun},
                    age_case{"last_second", kKeyRetention, std::nullopt},
                    age_case{"too_old", kKeyRetention + seconds(1), verdict::kMayHaveRun}));

// Guards against one workspace getting the answer of another that chose the same key.
TEST(request_key_test, DependsOnServiceWorkspaceAndKey) {
  const auto digest = [](const char* service, const char* workspace, const char* key) {
    return ParseRequestKey(service, workspace, key, kIssued).value().digest;
  };
  EXPECT_EQ(digest("s", "w", "k"), digest("s", "w", "k"));
  EXPECT_NE(digest("s", "w", "k"), digest("s", "v", "k"));
  EXPECT_NE(digest("s", "w", "k"), digest("t", "w", "k"));
  EXPECT_NE(digest("s", "wk", "k"), digest("s", "w", "kk"));
}

TEST(request_key_test, RefusesEmptyAndOversizedKeys) {
  EXPECT_FALSE(ParseRequestKey("s", "w", "", kIssued).has_value());
  EXPECT_FALSE(ParseRequestKey("s", "w", std::string(256, 'k'), kIssued).has_value());
}

TEST(timed_attempt_test, CarriesItsTime) {
  random_source random(3);
  const attempt_id first = NewTimedAttemptId(random, kIssued);
  EXPECT_EQ(AttemptTime(first), kIssued);
  EXPECT_NE(NewTimedAttemptId(random, kIssued), first);
}

}  // namespace
}  // namespace quincebank
