#include <gtest/gtest.h>

#include <thread>

#include "quincebank/base/json_reader.h"
#include "quincebank/net/net.h"
#include "quincebank/standins/standin.h"

namespace quincebank {
namespace {

constexpr milliseconds kPatience{60'000};

class rank_group_test : public testing::Test {
 protected:
  void Start(bool checks_fencing = true) {
    standin_settings settings;
    settings.ranks = 2;
    settings.step_time = milliseconds(1);
    settings.checks_fencing = checks_fencing;
    standin_ = MakeRankGroupStandin(settings);
    auto listening =
        http_server::Listen({&server_thread_}, {"127.0.0.1", 0},
                            [this](http_exchange& exchange) { standin_->Handle(exchange); });
    ASSERT_TRUE(listening.has_value());
    server_ = std::move(listening.value());
  }

  int Send(const std::string& method, const std::string& target, const std::string& body) {
    int status = 0;
    client_thread_.RunAndWait([&] {
      const auto answer = http_.Call({server_->address(), {method, target, {}, body}});
      status = answer ? answer.value().status : 0;
    });
    return status;
  }

  int Order(int rank, const std::string& kind, int epoch, int step, int fence) {
    return Send("POST", "/ranks/" + std::to_string(rank) + "/orders",
                R"({"kind": ")" + kind + R"(", "epoch": )" + std::to_string(epoch) +
                    R"(, "step": )" + std::to_string(step) + R"(, "fence": )" +
                    std::to_string(fence) + "}");
  }

  std::int64_t Counter(const std::string& name) {
    std::int64_t value = -1;
    client_thread_.RunAndWait([&] {
      const auto answer = http_.Call({server_->address(), {"GET", "/control", {}, {}}});
      if (answer)
        value = ParseJson(answer.value().body).value().at(name).to_number<std::int64_t>();
    });
    return value;
  }

  bool WaitForAbove(const std::string& name, std::int64_t bound) {
    const time_point until = std::chrono::steady_clock::now() + kPatience;
    while (Counter(name) <= bound) {
      if (std::chrono::steady_clock::now() > until)
        return false;
      std::this_thread::sleep_for(milliseconds(1));
    }
    return true;
  }

 private:
  fiber_thread server_thread_{"server"};
  fiber_thread client_thread_{"client"};
  http_client http_{client_thread_};
  std::unique_ptr<standin> standin_;
  std::unique_ptr<http_server> server_;
};

// Guards against a counter that stays 0 whatever the agents do.
TEST_F(rank_group_test, CountsStepsWithTwoMaps) {
  Start();
  ASSERT_TRUE(WaitForAbove("steps", 3));
  EXPECT_EQ(Counter("mixed_steps"), 0);
  EXPECT_EQ(Order(0, "stage", 1, 0, 1), 200);
  EXPECT_EQ(Order(0, "commit", 1, 0, 1), 200);
  EXPECT_TRUE(WaitForAbove("mixed_steps", 0));
}

// Guards against ranks that run ahead of one that holds.
TEST_F(rank_group_test, HoldOfOneRankStopsAll) {
  Start();
  ASSERT_TRUE(WaitForAbove("steps", 0));
  EXPECT_EQ(Order(0, "hold", 1, 0, 1), 409) << "the step has started";
  EXPECT_EQ(Order(0, "hold", 1, 1'000'000, 1), 200);
  ASSERT_EQ(Order(0, "release", 1, 0, 1), 200);
  // A hold for a near step may come too late; the engine says so.
  int status = 409;
  while (status == 409)
    status = Order(0, "hold", 2, static_cast<int>(Counter("steps")) + 20, 2);
  ASSERT_EQ(status, 200);
  ASSERT_TRUE(WaitForAbove("stalled_ticks", 20));
  const std::int64_t steps = Counter("steps");
  ASSERT_TRUE(WaitForAbove("stalled_ticks", Counter("stalled_ticks") + 20));
  EXPECT_EQ(Counter("steps"), steps);
  EXPECT_EQ(Counter("stalls"), 1);
  EXPECT_EQ(Order(0, "release", 2, 0, 2), 200);
  EXPECT_TRUE(WaitForAbove("steps", steps));
}

// Guards against an engine stand-in that treats fencing tokens otherwise than it is told to.
TEST_F(rank_group_test, RefusesAnOldFencingToken) {
  Start();
  EXPECT_EQ(Order(0, "stage", 2, 0, 2), 200);
  EXPECT_EQ(Order(0, "stage", 1, 0, 1), 409);
  EXPECT_EQ(Order(1, "stage", 1, 0, 1), 200) << "each rank has its own token";
}

TEST_F(rank_group_test, IgnoresFencingTokensIfToldTo) {
  Start(false);
  EXPECT_EQ(Order(0, "stage", 2, 0, 2), 200);
  EXPECT_EQ(Order(0, "stage", 1, 0, 1), 200);
}

}  // namespace
}  // namespace quincebank
