#include "quincebank/expert_group/messages_json.h"

#include <gtest/gtest.h>

#include <boost/json/serialize.hpp>

#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

constexpr change_id kChange{7, {0x1234567890abcdefULL}};

/// What the other process reads.
boost::json::value Transport(const boost::json::object& object) {
  return ParseJson(boost::json::serialize(object)).value();
}

TEST(expert_messages_test, SurviveTransport) {
  const prepare_message prepare{kChange, DigestOfMap("{}")};
  boost::json::object params = ToJson(prepare);
  params["group"] = "g";
  EXPECT_EQ(PrepareFromJson(Transport(params).get_object()).value(), prepare);
  const promise_request promise{kChange, 99};
  EXPECT_EQ(PromiseFromJson(Transport(ToJson(promise)).get_object()).value(), promise);
  const withdraw_message withdraw{kChange};
  EXPECT_EQ(WithdrawFromJson(Transport(ToJson(withdraw)).get_object()).value(), withdraw);
  const decision_message decision{{7, switch_verdict::kCommit, 99, DigestOfMap("{}"), {}}};
  EXPECT_EQ(DecisionFromJson(Transport(ToJson(decision)).get_object()).value(), decision);
  const token_counts counts{12, 99, {{1, 2}, {3, 4}}};
  EXPECT_EQ(TokenCountsFromJson(Transport(ToJson(counts))).value(), counts);
  const token_counts untimed{12, std::nullopt, {{1, 2}}};
  EXPECT_EQ(TokenCountsFromJson(Transport(ToJson(untimed))).value(), untimed);
  const counts_request request{{0xabcULL, 0xdefULL, 3, 4}, 300};
  EXPECT_EQ(CountsRequestFromJson(Transport(ToJson(request)).get_object()).value(), request);
  for (const rank_answer_kind kind : {rank_answer_kind::kNone, rank_answer_kind::kPrepared,
                                      rank_answer_kind::kPromised, rank_answer_kind::kRefused}) {
    const rank_answer answer{kind, kChange, 5};
    EXPECT_EQ(RankAnswerFromJson(Transport(ToJson(answer))).value(), answer);
  }
}

TEST(expert_messages_test, ReadsTheViewOfAnEngine) {
  const auto view = EngineViewFromJson(
      R"({"boot": 3, "next_step": 10, "map": 1, "pending": 2, "epochs": [
          {"epoch": 2, "staged": true}, {"epoch": 3, "staged": false, "hold": 12}], "more": 1})");
  ASSERT_TRUE(view.has_value());
  EXPECT_EQ(view.value().next_step, 10U);
  ASSERT_EQ(view.value().epochs.size(), 2U);
  EXPECT_FALSE(view.value().epochs[0].hold.has_value());
  EXPECT_EQ(view.value().epochs[1].hold, step_number{12});
}

TEST(expert_messages_test, ReadsTheConditionOfARank) {
  const auto condition =
      RankConditionFromJson(ParseJson(
                                R"({"phase": "settling", "decided": 4, "engine_lost": true,
          "engine": {"boot": 3, "next_step": 10, "map": 1, "pending": 2}})")
                                .value());
  ASSERT_TRUE(condition.has_value());
  EXPECT_TRUE(condition->engine_lost);
  EXPECT_EQ(condition->decided, 4U);
  EXPECT_EQ(condition->boot, 3U);
  EXPECT_EQ(condition->map, 1U);
  EXPECT_EQ(condition->pending, 2U);
  EXPECT_FALSE(RankConditionFromJson(ParseJson(R"({"decided": 4})").value()).has_value());
}

struct bad_params {
  const char* name;
  const char* text;
  const char* path;
};

class expert_params_test : public testing::TestWithParam<bad_params> {};

// Guards against acting on a message of which a part is missing or misspelt.
TEST_P(expert_params_test, AreRejectedWithTheirPath) {
  const auto read = PromiseFromJson(ParseJson(GetParam().text).value().get_object());
  ASSERT_FALSE(read.has_value());
  EXPECT_EQ(read.error().path, GetParam().path);
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    expert_params_test,
    testing::Values(
        bad_params{"no_change", R"({"step": 1})", "/change"},
        bad_params{"no_step", R"({"change": {"epoch": 1, "coordinator": "00000000000000ff"}})",
                   "/step"},
        bad_params{"bad_coordinator", R"({"change": {"epoch": 1, "coordinator": "ff"}, "step": 1})",
                   "/change/coordinator"},
        bad_params{"negative_epoch",
                   R"({"change": {"epoch": -1, "coordinator": "00000000000000ff"}, "step": 1})",
                   "/change/epoch"},
        bad_params{"unknown_key",
                   R"({"change": {"epoch": 1, "coordinator": "00000000000000ff"}, "step": 1,
                       "margin": 2})",
                   "/margin"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace quincebank
