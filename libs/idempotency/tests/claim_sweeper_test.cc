#include "quincebank/idempotency/claim_sweeper.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "quincebank/base/random.h"
#include "quincebank/idempotency/timed_attempt.h"

namespace quincebank {
namespace {

using std::chrono::hours;
using status = store_reply::status;
using kind = store_action::kind;

constexpr bucket_layout kLayout{.timed_buckets = 2, .slice = seconds(600)};
constexpr sweep_options kOptions{.layout = kLayout, .max_slices = 4};

/// Key-value service; single calls can be lost before or after they take effect.
class sweep_store {
 public:
  store_reply Apply(const store_action& action) {
    ++calls;
    store_reply reply{action.operation, status::kOk, {}, 0};
    if (action.what == kind::kErase) {
      ++writes;
      items.erase(action.key);
      return reply;
    }
    if (action.what == kind::kRead) {
      const auto found = items.find(action.key);
      if (found != items.end()) {
        reply.value = found->second.first;
        reply.index = found->second.second;
      }
      return reply;
    }
    ++writes;
    const auto found = items.find(action.key);
    if ((found == items.end() ? 0 : found->second.second) != action.index) {
      reply.what = status::kConflict;
      return reply;
    }
    items[action.key] = {action.value, ++index};
    return reply;
  }
  claim_floor Floor() {
    return claim_floor::Parse(items[std::string(kClaimFloorKey)].first).value();
  }
  claim_bucket Bucket(std::uint64_t slice, std::uint32_t number) {
    return claim_bucket::Parse(items[TimedBucketName(slice, number)].first).value();
  }
  void Put(std::uint64_t slice, std::uint32_t number, wall_time made) {
    random_source random(slice * 2 + number);
    claim_bucket bucket;
    const claim value{{random.Next(), number},
                      1,
                      NewTimedAttemptId(random, made),
                      {"a:1", incarnation{1}},
                      made + hours(24)};
    EXPECT_TRUE(bucket.Put(value));
    items[TimedBucketName(slice, number)] = {bucket.Serialise(), ++index};
  }

  std::map<std::string, std::pair<std::string, std::uint64_t>> items;
  std::uint64_t index = 0;
  int calls = 0;
  int writes = 0;
};

void Pass(claim_sweeper& sweeper, sweep_store& store, wall_time now, seconds retention) {
  sweeper.Begin(now, retention);
  while (const auto call = sweeper.Next())
    sweeper.OnReply(store.Apply(*call));
  EXPECT_TRUE(sweeper.finished());
}

constexpr wall_time kStart{seconds(1'800'000'000)};

/// A service with one claim in each bucket of the slices of the last `age`, and a floor.
sweep_store Filled(hours age) {
  sweep_store store;
  claim_sweeper sweeper(kOptions);
  Pass(sweeper, store, kStart, age);
  for (std::uint64_t slice = store.Floor().slice; slice <= SliceOf(kLayout, kStart); ++slice) {
    for (std::uint32_t number = 0; number < kLayout.timed_buckets; ++number)
      store.Put(slice, number, wall_time(slice * kLayout.slice));
  }
  return store;
}

// Guards against erasing claims of a young key, against work without bound in one pass, and against
// buckets that stay behind after the retention was shortened.
TEST(claim_sweeper_test, CatchesUpAfterAShorterRetention) {
  sweep_store store = Filled(hours(6));
  claim_sweeper sweeper(kOptions);
  const std::uint64_t floor = SliceOf(kLayout, kStart - ClaimLifetime(hours(1)));
  for (int i = 0; i < 20; ++i) {
    store.calls = 0;
    Pass(sweeper, store, kStart, hours(1));
    EXPECT_LE(store.calls, 2 + 4 * 2 * 3);
  }
  EXPECT_EQ(store.Floor().slice, floor);
  EXPECT_EQ(store.Floor().erased, floor);
  EXPECT_EQ(store.items.size(), 1 + 2 * (SliceOf(kLayout, kStart) - floor + 1));
  store.calls = 0;
  Pass(sweeper, store, kStart, hours(1));
  EXPECT_EQ(store.calls, 1) << "nothing is left to do";
}

// Guards against a lengthened retention that lowers the floor below erased claims.
TEST(claim_sweeper_test, TheFloorNeverFalls) {
  sweep_store store = Filled(hours(1));
  claim_sweeper sweeper(kOptions);
  const claim_floor before = store.Floor();
  Pass(sweeper, store, kStart, hours(100));
  EXPECT_EQ(store.Floor().slice, before.slice);
  Pass(sweeper, store, kStart - hours(3), hours(1));
  EXPECT_EQ(store.Floor().slice, before.slice) << "a clock that is behind";
}

// Guards against erasing below a floor that no other entry can read yet.
TEST(claim_sweeper_test, ErasesOnlyBelowAFloorThatIsStored) {
  sweep_store store = Filled(hours(6));
  claim_sweeper sweeper(kOptions);
  const claim_floor before = store.Floor();
  for (int pass = 0; pass < 3; ++pass) {
    sweeper.Begin(kStart, hours(1));
    while (const auto call = sweeper.Next()) {
      EXPECT_NE(call->what, kind::kErase);
      const bool floor_write = call->key == kClaimFloorKey && call->what == kind::kSwap;
      sweeper.OnReply(floor_write ? store_reply{call->operation, status::kConflict, {}, 0}
                                  : store.Apply(*call));
    }
  }
  EXPECT_EQ(store.Floor(), before);
}

// Guards against claims reduced while their answers are held, and against reducing without end.
TEST(claim_sweeper_test, ReducesOldClaimsOnce) {
  sweep_store store = Filled(hours(6));
  claim_sweeper sweeper(kOptions);
  const std::uint64_t late = SliceOf(kLayout, kStart - hours(4));
  store.Put(late, 0, kStart);  // A key that was used hours after it was issued.
  for (int i = 0; i < 20; ++i)
    Pass(sweeper, store, kStart, hours(6));
  const std::uint64_t limit = SliceOf(kLayout, kStart - kReduceAge);
  for (std::uint64_t slice = store.Floor().slice; slice <= SliceOf(kLayout, kStart); ++slice) {
    const bool old = slice < limit;
    EXPECT_EQ(store.Bucket(slice, 1).reduced(), old ? 1U : 0U);
    EXPECT_EQ(store.Bucket(slice, 1).size(), old ? 0U : 1U);
  }
  EXPECT_EQ(store.Bucket(late, 0).size(), 1U);
  EXPECT_EQ(store.Bucket(late, 0).reduced(), 0U);
  store.writes = 0;
  Pass(sweeper, store, kStart, hours(6));
  EXPECT_EQ(store.writes, 0);
}

// Guards against losing a claim that was written between the read and the swap of its bucket.
TEST(claim_sweeper_test, AReductionLosesAgainstAClaim) {
  sweep_store store = Filled(hours(6));
  claim_sweeper sweeper(kOptions);
  claim added;
  std::string bucket_key;
  sweeper.Begin(kStart, hours(6));
  while (const auto call = sweeper.Next()) {
    const bool first = added.attempt == attempt_id{} && call->what == kind::kSwap;
    if (first && call->key != kClaimFloorKey) {
      bucket_key = call->key;
      random_source random(77);
      added = {{random.Next(), 0}, 1, NewTimedAttemptId(random, kStart), {"a:1", {1}}, kStart};
      auto bucket = claim_bucket::Parse(store.items[bucket_key].first).value();
      EXPECT_TRUE(bucket.Put(added));
      store.items[bucket_key] = {bucket.Serialise(), ++store.index};
    }
    sweeper.OnReply(store.Apply(*call));
  }
  ASSERT_FALSE(bucket_key.empty());
  const auto find = [&] { return claim_bucket::Parse(store.items[bucket_key].first).value(); };
  EXPECT_EQ(find().size(), 2U) << "nothing was reduced, and nothing was lost";
  for (int i = 0; i < 20; ++i)
    Pass(sweeper, store, kStart, hours(6));
  EXPECT_EQ(find().size(), 1U);
  EXPECT_NE(find().Find(added.key), nullptr);
  EXPECT_EQ(find().reduced(), 1U);
}

class sweep_fault_test : public testing::TestWithParam<int> {};

// Guards against a lost call, a lost answer or a second sweeper that leaves a claim of a young key
// erased, a used key unmarked, or work undone for ever. Call n of each pass is lost, its answer is
// lost, or another entry runs a whole pass before it.
TEST_P(sweep_fault_test, EndsInTheSameState) {
  for (int fault = 0; fault < 3; ++fault) {
    sweep_store store = Filled(hours(6));
    claim_sweeper sweeper(kOptions);
    claim_sweeper other(kOptions);
    for (int pass = 0; pass < 60; ++pass) {
      sweeper.Begin(kStart, hours(3));
      for (int n = 0; const auto call = sweeper.Next(); ++n) {
        const bool hit = n == GetParam() && pass < 20;
        if (hit && fault == 2)
          Pass(other, store, kStart, hours(pass % 2 == 0 ? 2 : 5));
        if (!hit || fault != 0) {
          const store_reply reply = store.Apply(*call);
          if (!hit || fault == 2) {
            sweeper.OnReply(reply);
            continue;
          }
        }
        sweeper.OnReply({call->operation, status::kUnknown, {}, 0});
      }
    }
    const seconds shortest = fault == 2 ? hours(2) : hours(3);
    const std::uint64_t floor = SliceOf(kLayout, kStart - ClaimLifetime(shortest));
    EXPECT_LE(store.Floor().slice, floor);
    EXPECT_EQ(store.Floor().erased, store.Floor().slice);
    for (std::uint64_t slice = store.Floor().slice; slice <= SliceOf(kLayout, kStart); ++slice) {
      const claim_bucket bucket = store.Bucket(slice, 0);
      EXPECT_EQ(bucket.size() + bucket.reduced(), 1U) << "slice " << slice << ", fault " << fault;
      EXPECT_EQ(bucket.reduced(), slice < SliceOf(kLayout, kStart - kReduceAge) ? 1U : 0U);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Calls, sweep_fault_test, testing::Range(0, 20));

struct floor_case {
  const char* name;
  seconds age;
  claim_outcome decided;
  status reply;
  const char* value;  ///< Of the floor; the slice of a key that is 2 h old is 2999988.
  bool asks;
  claim_outcome outcome;
};

void PrintTo(const floor_case& row, std::ostream* stream) {
  *stream << row.name;
}

class claim_floor_test : public testing::TestWithParam<floor_case> {};

// Guards against taking an old key for a fresh one after its claim was erased.
TEST_P(claim_floor_test, ConfirmsOldKeys) {
  const request_key key{{1, 2}, kStart - GetParam().age};
  claim_decision decision;
  decision.ticket = 9;
  decision.outcome = GetParam().decided;
  EXPECT_EQ(NeedsFloor(key, decision, kStart), GetParam().asks);
  EXPECT_FALSE(NeedsFloor({{1, 2}, std::nullopt}, decision, kStart));
  if (!GetParam().asks)
    return;
  const auto checked =
      ApplyFloor(kLayout, key, decision, {1, GetParam().reply, GetParam().value, 5});
  EXPECT_EQ(checked.outcome, GetParam().outcome);
  EXPECT_EQ(checked.ticket, 9U);
}

INSTANTIATE_TEST_SUITE_P(
    Decisions,
    claim_floor_test,
    testing::Values(
        floor_case{"young", hours(1), claim_outcome::kOwned, status::kOk, "", false, {}},
        floor_case{"held", hours(2), claim_outcome::kHeld, status::kOk, "", false, {}},
        floor_case{"no_floor", hours(2), claim_outcome::kOwned, status::kOk, "", true,
                   claim_outcome::kOwned},
        floor_case{"at_the_floor", hours(2), claim_outcome::kOwned, status::kOk, "QF1 2999988 0 0",
                   true, claim_outcome::kOwned},
        floor_case{"below", hours(2), claim_outcome::kOwned, status::kOk, "QF1 2999989 0 0", true,
                   claim_outcome::kUsed},
        floor_case{"absent_below", hours(2), claim_outcome::kAbsent, status::kOk, "QF1 2999989 0 0",
                   true, claim_outcome::kUsed},
        floor_case{"unknown", hours(2), claim_outcome::kOwned, status::kUnknown, "", true,
                   claim_outcome::kNotRun},
        floor_case{"malformed", hours(2), claim_outcome::kOwned, status::kOk, "QF1 1 2", true,
                   claim_outcome::kNotRun}));

}  // namespace
}  // namespace quincebank
