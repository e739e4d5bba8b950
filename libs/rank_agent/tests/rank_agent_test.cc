#include "quincebank/rank_agent/rank_agent.h"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <thread>

#include "quincebank/base/clock.h"
#include "quincebank/expert_control/rank_messages.h"

namespace quincebank {
namespace {

/// Engine with a fixed state, which records the upstreams that were requested.
class fake_engine final : public engine_port {
 public:
  fake_engine(std::vector<std::string>& requested, const std::atomic<bool>& hangs)
      : requested_(requested), hangs_(hangs) {}

  std::vector<result<rank_report>> Reports(std::span<const upstream_record* const> ranks) override {
    requested_.push_back(ranks.front()->id + " at " + ToString(ranks.front()->address));
    if (hangs_)
      return {MakeError(error_code::kTimeout, "the engine does not answer")};
    rank_report report;
    report.incarnation = 7;
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
  const std::atomic<bool>& hangs_;
};

class rank_agent_test : public testing::Test {
 protected:
  void SetUp() override {
    settings_.name = "agent";
    settings_.engine = {"127.0.0.1", 9};
    settings_.address = {"127.0.0.1", 0};
    agent_ = std::make_unique<rank_agent>(settings_);
    ASSERT_TRUE(agent_->Start(std::make_unique<fake_engine>(requested_, hangs_)));
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
  std::atomic<bool> hangs_{false};
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

class rank_agent_observation_test : public rank_agent_test {
 protected:
  static constexpr milliseconds kTestTimeout{3'000};

  void SetUp() override {
    rank_agent_test::SetUp();
    for (auto& entry : entries_)
      entry = datagram_socket::Bind(client_, {"127.0.0.1", 0}).value();
  }
  void TearDown() override {
    for (auto& entry : entries_)
      entry->Close();
  }

  void Send(std::size_t entry, const std::string& payload) {
    client_.RunAndWait([&] { EXPECT_TRUE(entries_[entry]->Send(agent_->address(), payload)); });
  }
  void Subscribe(std::size_t entry) {
    Send(entry, Encode(load_subscription{"i-1", milliseconds(200)}));
  }
  /// \returns Whether the entry gets a load in time that this number of entries report as silent.
  bool AwaitSilent(std::size_t entry, int reports) {
    std::atomic<bool> done{false};
    std::thread guard([&] {
      const time_point deadline = Now() + kTestTimeout;
      while (!done && Now() < deadline)
        std::this_thread::sleep_for(milliseconds(2));
      if (!done)
        entries_[entry]->Close();  // Ends the wait for a datagram that does not come.
    });
    bool reported = false;
    client_.RunAndWait([&] {
      while (!reported) {
        const auto received = entries_[entry]->Receive();
        if (!received)
          return;
        const auto summary = DecodeLoad(received.value().payload).value().observations;
        reported = (summary ? summary->Count(observation_kind::kSilent) : 0) == reports;
      }
    });
    done = true;
    guard.join();
    return reported;
  }

  const std::string silent_ =
      Encode(upstream_observation{"i-1", 7, observation_kind::kSilent, 0, milliseconds(5)});
  std::array<std::unique_ptr<datagram_socket>, 3> entries_;
};

// Guards against observations that do not reach the other entries when the engine does not answer
// its agent either, and against datagrams of others than its entries.
TEST_F(rank_agent_observation_test, PassesThemOnWhileTheEngineHangs) {
  Subscribe(0);
  Subscribe(1);
  ASSERT_TRUE(AwaitSilent(0, 0));
  hangs_ = true;
  Send(0, silent_);
  Send(0, silent_);
  Send(2, silent_);
  Send(2, "[1,2");
  EXPECT_TRUE(AwaitSilent(1, 1));
  Send(1, silent_);
  EXPECT_TRUE(AwaitSilent(0, 2));
  EXPECT_TRUE(AwaitSilent(1, 2));
}

// Guards against entries of a large fleet, whose loads come seldom, that follow the others' reports
// only a part of the time.
TEST_F(rank_agent_observation_test, AreRepeatedWithinASecond) {
  constexpr int kLoads = 4;
  Subscribe(0);
  ASSERT_TRUE(AwaitSilent(0, 0));
  Send(1, Encode(load_subscription{"i-1", milliseconds(5'000)}));
  Send(0, silent_);
  ASSERT_TRUE(AwaitSilent(1, 1));
  const time_point first = Now();
  for (int load = 0; load < kLoads; ++load)
    EXPECT_TRUE(AwaitSilent(1, 1));
  EXPECT_LT(Now() - first, kLoads * seconds(1));
}

// Guards against a flood of senders after which entries get no loads.
TEST_F(rank_agent_observation_test, SurvivesAFlood) {
  constexpr int kDatagrams = 2'000;
  Subscribe(0);
  ASSERT_TRUE(AwaitSilent(0, 0));
  for (int i = 0; i < kDatagrams; ++i)
    Send(2, i % 2 == 0 ? silent_ : "[\"i-1\",9,9,9,9]");
  Subscribe(0);
  EXPECT_TRUE(AwaitSilent(0, 0));
}

struct settings_case {
  const char* name;
  const char* text;
  bool starts;
  std::size_t unusable = 0;  ///< Values that are reported.
};

class rank_agent_settings_test : public testing::TestWithParam<settings_case> {};

// Guards against an agent that does not start because of one value in its settings.
TEST_P(rank_agent_settings_test, AreValidated) {
  const auto settings = ParseRankAgentSettings(GetParam().text);
  ASSERT_EQ(settings.has_value(), GetParam().starts);
  if (settings) {
    EXPECT_EQ(settings.value().unusable.size(), GetParam().unusable);
  }
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
                      R"({"name":"a","address":"10.0.0.1:1","engine":"10.0.0.1:2","x":1})", true,
                      1},
        settings_case{"figures",
                      R"({"name":"a","address":"10.0.0.1:1","engine":"10.0.0.1:2",)"
                      R"("limits":{"memory_mb":true000,"descriptors":-1},"log_lines":1e9})",
                      true, 4},
        settings_case{"fractions",
                      R"({"name":"a","address":"10.0.0.1:1","engine":"10.0.0.1:2",)"
                      R"("limits":{"memory_mb":128.5,"descriptors":2048.0}})",
                      true}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace quincebank
