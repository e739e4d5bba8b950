#include "claim_writer_fixture.h"

namespace quincebank {
namespace {

// Guards against a claim that takes effect after "not run" and is then never cleared.
TEST(claim_writer_late_test, AbandonedClaimIsRemovedByTheNextWrite) {
  fake_store store;
  writer_fixture fix(store);
  const auto first = fix.Claim(1, 10);
  fix.now += milliseconds(20);
  fix.writer.OnReply(store.Apply(*fix.Next()), fix.now);
  const store_action swap = *fix.Next();
  fix.now += seconds(6);
  EXPECT_EQ(fix.Next(), std::nullopt);
  EXPECT_EQ(fix.Outcome(first), claim_outcome::kNotRun);
  fix.writer.Release({1, 0}, {10, 0});
  store.Apply(swap);
  const auto second = fix.Claim(2, 20);
  fix.Run();
  EXPECT_EQ(fix.Outcome(second), claim_outcome::kOwned);
  EXPECT_EQ(claim_bucket::Parse(store.value).value().Find({1, 0}), nullptr);
}

// Guards against removing a claim that its request got through another entry, and sent.
TEST(claim_writer_late_test, AClaimThatWasGivenUpStaysUnlessReleased) {
  fake_store store;
  writer_fixture slow(store);
  const auto given_up = slow.writer.Add(
      {.value = MakeClaim(1, 10), .deadline = time_point(milliseconds(10))}, slow.now);
  slow.now += milliseconds(20);
  EXPECT_EQ(slow.Next(), std::nullopt);
  EXPECT_EQ(slow.Outcome(given_up), claim_outcome::kNotRun);
  writer_fixture other(store);
  const auto ticket = other.Claim(1, 10);
  other.Run();
  EXPECT_EQ(other.Outcome(ticket), claim_outcome::kOwned);
  slow.Claim(2, 20);
  slow.Run();
  EXPECT_NE(claim_bucket::Parse(store.value).value().Find({1, 0}), nullptr);
}

// Guards against a claim that names a dead agent for ever after its order was refused.
TEST(claim_writer_release_test, RemovesAReleasedClaimWithoutAnotherOrder) {
  fake_store store;
  writer_fixture fix(store);
  fix.Claim(1, 10);
  fix.Claim(2, 20);
  fix.Run();
  fix.writer.Release({1, 0}, {10, 0});
  fix.writer.Release({2, 0}, {21, 0});
  fix.Run();
  const auto bucket = claim_bucket::Parse(store.value);
  EXPECT_EQ(bucket.value().Find({1, 0}), nullptr);
  EXPECT_NE(bucket.value().Find({2, 0}), nullptr) << "it names another attempt";
  EXPECT_TRUE(fix.writer.Idle());
}

// Guards against asking an agent about an attempt that this entry knows to be dead.
TEST(claim_writer_release_test, AReleasedClaimIsFreeAtOnce) {
  fake_store store;
  writer_fixture fix(store);
  fix.Claim(1, 10);
  fix.Run();
  fix.writer.Release({1, 0}, {10, 0});
  const auto ticket = fix.Claim(1, 11);
  fix.Run();
  EXPECT_EQ(fix.Outcome(ticket), claim_outcome::kOwned);
}

// Guards against calls without end for a tidy-up while the service is down.
TEST(claim_writer_release_test, GivesUpWhenTheServiceIsDown) {
  fake_store store;
  writer_fixture fix(store);
  fix.writer.Release({1, 0}, {10, 0});
  int calls = 0;
  for (; fix.now < time_point(seconds(30)); fix.now += milliseconds(10)) {
    if (auto action = fix.Next()) {
      ++calls;
      fix.writer.OnReply({action->operation, status::kUnknown, {}, 0}, fix.now);
    }
  }
  EXPECT_LE(calls, 10);
  EXPECT_TRUE(fix.writer.Idle());
}

// Guards against dropping a single claim of a time slice by this entry's retention, while another
// entry still accepts its key, and against keeping other claims for ever.
TEST(claim_writer_expiry_test, OnlyClaimsWithoutASliceExpireOneByOne) {
  for (const char* const name : {"claims/p1", "claims/t180000000-1"}) {
    fake_store store;
    claim_bucket bucket;
    claim old = MakeClaim(1, 10);
    old.expires = kWall - seconds(1);
    EXPECT_TRUE(bucket.Put(old));
    store.value = bucket.Serialise();
    store.index = 7;
    claim_writer writer(name, {});
    time_point now{};
    writer.Add({.value = MakeClaim(2, 20), .deadline = now + seconds(5)}, now);
    for (; now < time_point(seconds(1)); now += milliseconds(5)) {
      for (const store_action& action : writer.Poll(now, kWall))
        writer.OnReply(store.Apply(action), now);
    }
    const auto stored = claim_bucket::Parse(store.value);
    EXPECT_NE(stored.value().Find({2, 0}), nullptr);
    EXPECT_EQ(stored.value().Find(old.key) != nullptr, IsTimedBucket(name)) << name;
  }
}

// Guards against running a key again whose claim says only that it was used.
TEST(claim_writer_used_test, AReducedClaimIsNeitherFreeNorAbsent) {
  fake_store store;
  claim_bucket bucket;
  EXPECT_TRUE(bucket.Put(MakeClaim(1, 10)));
  EXPECT_EQ(bucket.Reduce(kWall), 1U);
  store.value = bucket.Serialise();
  store.index = 7;
  writer_fixture fix(store);
  const auto claimed = fix.Claim(1, 11);
  const auto moved = fix.Claim(1, 12, 10);
  claim_request look{.value = MakeClaim(1, 13), .look = true, .deadline = fix.now + seconds(5)};
  const auto looked = fix.writer.Add(look, fix.now);
  fix.Run();
  for (const auto ticket : {claimed, moved, looked})
    EXPECT_EQ(fix.Outcome(ticket), claim_outcome::kUsed);
  EXPECT_EQ(store.swaps, 0);
}

}  // namespace
}  // namespace quincebank
