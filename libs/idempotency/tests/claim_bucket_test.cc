#include "quincebank/idempotency/claim_bucket.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "quincebank/base/random.h"
#include "quincebank/idempotency/retention.h"
#include "quincebank/idempotency/timed_attempt.h"

namespace quincebank {
namespace {

constexpr wall_time kNow{seconds(1'800'000'000)};

claim MakeClaim(std::uint64_t number, std::uint64_t target = 1) {
  return {{number, ~number},
          number * 3,
          {number, 1},
          {"10.0.0." + std::to_string(target) + ":7000", incarnation{target}},
          kNow};
}

claim_bucket MakeBucket(std::uint64_t claims) {
  claim_bucket bucket;
  for (std::uint64_t i = 0; i < claims; ++i)
    EXPECT_TRUE(bucket.Put(MakeClaim(i, i % 3)));
  return bucket;
}

TEST(claim_bucket_test, SurvivesTheWire) {
  const claim_bucket bucket = MakeBucket(100);
  const std::string value = bucket.Serialise();
  EXPECT_EQ(value.size(), bucket.Bytes());
  const auto read = claim_bucket::Parse(value);
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read.value().size(), 100U);
  for (std::uint64_t i = 0; i < 100; ++i)
    EXPECT_EQ(*read.value().Find(MakeClaim(i).key), MakeClaim(i, i % 3));
}

class broken_bucket_test : public testing::TestWithParam<std::size_t> {};

// Guards against overwriting live claims after misreading a damaged value.
TEST_P(broken_bucket_test, IsRefused) {
  const std::string value = MakeBucket(3).Serialise();
  EXPECT_FALSE(claim_bucket::Parse(value.substr(0, GetParam())).has_value());
  EXPECT_FALSE(claim_bucket::Parse(value + "x").has_value());
  std::string other_format = value;
  other_format[2] = '3';
  EXPECT_FALSE(claim_bucket::Parse(other_format).has_value());
  std::string bad_target = value;
  bad_target.back() = '\x7f';
  EXPECT_FALSE(claim_bucket::Parse(bad_target).has_value());
}

INSTANTIATE_TEST_SUITE_P(Lengths, broken_bucket_test, testing::Values(1, 4, 8, 12, 13, 40, 100));

// Guards against two claims of one key, of which either could be found.
TEST(claim_bucket_test, RefusesARepeatedKey) {
  claim_bucket one;
  EXPECT_TRUE(one.Put(MakeClaim(1)));
  std::string value = one.Serialise();
  const std::string entry = value.substr(value.size() - 46);
  value[8] = 2;
  EXPECT_FALSE(claim_bucket::Parse(value + entry).has_value());
}

// Guards against dropping a live claim, or growing past the service's limit, when full.
TEST(claim_bucket_test, RefusesAClaimBeyondTheLimit) {
  claim_bucket bucket = MakeBucket(10);
  const std::size_t limit = bucket.Bytes() + 45;
  EXPECT_FALSE(bucket.Put(MakeClaim(99, 1), limit));
  EXPECT_EQ(bucket.size(), 10U);
  EXPECT_TRUE(bucket.Put(MakeClaim(99, 1), limit + 1));
  claim moved = MakeClaim(4, 2);
  moved.attempt.low = 2;
  EXPECT_TRUE(bucket.Put(moved, limit + 1)) << "a move to a known target needs no room";
  EXPECT_FALSE(bucket.Put(MakeClaim(5, 9), limit + 1)) << "a new target needs room";
  EXPECT_EQ(bucket.Find(MakeClaim(5).key)->target, MakeClaim(5, 2).target);
  EXPECT_EQ(bucket.Bytes(), bucket.Serialise().size());
}

// Guards against removing a claim that has moved to another attempt.
TEST(claim_bucket_test, RemovesOnlyTheNamedAttempt) {
  claim_bucket bucket = MakeBucket(3);
  EXPECT_FALSE(bucket.Remove(MakeClaim(1).key, attempt_id{1, 2}));
  EXPECT_TRUE(bucket.Remove(MakeClaim(1).key, attempt_id{1, 1}));
  EXPECT_EQ(bucket.Find(MakeClaim(1).key), nullptr);
  EXPECT_EQ(bucket.Bytes(), bucket.Serialise().size());
}

TEST(claim_bucket_test, DropsOnlyExpiredClaims) {
  claim_bucket bucket = MakeBucket(3);
  claim old = MakeClaim(7);
  old.expires = kNow - seconds(1);
  EXPECT_TRUE(bucket.Put(old));
  EXPECT_EQ(bucket.DropExpired(kNow), 1U);
  EXPECT_EQ(bucket.size(), 3U);
}

// Guards against a shorter retention that takes back what an earlier attempt was promised.
TEST(claim_bucket_test, AMovedClaimNeverExpiresEarlier) {
  claim_bucket bucket = MakeBucket(1);
  claim moved = MakeClaim(0, 2);
  moved.expires = kNow - seconds(60);
  EXPECT_TRUE(bucket.Put(moved));
  EXPECT_EQ(bucket.Find(moved.key)->expires, kNow);
  EXPECT_EQ(bucket.Find(moved.key)->target, moved.target);
}

// Guards against claims of the earlier format that vanish, or expire early, with a new program.
TEST(claim_bucket_test, ReadsTheEarlierFormat) {
  std::string value = MakeBucket(3).Serialise();
  value[2] = '1';
  value.erase(12, 4);  // It has no count of reduced claims.
  const auto read = claim_bucket::Parse(value);
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read.value().size(), 3U);
  EXPECT_EQ(read.value().Find(MakeClaim(1).key)->expires, kNow + kClaimRetention);
}

claim ClaimMadeAt(std::uint64_t number, wall_time made) {
  random_source random(number);
  claim value = MakeClaim(number);
  value.key.high = random.Next();
  value.attempt = NewTimedAttemptId(random, made);
  return value;
}

// Guards against a used key that looks fresh once its claim is reduced, and against reducing a
// claim whose answer may still be held.
TEST(claim_bucket_test, AReducedClaimStillSaysUsed) {
  claim_bucket bucket;
  for (std::uint64_t i = 0; i < 100; ++i)
    EXPECT_TRUE(bucket.Put(ClaimMadeAt(i, i < 60 ? kNow - seconds(1) : kNow)));
  EXPECT_EQ(bucket.Reduce(kNow), 60U);
  EXPECT_EQ(bucket.Reduce(kNow), 0U);
  const std::string value = bucket.Serialise();
  EXPECT_EQ(value.size(), bucket.Bytes());
  const auto read = claim_bucket::Parse(value);
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read.value().size(), 40U);
  EXPECT_EQ(read.value().reduced(), 60U);
  for (std::uint64_t i = 0; i < 100; ++i) {
    const claim_key key = ClaimMadeAt(i, kNow).key;
    EXPECT_EQ(read.value().Used(key), i < 60);
    EXPECT_EQ(read.value().Find(key) != nullptr, i >= 60);
  }
  EXPECT_FALSE(claim_bucket::Parse(value.substr(0, value.size() - 4)).has_value());
  std::string unsorted = value;
  std::swap_ranges(unsorted.end() - 4, unsorted.end(), unsorted.end() - 8);
  EXPECT_FALSE(claim_bucket::Parse(unsorted).has_value());
}

TEST(bucket_name_test, NamesTheSliceOfTheKey) {
  const bucket_layout layout;
  EXPECT_EQ(BucketName(layout, {{0, 5}, kNow}), "claims/t180000000-1");
  EXPECT_EQ(TimedBucketName(SliceOf(layout, kNow + seconds(9)), 1), "claims/t180000000-1");
}

// Guards against entries that disagree, and against moving all buckets when one entry leaves.
TEST(preferred_entry_test, OnlyMovesTheBucketsOfTheLeavingEntry) {
  const std::vector<std::string> before{"e1", "e2", "e3", "e4"};
  const std::vector<std::string> after{"e1", "e3", "e4"};
  std::map<std::string, int> share;
  for (int i = 0; i < 400; ++i) {
    const std::string bucket = "claims/p" + std::to_string(i);
    const std::string& entry = before[PreferredEntry(bucket, before)];
    ++share[entry];
    if (entry != "e2") {
      EXPECT_EQ(after[PreferredEntry(bucket, after)], entry);
    }
  }
  EXPECT_EQ(share.size(), before.size());
}

// Guards against erasing claims of keys that carry no time with a slice.
TEST(bucket_name_test, ABucketWithoutTimeIsInNoSlice) {
  const bucket_layout layout;
  const std::string name = BucketName(layout, {{0, 70}, std::nullopt});
  EXPECT_EQ(name, "claims/p6");
  EXPECT_FALSE(IsTimedBucket(name));
  EXPECT_TRUE(IsTimedBucket(TimedBucketName(1, 0)));
}

}  // namespace
}  // namespace quincebank
