#include "claim_writer_fixture.h"

namespace quincebank {
namespace {

// Guards against one write per order: claims of one window share a read and a write.
TEST(claim_writer_test, BatchesPendingClaims) {
  fake_store store;
  writer_fixture fix(store);
  std::vector<std::uint64_t> tickets;
  for (std::uint64_t i = 0; i < 50; ++i)
    tickets.push_back(fix.Claim(i, 100 + i));
  fix.Run();
  for (const std::uint64_t ticket : tickets)
    EXPECT_EQ(fix.Outcome(ticket), claim_outcome::kOwned);
  EXPECT_EQ(store.reads, 1);
  EXPECT_EQ(store.swaps, 1);
}

// Guards against two owners of one key, in one batch and in two.
TEST(claim_writer_test, OneKeyHasOneOwner) {
  fake_store store;
  writer_fixture fix(store);
  const auto first = fix.Claim(1, 10);
  const auto second = fix.Claim(1, 11);
  fix.Run();
  EXPECT_EQ(fix.Outcome(first), claim_outcome::kOwned);
  EXPECT_EQ(fix.Outcome(second), claim_outcome::kHeld);
  EXPECT_EQ(fix.decisions[second].holder.attempt, (attempt_id{10, 0}));
  writer_fixture other(store);
  const auto third = other.Claim(1, 12);
  other.Run();
  EXPECT_EQ(other.Outcome(third), claim_outcome::kHeld);
}

/// What happens to the first swap of a writer.
enum class swap_fault { kAppliedReplyLost, kNeverApplied, kAppliedAfterRead, kAppliedAfterRetry };

struct swap_case {
  const char* name;
  swap_fault fault;
  bool late_reply;  ///< The reply to the first swap arrives at the end.
};

void PrintTo(const swap_case& row, std::ostream* stream) {
  *stream << row.name;
}

class lost_swap_test : public testing::TestWithParam<swap_case> {};

// Guards against a wrong owner after a write whose reply is lost, whenever it takes effect.
TEST_P(lost_swap_test, IsResolvedByReadingBack) {
  fake_store store;
  writer_fixture fix(store);
  const auto ticket = fix.Claim(1, 10);
  fix.now += milliseconds(20);
  fix.writer.OnReply(store.Apply(*fix.Next()), fix.now);
  const store_action swap = *fix.Next();
  ASSERT_EQ(swap.what, kind::kSwap);
  store_reply late{swap.operation, status::kUnknown, {}, 0};
  const auto fault = GetParam().fault;
  if (fault == swap_fault::kAppliedReplyLost)
    late = store.Apply(swap);
  fix.now += seconds(1);
  EXPECT_EQ(fix.Next(), std::nullopt) << "waits before it reads back";
  fix.now += milliseconds(50);
  const store_action read = *fix.Next();
  ASSERT_EQ(read.what, kind::kRead);
  fix.writer.OnReply(store.Apply(read), fix.now);
  if (fault == swap_fault::kAppliedAfterRead)
    late = store.Apply(swap);
  fix.Run();
  if (fault == swap_fault::kAppliedAfterRetry)
    late = store.Apply(swap);
  if (GetParam().late_reply)
    fix.writer.OnReply(late, fix.now);
  EXPECT_EQ(fix.Outcome(ticket), claim_outcome::kOwned);
  const auto bucket = claim_bucket::Parse(store.value);
  EXPECT_EQ(bucket.value().Find({1, 0})->attempt, (attempt_id{10, 0}));
  // The writer still knows the truth: another claim of the key is refused.
  const auto second = fix.Claim(1, 11);
  fix.Run();
  EXPECT_EQ(fix.Outcome(second), claim_outcome::kHeld);
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    lost_swap_test,
    testing::Values(swap_case{"reply_lost", swap_fault::kAppliedReplyLost, false},
                    swap_case{"reply_late", swap_fault::kAppliedReplyLost, true},
                    swap_case{"never_applied", swap_fault::kNeverApplied, true},
                    swap_case{"applied_after_read", swap_fault::kAppliedAfterRead, true},
                    swap_case{"applied_after_retry", swap_fault::kAppliedAfterRetry, true}));

// Guards against losing the claims of another entry that wrote in between.
TEST(claim_writer_conflict_test, MergesWithTheOtherWriter) {
  fake_store store;
  writer_fixture left(store);
  writer_fixture right(store);
  std::vector<std::uint64_t> tickets;
  for (std::uint64_t i = 0; i < 5; ++i) {
    const auto a = left.Claim(i, 100 + i);
    const auto b = right.Claim(50 + i, 200 + i);
    left.now += milliseconds(20);
    left.writer.OnReply(store.Apply(*left.Next()), left.now);
    right.Run();
    left.Run();
    EXPECT_EQ(left.Outcome(a), claim_outcome::kOwned);
    EXPECT_EQ(right.Outcome(b), claim_outcome::kOwned);
  }
  EXPECT_EQ(claim_bucket::Parse(store.value).value().size(), 10U);
}

// Guards against one conflict for each batch while two entries write the bucket in turn.
TEST(claim_writer_conflict_test, ReadsFirstWhileOthersWrite) {
  fake_store store;
  writer_fixture left(store);
  writer_fixture right(store);
  for (std::uint64_t i = 0; i < 8; ++i) {
    left.Claim(i, 100 + i);
    left.Run();
    right.Claim(50 + i, 200 + i);
    right.Run();
  }
  EXPECT_EQ(claim_bucket::Parse(store.value).value().size(), 16U);
  EXPECT_LE(store.conflicts, 2) << "at most one for each writer in eight swaps";
}

struct move_case {
  const char* name;
  std::uint64_t moved_from;
  claim_outcome outcome;
};

class move_test : public testing::TestWithParam<move_case> {};

// Guards against moving a claim away from an attempt that nobody has blocked.
TEST_P(move_test, NeedsTheExpectedAttempt) {
  fake_store store;
  writer_fixture fix(store);
  fix.Claim(1, 10);
  fix.Run();
  const auto ticket = fix.Claim(1, 11, GetParam().moved_from);
  fix.Run();
  EXPECT_EQ(fix.Outcome(ticket), GetParam().outcome) << GetParam().name;
}

INSTANTIATE_TEST_SUITE_P(Attempts,
                         move_test,
                         testing::Values(move_case{"expected", 10, claim_outcome::kOwned},
                                         move_case{"other", 9, claim_outcome::kHeld}));

// Guards against a false "not run" or a hang when the service is down.
TEST(claim_writer_down_test, RefusesAtTheDeadline) {
  fake_store store;
  writer_fixture fix(store);
  const auto ticket = fix.Claim(1, 10);
  int calls = 0;
  while (fix.now < time_point(seconds(6))) {
    if (auto action = fix.Next()) {
      ++calls;
      fix.writer.OnReply({action->operation, status::kUnknown, {}, 0}, fix.now);
    }
    fix.now += milliseconds(5);
  }
  EXPECT_EQ(fix.Outcome(ticket), claim_outcome::kNotRun);
  EXPECT_LE(calls, 12) << "retries back off";
}

// Guards against overwriting a value that the writer can't read.
TEST(claim_writer_damage_test, LeavesADamagedValueAlone) {
  fake_store store{.value = "garbage", .index = 4};
  writer_fixture fix(store);
  const auto ticket = fix.Claim(1, 10);
  fix.Run();
  EXPECT_EQ(fix.Outcome(ticket), claim_outcome::kNotRun);
  EXPECT_EQ(store.value, "garbage");
}

// Guards against dropping live claims, or an oversized value, when the bucket is full.
TEST(claim_writer_full_test, RefusesNewClaims) {
  fake_store store;
  writer_fixture fix(store, {.max_bytes = 150});
  std::map<claim_outcome, int> outcomes;
  std::vector<std::uint64_t> tickets;
  for (std::uint64_t i = 0; i < 10; ++i)
    tickets.push_back(fix.Claim(i, 100 + i));
  fix.Run();
  for (const auto ticket : tickets)
    ++outcomes[fix.Outcome(ticket)];
  EXPECT_EQ(outcomes[claim_outcome::kOwned], 2);
  EXPECT_EQ(outcomes[claim_outcome::kNotRun], 8);
  EXPECT_LE(store.value.size(), 150U);
}

// Guards against an old cached value being taken for the present one.
TEST(claim_writer_look_test, ReadsAfterTheQuestion) {
  fake_store store;
  writer_fixture fix(store);
  fix.Claim(1, 10);
  fix.Run();
  writer_fixture other(store);
  other.Claim(1, 11, 10);
  other.Run();
  claim_request look{.value = MakeClaim(1, 0), .look = true, .deadline = fix.now + seconds(5)};
  const auto ticket = fix.writer.Add(look, fix.now);
  fix.Run();
  EXPECT_EQ(fix.Outcome(ticket), claim_outcome::kHeld);
  EXPECT_EQ(fix.decisions[ticket].holder.attempt, (attempt_id{11, 0}));
}

// Guards against a swap with a guessed index where the service does not report it.
TEST(claim_writer_index_test, ReadsAgainIfTheIndexIsUnknown) {
  fake_store store{.returns_index = false};
  writer_fixture fix(store);
  for (std::uint64_t i = 0; i < 4; ++i) {
    const auto ticket = fix.Claim(i, 100 + i);
    fix.Run();
    EXPECT_EQ(fix.Outcome(ticket), claim_outcome::kOwned);
  }
  EXPECT_EQ(store.reads, 4);
  EXPECT_EQ(store.swaps, 4);
}

}  // namespace
}  // namespace quincebank
