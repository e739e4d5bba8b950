#include "quincebank/idempotency/keyed_request.h"

#include <gtest/gtest.h>

#include <map>
#include <sstream>

#include "quincebank/idempotency/retention.h"

namespace quincebank {
namespace {

constexpr wall_time kWall{seconds(1'800'000'000)};
constexpr std::uint64_t kDigest = 77;

const std::map<std::string, copy_outcome> kCopies{
    {"answered", copy_outcome::kAnswered}, {"not_sent", copy_outcome::kNotSent},
    {"rejected", copy_outcome::kRejected}, {"restarted", copy_outcome::kWrongIncarnation},
    {"blocked", copy_outcome::kBlocked},   {"duplicate", copy_outcome::kDuplicate},
    {"failed", copy_outcome::kFailed},     {"gone", copy_outcome::kGone},
    {"lost", copy_outcome::kLost},         {"cut", copy_outcome::kLost}};

struct request_case {
  const char* name;  ///< The failure that the row guards against.
  request_kind kind;
  /// Words `action:reply`; the machine must ask for exactly these actions in this order.
  const char* script;
  verdict outcome;
  bool answered;
};

class request_player {
 public:
  explicit request_player(request_kind kind, bool first_send = false)
      : request_(request_spec{.kind = kind,
                              .key = {{1, 2}, kWall},
                              .request_digest = kDigest,
                              .first_send = first_send,
                              .deadline = time_point(seconds(60))},
                 random_source(5)) {
    action_ = request_.Start(now_, kWall);
  }

  void Play(const std::string& word) {
    const std::size_t colon = word.find(':');
    ASSERT_EQ(ToString(action_.kind), word.substr(0, colon)) << "before " << word;
    const request_action before = action_;
    action_ = Reply(before, word.substr(colon + 1));
    // A repeated reply must not move the request on.
    EXPECT_EQ(Reply(before, word.substr(colon + 1)).kind, action_kind::kNone);
  }

  [[nodiscard]] const request_action& action() const { return action_; }

 private:
  request_action Reply(const request_action& to, const std::string& reply) {
    switch (to.kind) {
      case action_kind::kChoose: {
        std::optional<attempt_target> target;
        if (reply == "ok")
          target = attempt_target{"a" + std::to_string(++targets_), incarnation{1}};
        return request_.OnTarget(to.step, target, "no capacity", now_, kWall);
      }
      case action_kind::kClaim:
      case action_kind::kLook:
        EXPECT_EQ(to.value.key, (claim_key{1, 2})) << "a look-up without its key finds nothing";
        return request_.OnClaim(to.step, Decision(to, reply), now_);
      case action_kind::kSend:
      case action_kind::kFetch: {
        const std::uint64_t bytes = reply == "cut" ? 10 : 0;
        return request_.OnCopy(to.step, {kCopies.at(reply), bytes, reply}, now_);
      }
      case action_kind::kAskState:
      case action_kind::kBlock:
        return request_.OnState(to.step, {ParseAttemptState(reply)}, now_);
      case action_kind::kAskRetry:
        return request_.OnPermission(to.step, reply == "yes", now_);
      case action_kind::kWait:
        now_ = reply == "late" ? time_point(seconds(61)) : to.wake;
        return request_.OnWake(to.step, now_);
      default:
        ADD_FAILURE() << "no reply is possible";
        return to;
    }
  }

  claim_decision Decision(const request_action& to, const std::string& reply) {
    claim_decision decision;
    decision.failure = MakeError(error_code::kUnavailable, "down");
    if (reply == "owned")
      decision.outcome = claim_outcome::kOwned;
    else if (reply == "absent")
      decision.outcome = claim_outcome::kAbsent;
    else if (reply != "not_run")
      decision.outcome = claim_outcome::kHeld;
    decision.holder = to.value;
    decision.holder.request_digest = reply == "other_request" ? kDigest + 1 : kDigest;
    decision.holder.attempt = reply == "own" ? to.attempt : attempt_id{9, ++targets_};
    decision.holder.target = {"b", incarnation{2}};
    return decision;
  }

  time_point now_{};
  std::uint64_t targets_ = 0;
  keyed_request request_;
  request_action action_;
};

class keyed_request_test : public testing::TestWithParam<request_case> {};

struct first_send_case {
  const char* name;
  const char* script;
};

class first_send_test : public testing::TestWithParam<first_send_case> {};

// Guards against leaving a caller in doubt about an order that it sent for the first time.
TEST_P(first_send_test, RefusalHasNotRun) {
  request_player player(request_kind::kKeyed, true);
  std::istringstream words(GetParam().script);
  for (std::string word; words >> word;)
    ASSERT_NO_FATAL_FAILURE(player.Play(word));
  ASSERT_EQ(player.action().kind, action_kind::kFinish);
  EXPECT_EQ(player.action().end.outcome, verdict::kNotRun);
}

INSTANTIATE_TEST_SUITE_P(Refusals,
                         first_send_test,
                         testing::Values(first_send_case{"no_upstream", "choose:none"},
                                         first_send_case{"no_store", "choose:ok claim:not_run"}),
                         [](const auto& info) { return info.param.name; });

TEST_P(keyed_request_test, AsksAndDecidesAsListed) {
  request_player player(GetParam().kind);
  std::istringstream words(GetParam().script);
  for (std::string word; words >> word;)
    ASSERT_NO_FATAL_FAILURE(player.Play(word));
  ASSERT_EQ(player.action().kind, action_kind::kFinish) << ToString(player.action().kind);
  EXPECT_EQ(player.action().end.outcome, GetParam().outcome);
  EXPECT_EQ(player.action().end.answered, GetParam().answered);
  if (!GetParam().answered) {
    EXPECT_EQ(player.action().end.failure.outcome, GetParam().outcome);
    EXPECT_NE(player.action().end.failure.message, "");
  }
}

constexpr auto kKeyed = request_kind::kKeyed;
constexpr auto kPlain = request_kind::kPlain;
constexpr auto kRepeatable = request_kind::kRepeatable;
constexpr auto kNotRun = verdict::kNotRun;
constexpr auto kRan = verdict::kRan;
constexpr auto kMayHaveRun = verdict::kMayHaveRun;

INSTANTIATE_TEST_SUITE_P(
    Keyed,
    keyed_request_test,
    testing::Values(
        request_case{"sends_before_claim", kKeyed, "choose:ok claim:owned send:answered", kRan,
                     true},
        request_case{"sends_without_claim", kKeyed, "choose:ok claim:not_run", kMayHaveRun, false},
        request_case{"no_upstream_hides_an_earlier_request", kKeyed,
                     "choose:none look:held ask_state:wrong_incarnation", kMayHaveRun, false},
        request_case{"no_upstream_and_no_store", kKeyed, "choose:none look:not_run", kMayHaveRun,
                     false},
        request_case{"no_upstream_but_the_answer_is_held", kKeyed,
                     "choose:none look:held ask_state:done fetch:answered", kRan, true},
        request_case{"no_upstream", kKeyed, "choose:none look:absent", kNotRun, false},
        request_case{"new_attempt_without_moving_claim", kKeyed,
                     "choose:ok claim:owned send:rejected ask_retry:yes choose:ok claim:owned "
                     "send:answered",
                     kRan, true},
        request_case{"retry_without_permission", kKeyed,
                     "choose:ok claim:owned send:rejected ask_retry:no", kNotRun, false},
        request_case{"restart_before_send", kKeyed,
                     "choose:ok claim:owned send:restarted ask_retry:no", kNotRun, false},
        request_case{"not_run_after_lost_copy", kKeyed,
                     "choose:ok claim:owned send:lost ask_state:wrong_incarnation", kMayHaveRun,
                     false},
        request_case{"restart_between_copies", kKeyed,
                     "choose:ok claim:owned send:lost ask_state:never_seen ask_retry:yes "
                     "send:restarted",
                     kMayHaveRun, false},
        request_case{"rejection_covers_one_copy_only", kKeyed,
                     "choose:ok claim:owned send:lost ask_state:never_seen ask_retry:yes "
                     "send:rejected wait:ok ask_state:never_seen block:blocked ask_retry:no",
                     kNotRun, false},
        request_case{"first_copy_arrives_before_block", kKeyed,
                     "choose:ok claim:owned send:lost ask_state:never_seen ask_retry:no "
                     "block:running fetch:answered",
                     kRan, true},
        request_case{"answer_cut_is_resumed", kKeyed,
                     "choose:ok claim:owned send:cut ask_state:running fetch:cut wait:ok "
                     "ask_state:done fetch:answered",
                     kRan, true},
        request_case{"answer_gone", kKeyed, "choose:ok claim:owned send:lost ask_state:answer_gone",
                     kRan, false},
        request_case{"gone_while_fetching", kKeyed,
                     "choose:ok claim:owned send:lost ask_state:done fetch:gone", kRan, false},
        request_case{"agent_unreachable", kKeyed,
                     "choose:ok claim:owned send:lost ask_state:none wait:ok ask_state:none "
                     "wait:ok ask_state:none wait:late",
                     kMayHaveRun, false},
        request_case{"forgotten_is_not_never_seen", kKeyed,
                     "choose:ok claim:owned send:lost ask_state:forgotten", kMayHaveRun, false},
        request_case{"upstream_failed", kKeyed, "choose:ok claim:owned send:failed", kMayHaveRun,
                     false}));

INSTANTIATE_TEST_SUITE_P(
    ClaimOfAnother,
    keyed_request_test,
    testing::Values(
        request_case{"runs_twice", kKeyed, "choose:ok claim:held ask_state:done fetch:answered",
                     kRan, true},
        request_case{"blocks_without_grace", kKeyed,
                     "choose:ok claim:held ask_state:never_seen wait:ok ask_state:running "
                     "fetch:answered",
                     kRan, true},
        request_case{"moves_without_block", kKeyed,
                     "choose:ok claim:held ask_state:never_seen wait:ok ask_state:never_seen "
                     "block:blocked choose:ok claim:owned send:answered",
                     kRan, true},
        request_case{"block_loses_race", kKeyed,
                     "choose:ok claim:held ask_state:never_seen wait:ok ask_state:never_seen "
                     "block:done fetch:answered",
                     kRan, true},
        request_case{"no_room_to_block", kKeyed,
                     "choose:ok claim:held ask_state:never_seen wait:ok ask_state:never_seen "
                     "block:never_seen wait:late",
                     kMayHaveRun, false},
        request_case{"move_loses_race", kKeyed,
                     "choose:ok claim:held ask_state:blocked choose:ok claim:held ask_state:done "
                     "fetch:answered",
                     kRan, true},
        request_case{"move_not_confirmed", kKeyed,
                     "choose:ok claim:held ask_state:blocked choose:ok claim:not_run", kMayHaveRun,
                     false},
        request_case{"moved_and_rejected", kKeyed,
                     "choose:ok claim:held ask_state:blocked choose:ok claim:owned send:rejected "
                     "ask_retry:no",
                     kNotRun, false},
        request_case{"agent_restarted", kKeyed, "choose:ok claim:held ask_state:wrong_incarnation",
                     kMayHaveRun, false},
        request_case{"key_reused_for_other_request", kKeyed, "choose:ok claim:other_request",
                     kNotRun, false},
        request_case{"our_claim_was_moved", kKeyed,
                     "choose:ok claim:owned send:blocked look:held ask_state:done fetch:answered",
                     kRan, true},
        request_case{"blocked_but_not_moved", kKeyed,
                     "choose:ok claim:owned send:blocked look:own ask_retry:yes choose:ok "
                     "claim:owned send:answered",
                     kRan, true},
        request_case{"blocked_by_a_call_that_may_still_run_it", kKeyed,
                     "choose:ok claim:owned send:blocked look:own ask_retry:no", kMayHaveRun,
                     false},
        request_case{"blocked_while_store_is_down", kKeyed,
                     "choose:ok claim:owned send:blocked look:not_run", kMayHaveRun, false},
        request_case{"lost_and_blocked_by_other", kKeyed,
                     "choose:ok claim:owned send:lost ask_state:blocked look:held "
                     "ask_state:running fetch:answered",
                     kRan, true}));

INSTANTIATE_TEST_SUITE_P(
    WithoutKey,
    keyed_request_test,
    testing::Values(
        request_case{"plain_answer", kPlain, "choose:ok send:answered", kRan, true},
        request_case{"plain_rejected_is_retried", kPlain,
                     "choose:ok send:rejected ask_retry:yes choose:ok send:answered", kRan, true},
        request_case{"plain_is_not_sent_again", kPlain,
                     "choose:ok send:lost ask_state:never_seen block:blocked", kNotRun, false},
        request_case{"plain_late_copy_ran", kPlain,
                     "choose:ok send:lost ask_state:never_seen block:done fetch:answered", kRan,
                     true},
        request_case{"plain_lost_with_agent", kPlain,
                     "choose:ok send:lost ask_state:wrong_incarnation", kMayHaveRun, false},
        request_case{"plain_cut_is_resumed", kPlain,
                     "choose:ok send:cut ask_state:running fetch:answered", kRan, true},
        request_case{"repeatable_is_retried", kRepeatable,
                     "choose:ok send:lost ask_retry:yes choose:ok send:answered", kRan, true},
        request_case{"repeatable_without_budget", kRepeatable,
                     "choose:ok send:lost ask_retry:no ask_state:wrong_incarnation ask_retry:no",
                     kMayHaveRun, false},
        request_case{"given_up_without_budget", kRepeatable,
                     "choose:ok send:lost ask_retry:no ask_state:running fetch:answered", kRan,
                     true},
        request_case{"given_up_without_another_upstream", kRepeatable,
                     "choose:ok send:lost ask_retry:yes choose:none ask_state:done fetch:answered",
                     kRan, true},
        request_case{"given_up_after_the_last_attempt", kRepeatable,
                     "choose:ok send:failed ask_retry:yes choose:ok send:rejected ask_retry:yes "
                     "choose:ok send:lost ask_state:running fetch:answered",
                     kRan, true},
        request_case{"given_up_by_an_agent_that_has_not_begun", kRepeatable,
                     "choose:ok send:lost ask_retry:no ask_state:never_seen ask_retry:no",
                     kMayHaveRun, false},
        request_case{"repeatable_mixes_no_answers", kRepeatable,
                     "choose:ok send:cut ask_state:wrong_incarnation", kMayHaveRun, false},
        request_case{"repeatable_forgotten_after_a_part", kRepeatable,
                     "choose:ok send:cut ask_state:never_seen", kRan, false},
        request_case{"repeatable_attempts_are_bounded", kRepeatable,
                     "choose:ok send:failed ask_retry:yes choose:ok send:rejected ask_retry:yes "
                     "choose:ok send:rejected",
                     kMayHaveRun, false},
        request_case{"repeatable_not_sent", kRepeatable,
                     "choose:ok send:not_sent ask_retry:yes choose:none", kNotRun, false}));

// Guards against running a key again after its claim was dropped.
TEST(keyed_request_age_test, RejectsAKeyOlderThanTheRetention) {
  keyed_request request({.kind = request_kind::kKeyed,
                         .key = {{1, 2}, kWall - kKeyRetention - seconds(1)},
                         .deadline = time_point(seconds(1))},
                        random_source(1));
  const request_action action = request.Start(time_point(), kWall);
  ASSERT_EQ(action.kind, action_kind::kFinish);
  EXPECT_EQ(action.end.outcome, verdict::kMayHaveRun);
  EXPECT_NE(action.end.failure.message.find("older than the claim retention"), std::string::npos);
}

// Guards against a claim that stays behind and makes the next retry ask a dead agent.
TEST(keyed_request_release_test, ReleasesOnlyAClaimThatProvablyNeverRuns) {
  for (const auto& [last, released] : std::map<std::string, bool>{
           {"send:rejected", true}, {"send:failed", false}, {"send:answered", false}}) {
    request_player player(request_kind::kKeyed);
    for (const std::string& word : {std::string("choose:ok"), std::string("claim:owned"), last})
      player.Play(word);
    if (player.action().kind == action_kind::kAskRetry)
      player.Play("ask_retry:no");
    ASSERT_EQ(player.action().kind, action_kind::kFinish);
    EXPECT_EQ(player.action().end.release.has_value(), released) << last;
  }
}

struct hedge_case {
  const char* name;
  request_kind kind;
  bool won;
  verdict second;
  copy_report report;  ///< Of the copy that the request goes on with.
  verdict outcome;
  bool fetches_second;  ///< The rest of the answer is asked of the second copy's agent.
};

class hedged_request_test : public testing::TestWithParam<hedge_case> {};

// Guards against a verdict that leaves one of two copies out, and against going on with the answer
// of the copy that lost.
TEST_P(hedged_request_test, VerdictCoversBothCopies) {
  const hedge_case& row = GetParam();
  keyed_request request({.kind = row.kind, .deadline = time_point(seconds(60)), .max_attempts = 1},
                        random_source(5));
  request_action action = request.Start(time_point(seconds(1)), kWall);
  action = request.OnTarget(action.step, attempt_target{"agent-1", {7}}, "", time_point(seconds(1)),
                            kWall);
  ASSERT_EQ(action.kind, action_kind::kSend);
  request.OnHedge(action.step, attempt_id{9, 9}, {"agent-2", {8}}, row.won, row.second);
  action = request.OnCopy(action.step, row.report, time_point(seconds(2)));
  if (action.kind == action_kind::kAskState) {
    EXPECT_EQ(action.target.agent, row.fetches_second ? "agent-2" : "agent-1");
    EXPECT_EQ(action.attempt == (attempt_id{9, 9}), row.fetches_second);
    action =
        request.OnState(action.step, {attempt_state::kWrongIncarnation}, time_point(seconds(3)));
  }
  ASSERT_EQ(action.kind, action_kind::kFinish);
  EXPECT_EQ(action.end.outcome, row.outcome);
}

INSTANTIATE_TEST_SUITE_P(Copies,
                         hedged_request_test,
                         testing::Values(hedge_case{"both_rejected",
                                                    kRepeatable,
                                                    false,
                                                    kNotRun,
                                                    {copy_outcome::kRejected, 0, ""},
                                                    kNotRun,
                                                    false},
                                         hedge_case{"second_may_have_run",
                                                    kRepeatable,
                                                    false,
                                                    kMayHaveRun,
                                                    {copy_outcome::kRejected, 0, ""},
                                                    kMayHaveRun,
                                                    false},
                                         hedge_case{"first_may_have_run",
                                                    kRepeatable,
                                                    false,
                                                    kNotRun,
                                                    {copy_outcome::kFailed, 0, ""},
                                                    kMayHaveRun,
                                                    false},
                                         hedge_case{"winner_is_cut",
                                                    kRepeatable,
                                                    true,
                                                    kMayHaveRun,
                                                    {copy_outcome::kLost, 5, ""},
                                                    kMayHaveRun,
                                                    true},
                                         hedge_case{"first_is_cut",
                                                    kRepeatable,
                                                    false,
                                                    kMayHaveRun,
                                                    {copy_outcome::kLost, 5, ""},
                                                    kMayHaveRun,
                                                    false},
                                         hedge_case{"answered",
                                                    kRepeatable,
                                                    true,
                                                    kRan,
                                                    {copy_outcome::kAnswered, 5, ""},
                                                    kRan,
                                                    false},
                                         hedge_case{"order_ignores_a_second_copy",
                                                    kPlain,
                                                    true,
                                                    kMayHaveRun,
                                                    {copy_outcome::kLost, 5, ""},
                                                    kMayHaveRun,
                                                    false}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace quincebank
