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

// Guards against buckets of old time slices that pile up in the service, and against erasing the
// same bucket at every write.
TEST(claim_writer_erase_test, ErasesAnOldSliceOnceWhenItCreatesABucket) {
  fake_store store;
  const bucket_layout layout;
  const std::string name = BucketName(layout, {{0, 1}, kWall});
  claim_writer writer(name, {.layout = layout});
  std::vector<std::string> erased;
  time_point now{};
  for (std::uint64_t i = 0; i < 3; ++i) {
    writer.Add({.value = MakeClaim(i, 10 + i), .deadline = now + seconds(5)}, now);
    for (const time_point end = now + seconds(1); now < end; now += milliseconds(5)) {
      for (const store_action& action : writer.Poll(now, kWall)) {
        if (action.what == kind::kErase)
          erased.push_back(action.key);
        else
          writer.OnReply(store.Apply(action), now);
      }
    }
  }
  EXPECT_EQ(erased, std::vector<std::string>{*ErasableBucket(layout, name)});
}

}  // namespace
}  // namespace quincebank
