#include "quincebank/base/ids.h"

#include <gtest/gtest.h>

#include "quincebank/base/digest.h"
#include "quincebank/base/random.h"

namespace quincebank {
namespace {

TEST(ids_test, AttemptIdSurvivesTheWire) {
  random_source random(7);
  const attempt_id id = NewAttemptId(random);
  EXPECT_EQ(ParseAttemptId(ToString(id)), id);
}

class bad_id_test : public testing::TestWithParam<const char*> {};

// Guards against accepting a truncated or padded identity as another one.
TEST_P(bad_id_test, IsRefused) {
  EXPECT_EQ(ParseAttemptId(GetParam()), std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(Texts,
                         bad_id_test,
                         testing::Values("",
                                         "12",
                                         "0123456789abcdef0123456789abcde",
                                         "0123456789abcdef0123456789abcdef0",
                                         "0123456789abcdef0123456789abcdeg",
                                         "+123456789abcdef0123456789abcdef"));

TEST(digest_test, MatchesTheStandardVector) {
  EXPECT_EQ(Sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

class base64_test : public testing::TestWithParam<const char*> {};

TEST_P(base64_test, RoundTrips) {
  EXPECT_EQ(Base64Decode(Base64Encode(GetParam())), GetParam());
}

INSTANTIATE_TEST_SUITE_P(Lengths, base64_test, testing::Values("", "a", "ab", "abc", "abcd"));

}  // namespace
}  // namespace quincebank
