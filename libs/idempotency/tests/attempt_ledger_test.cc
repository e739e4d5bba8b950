#include "quincebank/idempotency/attempt_ledger.h"

#include <gtest/gtest.h>

#include <functional>
#include <vector>

#include "quincebank/base/random.h"
#include "quincebank/idempotency/timed_attempt.h"

namespace quincebank {
namespace {

constexpr incarnation kSelf{11};
constexpr incarnation kOther{12};
constexpr wall_time kWall{seconds(1'800'000'000)};
constexpr time_point kStart{seconds(100)};

using std::chrono::hours;

class ledger_fixture {
 public:
  explicit ledger_fixture(ledger_limits limits = {}) : ledger(kSelf, limits, kStart, kWall) {}

  attempt_id NewId(seconds age = seconds(0)) {
    return NewTimedAttemptId(random_, kWall + (now - kStart) - age);
  }
  void Run(attempt_id id, const std::string& answer) {
    ASSERT_EQ(ledger.Begin(id, kSelf, now), begin_outcome::kStart);
    ledger.Append(id, answer);
    ledger.Complete(id, 200, now);
  }

  attempt_ledger ledger;
  time_point now = kStart;

 private:
  random_source random_{9};
};

struct ledger_case {
  const char* name;  ///< The failure that the row guards against.
  std::function<void(ledger_fixture&, attempt_id)> prepare;
  attempt_state state;
  begin_outcome begin;  ///< Of a late copy.
  attempt_state block;
};

void PrintTo(const ledger_case& row, std::ostream* stream) {
  *stream << row.name;
}

class attempt_ledger_test : public testing::TestWithParam<ledger_case> {};

TEST_P(attempt_ledger_test, KeepsItsWord) {
  ledger_fixture fix;
  const attempt_id id = fix.NewId();
  GetParam().prepare(fix, id);
  EXPECT_EQ(fix.ledger.Status(id, fix.now), GetParam().state);
  EXPECT_EQ(fix.ledger.Status(id, kOther, fix.now), attempt_state::kWrongIncarnation);
  EXPECT_EQ(fix.ledger.Begin(id, kOther, fix.now), begin_outcome::kWrongIncarnation);
  EXPECT_EQ(fix.ledger.Block(id, kOther, fix.now), attempt_state::kWrongIncarnation);
  EXPECT_EQ(fix.ledger.Begin(id, kSelf, fix.now), GetParam().begin);
  if (GetParam().begin == begin_outcome::kStart)
    return;
  EXPECT_EQ(fix.ledger.Block(id, kSelf, fix.now), GetParam().block);
  EXPECT_EQ(fix.ledger.Status(id, fix.now), GetParam().state) << "a late copy changed the state";
}

void Begin(ledger_fixture& fix, attempt_id id) {
  EXPECT_EQ(fix.ledger.Begin(id, kSelf, fix.now), begin_outcome::kStart);
}

INSTANTIATE_TEST_SUITE_P(
    States,
    attempt_ledger_test,
    testing::Values(
        ledger_case{"first_copy_refused", [](auto&, auto) {}, attempt_state::kNeverSeen,
                    begin_outcome::kStart, attempt_state::kBlocked},
        ledger_case{"second_copy_runs", Begin, attempt_state::kRunning,
                    begin_outcome::kAlreadyRunning, attempt_state::kRunning},
        ledger_case{"done_runs_again", [](auto& fix, auto id) { fix.Run(id, "answer"); },
                    attempt_state::kDone, begin_outcome::kDone, attempt_state::kDone},
        ledger_case{"evicted_answer_runs_again",
                    [](auto& fix, auto id) {
                      fix.Run(id, "answer");
                      fix.now += hours(2);
                      fix.ledger.Expire(fix.now);
                    },
                    attempt_state::kAnswerGone, begin_outcome::kDone, attempt_state::kAnswerGone},
        ledger_case{"blocked_runs",
                    [](auto& fix, auto id) {
                      EXPECT_EQ(fix.ledger.Block(id, kSelf, fix.now), attempt_state::kBlocked);
                    },
                    attempt_state::kBlocked, begin_outcome::kBlocked, attempt_state::kBlocked},
        ledger_case{"runs_after_not_run",
                    [](auto& fix, auto id) {
                      Begin(fix, id);
                      fix.ledger.Fail(id, verdict::kNotRun, fix.now);
                    },
                    attempt_state::kBlocked, begin_outcome::kBlocked, attempt_state::kBlocked},
        ledger_case{"failed_runs_again",
                    [](auto& fix, auto id) {
                      Begin(fix, id);
                      fix.ledger.Fail(id, verdict::kMayHaveRun, fix.now);
                    },
                    attempt_state::kMayHaveRun, begin_outcome::kMayHaveRun,
                    attempt_state::kMayHaveRun},
        ledger_case{"cut_answer_counts_as_whole",
                    [](auto& fix, auto id) {
                      Begin(fix, id);
                      fix.ledger.Append(id, "half");
                      fix.ledger.Fail(id, verdict::kRan, fix.now);
                    },
                    attempt_state::kAnswerGone, begin_outcome::kDone, attempt_state::kAnswerGone},
        ledger_case{"forgotten_is_never_seen",
                    [](auto& fix, auto id) {
                      fix.Run(id, "answer");
                      fix.now += kAttemptHorizon + seconds(1);
                      fix.ledger.Expire(fix.now);
                      EXPECT_EQ(fix.ledger.records(), 0U);
                    },
                    attempt_state::kForgotten, begin_outcome::kUntimely, attempt_state::kForgotten},
        ledger_case{"known_while_its_claim_lives",
                    [](auto& fix, auto id) {
                      fix.Run(id, "answer");
                      fix.now += kClaimRetention + kClockMargin;
                      fix.ledger.Expire(fix.now);
                    },
                    attempt_state::kAnswerGone, begin_outcome::kDone, attempt_state::kAnswerGone},
        ledger_case{"running_is_forgotten",
                    [](auto& fix, auto id) {
                      Begin(fix, id);
                      fix.now += kAttemptHorizon + seconds(1);
                      fix.ledger.Expire(fix.now);
                    },
                    attempt_state::kRunning, begin_outcome::kAlreadyRunning,
                    attempt_state::kRunning}));

// Guards against starting an attempt whose record was dropped, or one that carries no time.
TEST(attempt_ledger_time_test, RejectsUntimelyAttempts) {
  ledger_fixture fix;
  EXPECT_EQ(fix.ledger.Begin(fix.NewId(kAttemptHorizon + seconds(1)), kSelf, fix.now),
            begin_outcome::kUntimely);
  EXPECT_EQ(fix.ledger.Begin(fix.NewId(-kClockMargin - seconds(1)), kSelf, fix.now),
            begin_outcome::kUntimely);
  EXPECT_EQ(fix.ledger.Begin(attempt_id{1, 2}, kSelf, fix.now), begin_outcome::kUntimely);
  EXPECT_EQ(fix.ledger.records(), 0U);
}

// Guards against forgetting attempts to make room, and against a block that was not recorded.
TEST(attempt_ledger_full_test, RejectsNewAttemptsAndBlocks) {
  ledger_fixture fix(ledger_limits{.max_records = 2, .max_archived = 0});
  const attempt_id first = fix.NewId();
  fix.Run(first, "x");
  Begin(fix, fix.NewId());
  const attempt_id third = fix.NewId();
  EXPECT_EQ(fix.ledger.Begin(third, kSelf, fix.now), begin_outcome::kFull);
  EXPECT_EQ(fix.ledger.Block(third, kSelf, fix.now), attempt_state::kNeverSeen);
  EXPECT_EQ(fix.ledger.Status(first, fix.now), attempt_state::kDone);
}

// Guards against rejecting new attempts for the sake of old answers, and against forgetting one of
// the attempts that gave way.
TEST(attempt_ledger_full_test, ArchivesOldAttemptsToMakeRoom) {
  constexpr std::size_t kRecords = 20;
  ledger_fixture fix(ledger_limits{.max_records = kRecords, .max_archived = 100});
  std::vector<attempt_id> ids;
  for (std::size_t i = 0; i < kRecords + 100; ++i) {
    ids.push_back(fix.NewId());
    fix.Run(ids.back(), "answer");
    fix.now += milliseconds(10);
  }
  EXPECT_EQ(fix.ledger.Begin(fix.NewId(), kSelf, fix.now), begin_outcome::kFull);
  EXPECT_EQ(fix.ledger.records(), ids.size());
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const bool held = i >= 100;
    EXPECT_EQ(fix.ledger.Status(ids[i], fix.now),
              held ? attempt_state::kDone : attempt_state::kAnswerGone);
    EXPECT_EQ(fix.ledger.Begin(ids[i], kSelf, fix.now), begin_outcome::kDone);
    EXPECT_EQ(fix.ledger.Block(ids[i], kSelf, fix.now),
              held ? attempt_state::kDone : attempt_state::kAnswerGone);
  }
  fix.now += kAttemptHorizon + seconds(5);
  fix.ledger.Expire(fix.now);
  EXPECT_EQ(fix.ledger.records(), 0U);
  EXPECT_EQ(fix.ledger.Status(ids[0], fix.now), attempt_state::kForgotten);
}

struct horizon_case {
  const char* name;  ///< The failure that the row guards against.
  seconds first;     ///< Retention when the attempt runs.
  seconds wait;
  seconds second;  ///< Retention from then on.
  seconds more;
  attempt_state state;
};

void PrintTo(const horizon_case& row, std::ostream* stream) {
  *stream << row.name;
}

class ledger_horizon_test : public testing::TestWithParam<horizon_case> {};

TEST_P(ledger_horizon_test, NeverForgetsAnAttemptWhoseClaimMayLive) {
  ledger_fixture fix;
  fix.ledger.SetHorizon(AttemptHorizon(GetParam().first), fix.now);
  const attempt_id seen = fix.NewId();
  const attempt_id unseen = fix.NewId();
  fix.Run(seen, "answer");
  fix.now += GetParam().wait;
  fix.ledger.Expire(fix.now);
  fix.ledger.SetHorizon(AttemptHorizon(GetParam().second), fix.now);
  fix.now += GetParam().more;
  fix.ledger.Expire(fix.now);
  EXPECT_EQ(fix.ledger.Status(seen, fix.now), GetParam().state);
  // An attempt that may have been dropped must not look like one that was never seen.
  const bool forgotten = GetParam().state == attempt_state::kForgotten;
  EXPECT_EQ(fix.ledger.Status(unseen, fix.now),
            forgotten ? attempt_state::kForgotten : attempt_state::kNeverSeen);
  EXPECT_EQ(fix.ledger.Begin(unseen, kSelf, fix.now),
            forgotten ? begin_outcome::kUntimely : begin_outcome::kStart);
}

INSTANTIATE_TEST_SUITE_P(
    Horizons,
    ledger_horizon_test,
    testing::Values(horizon_case{"shortened_at_once", hours(24), hours(2), hours(1), hours(12),
                                 attempt_state::kAnswerGone},
                    horizon_case{"shortened_before_the_last_claim_is_gone", hours(24), seconds(0),
                                 hours(1), hours(24), attempt_state::kAnswerGone},
                    horizon_case{"never_shortened", hours(24), hours(2), hours(1), hours(25),
                                 attempt_state::kForgotten},
                    horizon_case{"not_lengthened", hours(1), hours(1), hours(24), hours(20),
                                 attempt_state::kAnswerGone},
                    horizon_case{"lengthened_after_it_was_dropped", hours(1), hours(2), hours(24),
                                 hours(1), attempt_state::kForgotten}));

// Guards against a shortened horizon that is put off again by each new configuration, and against
// one that survives a change back.
TEST(ledger_horizon_change_test, AShorterHorizonHoldsOnceAndIsTakenBack) {
  ledger_fixture fix;
  fix.Run(fix.NewId(), "answer");
  for (int i = 0; i < 30; ++i) {
    fix.ledger.SetHorizon(AttemptHorizon(hours(1)), fix.now);
    fix.now += hours(1);
  }
  fix.ledger.Expire(fix.now);
  EXPECT_EQ(fix.ledger.horizon(), AttemptHorizon(hours(1)));
  fix.Run(fix.NewId(), "answer");
  fix.ledger.SetHorizon(AttemptHorizon(hours(24)), fix.now);
  fix.ledger.SetHorizon(AttemptHorizon(hours(1)), fix.now);
  fix.ledger.SetHorizon(AttemptHorizon(hours(24)), fix.now);
  fix.now += hours(25);
  fix.ledger.Expire(fix.now);
  EXPECT_EQ(fix.ledger.horizon(), AttemptHorizon(hours(24)));
}

// Guards against a block that is lost when its record is archived.
TEST(attempt_ledger_full_test, AnArchivedBlockStillBlocks) {
  ledger_fixture fix(ledger_limits{.max_records = 4, .max_archived = 100});
  std::vector<attempt_id> ids;
  for (std::size_t i = 0; i < 50; ++i) {
    ids.push_back(fix.NewId());
    EXPECT_EQ(fix.ledger.Block(ids.back(), kSelf, fix.now), attempt_state::kBlocked);
  }
  for (const attempt_id id : ids)
    EXPECT_EQ(fix.ledger.Begin(id, kSelf, fix.now), begin_outcome::kBlocked);
}

// Guards against repeatable requests filling the memory that orders need.
TEST(attempt_ledger_repeatable_test, IsForgottenSoonAfterItsEnd) {
  ledger_fixture fix(ledger_limits{.max_records = 100});
  for (std::size_t i = 0; i < 1000; ++i) {
    const attempt_id id = fix.NewId();
    ASSERT_EQ(fix.ledger.Begin(id, kSelf, fix.now, true), begin_outcome::kStart);
    EXPECT_EQ(fix.ledger.Begin(id, kSelf, fix.now, true), begin_outcome::kAlreadyRunning);
    fix.ledger.Append(id, "answer");
    if (i % 2 == 0)
      fix.ledger.Complete(id, 200, fix.now);
    else
      fix.ledger.Fail(id, verdict::kMayHaveRun, fix.now);
    EXPECT_EQ(fix.ledger.Status(id, fix.now),
              i % 2 == 0 ? attempt_state::kDone : attempt_state::kMayHaveRun);
    fix.now += seconds(1);
  }
  EXPECT_LE(fix.ledger.records(), 61U);
  fix.ledger.Expire(fix.now + seconds(60));
  EXPECT_EQ(fix.ledger.records(), 0U);
  EXPECT_EQ(fix.ledger.held_bytes(), 0U);
}

// Guards against unbounded memory; the newest answers are kept.
TEST(attempt_ledger_bytes_test, EvictsTheOldestAnswersFirst) {
  ledger_fixture fix(ledger_limits{.max_answer_bytes = 60, .max_total_bytes = 100});
  const attempt_id first = fix.NewId();
  const attempt_id second = fix.NewId();
  fix.Run(first, std::string(50, 'a'));
  fix.Run(second, std::string(50, 'b'));
  const attempt_id third = fix.NewId();
  fix.Run(third, std::string(20, 'c'));
  EXPECT_EQ(fix.ledger.Status(first, fix.now), attempt_state::kAnswerGone);
  EXPECT_EQ(fix.ledger.Status(second, fix.now), attempt_state::kDone);
  EXPECT_EQ(fix.ledger.held_bytes(), 70U);
}

// Guards against passing the held head of an oversized answer off as the whole.
TEST(attempt_ledger_bytes_test, AnOversizedAnswerIsGone) {
  ledger_fixture fix(ledger_limits{.max_answer_bytes = 60, .max_total_bytes = 100});
  const attempt_id id = fix.NewId();
  Begin(fix, id);
  EXPECT_TRUE(fix.ledger.Append(id, std::string(40, 'a')));
  EXPECT_FALSE(fix.ledger.Append(id, std::string(40, 'b')));
  EXPECT_FALSE(fix.ledger.Append(id, "c"));
  EXPECT_FALSE(fix.ledger.Read(id, 0, fix.now).available);
  fix.ledger.Complete(id, 200, fix.now);
  EXPECT_EQ(fix.ledger.Status(id, fix.now), attempt_state::kAnswerGone);
  EXPECT_EQ(fix.ledger.held_bytes(), 0U);
}

// Guards against repeating or skipping bytes when a stream is resumed.
TEST(attempt_ledger_read_test, ResumesAtTheOffset) {
  ledger_fixture fix;
  const attempt_id id = fix.NewId();
  Begin(fix, id);
  fix.ledger.SetHead(id, 200, "type: text");
  fix.ledger.Append(id, "hello ");
  answer_part part = fix.ledger.Read(id, 2, fix.now);
  EXPECT_EQ(part.bytes, "llo ");
  EXPECT_FALSE(part.complete);
  EXPECT_EQ(part.headers, "type: text");
  fix.ledger.Append(id, "world");
  fix.ledger.Complete(id, 201, fix.now);
  part = fix.ledger.Read(id, 6, fix.now);
  EXPECT_EQ(part.bytes, "world");
  EXPECT_TRUE(part.complete);
  EXPECT_EQ(part.status, 201);
  EXPECT_FALSE(fix.ledger.Read(id, 12, fix.now).available);
}

}  // namespace
}  // namespace quincebank
