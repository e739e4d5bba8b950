#include "quincebank/rank_agent/rank_agent.h"

#include <gtest/gtest.h>

#include "quincebank/expert_control/rank_messages.h"

namespace quincebank {
namespace {

/// Engine with a fixed state, which records the upstreams that were requested.
class fake_engine final : public engine_port {
 public:
  explicit fake_engine(std::vector<std::string>& requested) : requested_(requested) {}

  std::vector<result<rank_report>> Reports(std::span<const upstream_record* const> ranks) override {
    requested_.push_back(ranks.front()->id + " at " + ToString(ranks.front()->address));
    rank_report report;
    report.group = "g";
    report.orders = 7;
    return {report};
  }
  std::vector<result<pick_counts>> Counts(std::span<const upstream_record* const>) override {
    return {MakeError(error_code::kUnavailable, "the engine does not answer")};
  }
  std::vector<result<held_experts>> Held(std::span<const upstream_record* const>) override {
    return {held_experts{}};
  }
  std::vector<order_answer> Send(std::span<const rank_order>, milliseconds) override { return {}; }

 private:
  std::vector<std::string>& requested_;
};

class rank_agent_test : public testing::Test {
 protected:
  void SetUp() override {
    settings_.name = "agent";
    settings_.engine = {"127.0.0.1", 9};
    settings_.address = {"127.0.0.1", 0};
    agent_ = std::make_unique<rank_agent>(settings_);
    ASSERT_TRUE(agent_->Start(std::make_unique<fake_engine>(requested_)));
  }

  result<boost::json::value> Call(const std::string& method, const boost::json::object& params) {
    result<boost::json::value> answer = MakeError(error_code::kInternal, "not called");
    client_.RunAndWait([&] {
      http_client http(client_);
      rpc_client rpc(http);
      answer = rpc.Call(agent_->address(), method, params, milliseconds(500));
    });
    return answer;
  }

  fiber_thread client_{"client"};
  rank_agent_settings settings_;
  std::vector<std::string> requested_;
  std::unique_ptr<rank_agent> agent_;
};

// Guards against a report of an engine other than the one that the coordinator requests.
TEST_F(rank_agent_test, ReportsTheEngineOnItsHost) {
  const auto answer = Call("rank.report", {{"upstream", "i-1"}});
  ASSERT_TRUE(answer) << answer.error().message;
  const auto report = RankReportFromJson(answer.value());
  ASSERT_TRUE(report);
  EXPECT_EQ(report.value().orders, 7U);
  EXPECT_EQ(requested_, std::vector<std::string>{"i-1 at 127.0.0.1:9"});
}

// Guards against an engine failure that is reported as empty counts.
TEST_F(rank_agent_test, ForwardsErrors) {
  EXPECT_FALSE(Call("rank.counts", {{"upstream", "i-1"}}));
  EXPECT_FALSE(Call("rank.report", {}));
  EXPECT_FALSE(Call("rank.order", {{"upstream", "i-1"}}));
}

struct settings_case {
  const char* name;
  const char* text;
  bool valid;
};

class rank_agent_settings_test : public testing::TestWithParam<settings_case> {};

TEST_P(rank_agent_settings_test, AreValidated) {
  EXPECT_EQ(ParseRankAgentSettings(GetParam().text).has_value(), GetParam().valid);
}

INSTANTIATE_TEST_SUITE_P(
    files,
    rank_agent_settings_test,
    testing::Values(
        settings_case{"whole", R"({"name":"a","address":"10.0.0.1:1","engine":"10.0.0.1:2"})",
                      true},
        settings_case{"no_engine", R"({"name":"a","address":"10.0.0.1:1"})", false},
        settings_case{"host_name", R"({"name":"a","address":"host:1","engine":"10.0.0.1:2"})",
                      false},
        settings_case{"unknown_key",
                      R"({"name":"a","address":"10.0.0.1:1","engine":"10.0.0.1:2","x":1})", false}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace quincebank
