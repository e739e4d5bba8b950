// Orders that must not repeat, through the running system.

#include <csignal>

#include "process_test.h"

namespace quincebank {
namespace {

class orders_process_test : public process_test {
 protected:
  /// The replica whose stand-in switches apply to all orders: the only one of the plan.
  void StartWithOneReplica() {
    deployment_plan plan;
    plan.drafts = 1;
    plan.orders = 1;
    StartSystem(plan);
  }
};

// Guards against a retry through another entry that runs the order again.
TEST_F(orders_process_test, RetryThroughAnotherEntryGetsTheHeldAnswer) {
  StartSystem();
  const auto first = system().Call("entry-0", OrderRequest("o1", "k1"));
  const auto second = system().Call("entry-1", OrderRequest("o1", "k1"));
  ASSERT_TRUE(first.has_value() && second.has_value());
  EXPECT_EQ(first.value().status, 201);
  EXPECT_EQ(second.value().status, 201);
  EXPECT_EQ(first.value().body, second.value().body);
  EXPECT_EQ(RunsOf(system(), 3, "o1"), 1);
}

// Guards against running a key's second, different order under the first one's answer.
TEST_F(orders_process_test, ReusedKeyForAnotherOrderIsRefused) {
  StartSystem();
  ASSERT_EQ(system().Call("entry-0", OrderRequest("o1", "k1")).value().status, 201);
  const auto other = system().Call("entry-0", OrderRequest("o2", "k1"));
  ASSERT_TRUE(other.has_value());
  EXPECT_GE(other.value().status, 400);
  EXPECT_EQ(RunsOf(system(), 3, "o2"), 0);
}

// Guards against repeating an order whose answer the service lost after it had run.
TEST_F(orders_process_test, LostAnswerOfTheServiceIsNeverRepeated) {
  StartWithOneReplica();
  system().Control("orders-0", R"({"drop_answers": 1})");
  const auto first = system().Call("entry-0", OrderRequest("o1", "k1"), kPatience);
  EXPECT_EQ(VerdictOf(first), "may-have-run");
  const auto second = system().Call("entry-1", OrderRequest("o1", "k1"), kPatience);
  EXPECT_EQ(VerdictOf(second), "may-have-run");
  EXPECT_EQ(RunsOf(system(), 1, "o1"), 1);
}

// Guards against a false "not run", and against a second run, when the agent dies mid-order.
TEST_F(orders_process_test, KilledAgentLeavesMayHaveRun) {
  deployment_plan plan;
  plan.drafts = 1;
  plan.orders = 1;
  plan.orders_options = {"--service-ms=1500"};
  StartSystem(plan);
  auto pending = CallLater(system(), "entry-0", OrderRequest("o1", "k1"));
  ASSERT_TRUE(
      deployment::WaitUntil([&] { return Counter(system(), "orders-0", "peak") > 0; }, kPatience));
  system().Process("agent-orders-0").Kill();
  EXPECT_EQ(VerdictOf(pending.get()), "may-have-run");
  system().Restart("agent-orders-0");
  const auto again = system().Call("entry-1", OrderRequest("o1", "k1"), kPatience);
  EXPECT_EQ(VerdictOf(again), "may-have-run");
  // The service ends the order that the killed agent had sent.
  EXPECT_TRUE(deployment::WaitUntil([&] { return RunsOf(system(), 1, "o1") > 0; }, kPatience));
  EXPECT_EQ(RunsOf(system(), 1, "o1"), 1);
}

// Guards against a claim that is forgotten with the entry that made it.
TEST_F(orders_process_test, KilledEntryLeavesTheClaim) {
  deployment_plan plan;
  plan.drafts = 1;
  plan.orders_options = {"--service-ms=1000"};
  StartSystem(plan);
  auto pending = CallLater(system(), "entry-0", OrderRequest("o1", "k1"));
  ASSERT_TRUE(deployment::WaitUntil(
      [&] {
        return Counter(system(), "orders-0", "peak") + Counter(system(), "orders-1", "peak") +
                   Counter(system(), "orders-2", "peak") >
               0;
      },
      kPatience));
  system().Process("entry-0").Kill();
  EXPECT_FALSE(pending.get().has_value());
  const auto again = system().Call("entry-1", OrderRequest("o1", "k1"), kPatience);
  ASSERT_TRUE(again.has_value());
  EXPECT_EQ(again.value().status, 201);
  EXPECT_EQ(RunsOf(system(), 3, "o1"), 1);
}

// Guards against an order that runs without a claim, and against a lost order, while the key-value
// service is out.
TEST_F(orders_process_test, OutageOfTheServiceRefusesTruthfully) {
  StartSystem();
  system().Control("kv", R"({"down": true})");
  http_request first = OrderRequest("o1", "k1");
  first.headers.Set(kFirstSendField, "true");
  const auto refused = system().Call("entry-0", first, kPatience);
  ASSERT_TRUE(refused.has_value());
  EXPECT_EQ(VerdictOf(refused), "not-run");
  EXPECT_FALSE(refused.value().headers.Get(kRetryAfterField).empty());
  // Without the store nobody knows whether an earlier request with this key ran.
  const auto repeated = system().Call("entry-1", OrderRequest("o1", "k1"), kPatience);
  ASSERT_TRUE(repeated.has_value());
  EXPECT_EQ(VerdictOf(repeated), "may-have-run");
  EXPECT_FALSE(repeated.value().headers.Get(kRetryAfterField).empty());
  EXPECT_EQ(RunsOf(system(), 3, "o1"), 0);
  // Drafts need no claim and go on.
  const auto draft = system().Call("entry-0", DraftRequest("p", 2, false), kPatience);
  ASSERT_TRUE(draft.has_value());
  EXPECT_EQ(draft.value().status, 200);
  system().Control("kv", R"({"down": false})");
  const auto accepted = system().Call("entry-0", OrderRequest("o1", "k1"), kPatience);
  ASSERT_TRUE(accepted.has_value());
  EXPECT_EQ(accepted.value().status, 201);
  EXPECT_EQ(RunsOf(system(), 3, "o1"), 1);
}

struct write_fault {
  const char* name;
  const char* switches;
};

class lost_write_process_test : public orders_process_test,
                                public testing::WithParamInterface<write_fault> {};

// Guards against taking a claim whose answer was lost, or came late, for somebody else's or none.
TEST_P(lost_write_process_test, OrderRunsOnce) {
  StartSystem();
  system().Control("kv", GetParam().switches);
  const auto answer = system().Call("entry-0", OrderRequest("o1", "k1"), kPatience);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer.value().status, 201) << answer.value().body;
  const auto again = system().Call("entry-1", OrderRequest("o1", "k1"), kPatience);
  ASSERT_TRUE(again.has_value());
  EXPECT_EQ(again.value().status, 201) << again.value().body;
  EXPECT_EQ(RunsOf(system(), 3, "o1"), 1);
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         lost_write_process_test,
                         testing::Values(write_fault{"lost_answer", R"({"lose_answers": 1})"},
                                         write_fault{"two_lost_answers", R"({"lose_answers": 2})"},
                                         write_fault{"late_write",
                                                     R"({"late_writes": 1, "late_ms": 1500})"}),
                         [](const auto& info) { return info.param.name; });

// Guards against running an order again, or losing its answer, when the connection to the agent
// goes silent while the order runs.
TEST_F(orders_process_test, SilentConnectionDoesNotRepeatTheOrder) {
  deployment_plan plan;
  plan.drafts = 1;
  plan.orders = 1;
  plan.relays = true;
  plan.orders_options = {"--service-ms=1500"};
  StartSystem(plan);
  auto pending = CallLater(system(), "entry-0", OrderRequest("o1", "k1"));
  ASSERT_TRUE(
      deployment::WaitUntil([&] { return Counter(system(), "orders-0", "peak") > 0; }, kPatience));
  system().Control("relay-agent-orders-0", R"({"silence": true})");
  const auto answer = pending.get();
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer.value().status, 201) << answer.value().body;
  EXPECT_EQ(RunsOf(system(), 1, "o1"), 1);
}

// Guards against two entries that both claim the same key at the same moment.
TEST_F(orders_process_test, SimultaneousRetriesRunOnce) {
  StartSystem();
  for (int round = 0; round < 5; ++round) {
    const std::string id = std::to_string(round);
    std::vector<std::future<result<http_response>>> calls;
    for (const std::string& entry : system().entries())
      calls.push_back(CallLater(system(), entry, OrderRequest("o" + id, "k" + id)));
    for (auto& call : calls) {
      const auto answer = call.get();
      ASSERT_TRUE(answer.has_value());
      EXPECT_EQ(answer.value().status, 201) << answer.value().body;
    }
    EXPECT_EQ(RunsOf(system(), 3, "o" + id), 1);
  }
}

// Guards against repeating an order that came without a key.
TEST_F(orders_process_test, OrderWithoutKeyIsSentOnce) {
  StartWithOneReplica();
  system().Control("orders-0", R"({"drop_answers": 1})");
  EXPECT_EQ(VerdictOf(system().Call("entry-0", OrderRequest("o1", ""), kPatience)), "may-have-run");
  EXPECT_EQ(RunsOf(system(), 1, "o1"), 1);
}

// Guards against an entry that goes on with a stale claim after a pause.
TEST_F(orders_process_test, PausedEntryDoesNotRunTheOrderAgain) {
  StartSystem();
  system().Control("kv", R"({"delay_ms": 400})");
  auto paused = CallLater(system(), "entry-0", OrderRequest("o1", "k1"));
  std::this_thread::sleep_for(milliseconds(200));
  system().Process("entry-0").Signal(SIGSTOP);
  const auto other = system().Call("entry-1", OrderRequest("o1", "k1"), kPatience);
  system().Process("entry-0").Signal(SIGCONT);
  (void)paused.get();
  ASSERT_TRUE(other.has_value());
  EXPECT_LE(RunsOf(system(), 3, "o1"), 1);
}

}  // namespace
}  // namespace quincebank
