#include "quincebank/gateway/load_watch.h"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <boost/fiber/operations.hpp>
#include <thread>

#include "quincebank/base/clock.h"

namespace quincebank {
namespace {

constexpr milliseconds kTestTimeout{3'000};

/// An entry that subscribes to one engine, and the socket of that engine's agent.
class load_watch_test : public testing::Test {
 protected:
  void SetUp() override {
    agent_ = datagram_socket::Bind(agent_thread_, {"127.0.0.1", 0}).value();
    upstream_.record.id = "i-1";
    upstream_.record.service = "s";
    upstream_.record.incarnation = 7;
    upstream_.record.address = {"127.0.0.1", 9};
    upstream_.record.group = rank_membership{"g", 1, 0, 2, true};
    upstream_.health = new upstream_health;
    ref_ptr<fleet_snapshot> snapshot(new fleet_snapshot);
    snapshot->upstreams["s"].push_back(upstream_);
    // A second upstream, so that half of the service's remain when the first is avoided.
    known_upstream other = upstream_;
    other.record.id = "i-2";
    other.record.group.reset();
    other.health = new upstream_health;
    snapshot->upstreams["s"].push_back(other);
    snapshots_.Set(snapshot);
    watch_ = std::make_unique<load_watch>(
        snapshots_, agent_->address().port, log_, [this](const std::string&) { ++received_loads_; },
        &sharing_);
    ASSERT_TRUE(watch_->Start(thread_, {"127.0.0.1", 0}));
  }

  void TearDown() override {
    watch_.reset();
    agent_->Close();
  }

  /// \returns The next subscription that the entry sends, and the entry's address.
  std::pair<load_subscription, endpoint> NextSubscription() {
    std::pair<load_subscription, endpoint> subscription;
    agent_thread_.RunAndWait([&] {
      const auto received = agent_->Receive();
      if (received)
        subscription = {DecodeSubscription(received.value().payload).value(),
                        received.value().sender};
    });
    return subscription;
  }

  void SendLoad(const endpoint& entry, int running) {
    agent_thread_.RunAndWait([&] {
      EXPECT_TRUE(agent_->Send(entry, Encode(engine_load{"i-1", running, 1, 5, 9'000, 500})));
    });
  }

  bool AwaitLoads(int count) const {
    const time_point deadline = Now() + kTestTimeout;
    while (received_loads_ < count && Now() < deadline)
      std::this_thread::sleep_for(milliseconds(2));
    return received_loads_ >= count;
  }

  event_log log_{100, -1};
  gateway_metrics metrics_;
  observation_sharing sharing_{"edge-1", log_, metrics_, 1};
  fleet_snapshot_holder snapshots_;
  known_upstream upstream_;
  std::atomic<int> received_loads_{0};
  fiber_thread thread_{"traffic"};
  fiber_thread agent_thread_{"agent"};
  std::unique_ptr<datagram_socket> agent_;
  std::unique_ptr<load_watch> watch_;
};

// Guards against load reports that never arrive, so that entries place requests without them.
TEST_F(load_watch_test, AppliesLoadsOfSubscribedEngines) {
  const auto [subscription, entry] = NextSubscription();
  EXPECT_EQ(subscription.upstream, "i-1");
  EXPECT_GT(subscription.period.count(), 0);
  SendLoad(entry, 7);
  ASSERT_TRUE(AwaitLoads(1));
  EXPECT_EQ(upstream_.health->other_requests(Now()), 8);
  EXPECT_EQ(upstream_.health->work().speed(Now()), 0.5);
}

// Guards against an engine that others find silent and this entry goes on using, and against one
// that is avoided after an agent of an older version, or one that knows no reports, has answered.
TEST_F(load_watch_test, AvoidsAnEngineWhileOthersReportIt) {
  const endpoint entry = NextSubscription().second;
  const auto avoided = [this] {
    bool result = false;
    thread_.RunAndWait([&] { result = upstream_.health->observations().IsAvoided(Now()); });
    return result;
  };
  engine_load load{"i-1", 7, 1, 5};
  load.observations = observation_summary{7, {2, 0, 0, 0, 0}, milliseconds(0), 0};
  agent_thread_.RunAndWait([&] { EXPECT_TRUE(agent_->Send(entry, Encode(load))); });
  ASSERT_TRUE(AwaitLoads(1));
  EXPECT_TRUE(avoided());
  SendLoad(entry, 7);
  ASSERT_TRUE(AwaitLoads(2));
  EXPECT_FALSE(avoided());
}

// Guards against a hung engine of which the others do not learn.
TEST_F(load_watch_test, SendsWhatThisEntryObserves) {
  (void)NextSubscription();
  thread_.RunAndWait([&] { upstream_.health->observations().OnSilentAttempt(Now(), Now()); });
  upstream_observation observed;
  const time_point deadline = Now() + kTestTimeout;
  while (observed.upstream.empty() && Now() < deadline) {
    agent_thread_.RunAndWait([&] {
      const auto received = DecodeObservation(agent_->Receive().value().payload);
      if (received)
        observed = received.value();
    });
  }
  EXPECT_EQ(observed.upstream, "i-1");
  EXPECT_EQ(observed.incarnation, 7U);
  EXPECT_EQ(observed.kind, observation_kind::kSilent);
}

// Guards against requests that wait too long for agents that do not answer.
TEST_F(load_watch_test, QueryWaitsBrieflyForCurrentLoads) {
  constexpr milliseconds kMaxQueryTime{200};
  const auto [subscription, entry] = NextSubscription();
  const std::array<const known_upstream*, 1> queried{&upstream_};
  std::thread agent([&] {
    auto next = NextSubscription();
    while (next.first.period.count() != 0)
      next = NextSubscription();
    SendLoad(next.second, 3);
  });
  thread_.RunAndWait([&] { watch_->QueryLoads(queried); });
  agent.join();
  EXPECT_EQ(upstream_.health->other_requests(Now()), 4);
  const time_point query_started = Now();
  thread_.RunAndWait([&] { watch_->QueryLoads(queried); });
  EXPECT_LT(Now() - query_started, kMaxQueryTime);
}

}  // namespace
}  // namespace quincebank
