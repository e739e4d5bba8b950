#include "quincebank/gateway/load_watch.h"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <boost/fiber/operations.hpp>
#include <thread>

#include "quincebank/base/clock.h"

namespace quincebank {
namespace {

constexpr milliseconds kLimit{3'000};

/// An entry that watches one engine, and the socket of the agent beside it.
class load_watch_test : public testing::Test {
 protected:
  void SetUp() override {
    agent_ = datagram_socket::Bind(agent_thread_, {"127.0.0.1", 0}).value();
    upstream_.record.id = "i-1";
    upstream_.record.service = "s";
    upstream_.record.address = {"127.0.0.1", 9};
    upstream_.record.group = rank_membership{"g", 1, 0, 2, true};
    upstream_.health = new upstream_evidence;
    ref_ptr<fleet_snapshot> snapshot(new fleet_snapshot);
    snapshot->upstreams["s"].push_back(upstream_);
    box_.Set(snapshot);
    watch_ = std::make_unique<load_watch>(box_, agent_->address().port, log_,
                                          [this](const std::string&) { ++told_; });
    ASSERT_TRUE(watch_->Start(thread_, {"127.0.0.1", 0}));
  }

  void TearDown() override {
    watch_.reset();
    agent_->Close();
  }

  /// \\returns What the next datagram of the entry asks for, and its sender.
  std::pair<load_subscription, endpoint> NextQuestion() {
    std::pair<load_subscription, endpoint> question;
    agent_thread_.RunAndWait([&] {
      const auto received = agent_->Receive();
      if (received)
        question = {DecodeSubscription(received.value().payload).value(), received.value().sender};
    });
    return question;
  }

  void Tell(const endpoint& entry, int running) {
    agent_thread_.RunAndWait([&] {
      EXPECT_TRUE(agent_->Send(entry, Encode(engine_load{"i-1", running, 1, 5})));
    });
  }

  bool AwaitTold(int times) const {
    const time_point until = Now() + kLimit;
    while (told_ < times && Now() < until)
      std::this_thread::sleep_for(milliseconds(2));
    return told_ >= times;
  }

  event_log log_{100, -1};
  fleet_snapshot_holder box_;
  known_upstream upstream_;
  std::atomic<int> told_{0};
  fiber_thread thread_{"traffic"};
  fiber_thread agent_thread_{"agent"};
  std::unique_ptr<datagram_socket> agent_;
  std::unique_ptr<load_watch> watch_;
};

// Guards against entries that place all requests blindly since no load ever arrives.
TEST_F(load_watch_test, TakesLoadsOfItsSubscriptions) {
  const auto [question, entry] = NextQuestion();
  EXPECT_EQ(question.upstream, "i-1");
  EXPECT_GT(question.period.count(), 0);
  Tell(entry, 7);
  ASSERT_TRUE(AwaitTold(1));
  EXPECT_EQ(upstream_.health->others(Now()), 8);
}

// Guards against requests that wait for agents which are silent.
TEST_F(load_watch_test, AsksForPresentLoadsAndWaitsAMoment) {
  constexpr milliseconds kMost{200};
  const auto [question, entry] = NextQuestion();
  const std::array<const known_upstream*, 1> asked{&upstream_};
  std::thread agent([&] {
    auto next = NextQuestion();
    while (next.first.period.count() != 0)
      next = NextQuestion();
    Tell(next.second, 3);
  });
  thread_.RunAndWait([&] { watch_->QueryLoads(asked); });
  agent.join();
  EXPECT_EQ(upstream_.health->others(Now()), 4);
  const time_point begun = Now();
  thread_.RunAndWait([&] { watch_->QueryLoads(asked); });
  EXPECT_LT(Now() - begun, kMost);
}

}  // namespace
}  // namespace quincebank
