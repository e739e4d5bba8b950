// Drains, leaving, killed and replaced hosts while the host list lags.

#include <csignal>

#include "process_test.h"
#include "quincebank/base/random.h"
#include "quincebank/idempotency/timed_attempt.h"

namespace quincebank {
namespace {

constexpr int kReplicas = 3;
/// Part of an agent's failure event.
constexpr std::string_view kRefusedForDrain = R"("code":"draining")";

class host_list_process_test : public process_test {
 protected:
  /// Sends drafts through all entries in turn; each must be answered.
  void SendDrafts(int count, const std::string& prefix) {
    const std::vector<std::string> entries = system().entries();
    for (int i = 0; i < count; ++i) {
      const auto answer =
          system().Call(entries.at(static_cast<std::size_t>(i) % entries.size()),
                        DraftRequest(prefix + std::to_string(i), 2, false), kPatience);
      ASSERT_TRUE(answer.has_value());
      EXPECT_EQ(answer.value().status, 200) << answer.value().body;
    }
  }

  std::int64_t Completions(const std::string& engine) {
    return Counter(system(), engine, "completions");
  }

  boost::json::object Ready(const std::string& node) {
    return ObjectOf(system().Call(node, {"GET", "/readyz", {}, {}}));
  }

  /// Load that an agent reports of itself; empty if it does not answer.
  boost::json::object Load(const std::string& agent) {
    const boost::json::object ready = Ready(agent);
    const boost::json::value* const load = ready.if_contains("load");
    return load != nullptr && load->is_object() ? load->get_object() : boost::json::object{};
  }

  bool Reports(const std::string& agent, const std::string& flag) {
    const boost::json::object load = Load(agent);
    const boost::json::value* const value = load.if_contains(flag);
    return value != nullptr && value->is_bool() && value->get_bool();
  }

  std::int64_t Usable(const std::string& entry, const std::string& service) {
    const boost::json::object ready = Ready(entry);
    const boost::json::value* const services = ready.if_contains("services");
    const boost::json::value* const counts =
        services != nullptr ? services->get_object().if_contains(service) : nullptr;
    return counts != nullptr ? counts->get_object().at("usable").to_number<std::int64_t>() : -1;
  }

  bool EveryEntryUses(const std::string& service, std::int64_t count) {
    for (const std::string& entry : system().entries()) {
      if (Usable(entry, service) != count)
        return false;
    }
    return true;
  }

  /// How often an entry has chosen an upstream, by its decision record.
  int Choices(const std::string& entry, const std::string& upstream) {
    const boost::json::object answer =
        ObjectOf(system().Call(entry, {"GET", "/records?since=0", {}, {}}));
    const boost::json::value* const records = answer.if_contains("records");
    if (records == nullptr)
      return -1;
    int count = 0;
    for (const auto& record : records->as_array()) {
      if (record.at("kind").as_string() != "route")
        continue;
      const boost::json::value* const chosen =
          record.at("outcome").get_object().if_contains("upstream");
      count += chosen != nullptr && chosen->as_string() == upstream ? 1 : 0;
    }
    return count;
  }

  std::map<std::string, int> ChoicesOfAll(const std::string& upstream) {
    std::map<std::string, int> choices;
    for (const std::string& entry : system().entries())
      choices[entry] = Choices(entry, upstream);
    return choices;
  }

  /// Sends an attempt straight to an agent, as an entry does that knows of no drain and no leave.
  std::string SendAttempt(const std::string& agent, const std::string& life) {
    http_request request = DraftRequest("from an entry that lags", 2, false);
    request.target = "/attempt/v1/completions";
    random_source random = random_source::FromSystem();
    request.headers.Set(kAttemptField,
                        ToString(NewTimedAttemptId(random, std::chrono::system_clock::now())));
    request.headers.Set(kIncarnationField, life);
    request.headers.Set(kConfigVersionField, "1");
    request.headers.Set(kServiceField, "quince-drafts");
    request.headers.Set(kPriorityField, "5");
    request.headers.Set(kDeadlineField, "5000");
    request.headers.Set(kRepeatableField, "true");
    const auto answer = system().Call(agent, request, kPatience);
    return answer ? answer.value().body : answer.error().message;
  }

  std::string LifeOf(const std::string& agent) {
    const boost::json::object load = Load(agent);
    const boost::json::value* const life = load.if_contains("incarnation");
    return life != nullptr && life->is_string() ? std::string(life->get_string()) : "";
  }

  int Drain(const std::string& domain) {
    return system().RunTool({"drain", "--kv=" + ToString(system().AddressOf("kv")),
                             "--hosts=" + ToString(system().AddressOf("hosts")), "--author=ops",
                             "--team=platform", domain},
                            &output_);
  }

  std::string output_;
};

// Guards against new work in a drained failure domain whose agents the host list does not show yet:
// the tool's offers do not reach them, so they must learn of the drain by themselves.
TEST_F(host_list_process_test, DrainReachesAgentsThatTheListDoesNotShow) {
  deployment_plan plan;
  plan.unlisted = {"agent-drafts-1", "agent-orders-1"};
  StartSystem(plan);
  system().FreezeHostList(true);
  SendDrafts(24, "before ");
  ASSERT_GT(Completions("drafts-1"), 0) << "an upstream that was never listed is usable";
  ASSERT_EQ(Drain("qc-east-b"), 0) << output_;
  const std::int64_t before = Completions("drafts-1");
  SendDrafts(24, "after ");
  EXPECT_EQ(Completions("drafts-1"), before);
  ASSERT_TRUE(
      deployment::WaitUntil([&] { return Reports("agent-drafts-1", "draining"); }, kPatience));
  const std::string refusal = SendAttempt("agent-drafts-1", LifeOf("agent-drafts-1"));
  EXPECT_NE(refusal.find(kRefusedForDrain), std::string::npos) << refusal;
  EXPECT_EQ(Completions("drafts-1"), before);
}

// Guards against new work at an agent that got SIGTERM while the host list still calls its host
// live, and against entries that go on choosing it after it has refused.
TEST_F(host_list_process_test, AgentThatLeavesRefusesThoughItIsListed) {
  deployment_plan plan;
  // With a high limit the stream below does not make its upstream the most loaded one, so that
  // entries prefer it as long as they believe that it may be used.
  plan.cold_limit = plan.full_limit;
  StartSystem(plan);
  system().FreezeHostList(true);
  SendDrafts(12, "before ");
  // A stream keeps the leaving agent alive.
  constexpr int kTokens = 1'200;
  auto stream = CallLater(system(), "entry-0", DraftRequest("long", kTokens, true));
  std::string index;
  ASSERT_TRUE(deployment::WaitUntil(
      [&] {
        for (const char* candidate : {"0", "1", "2"}) {
          if (Counter(system(), std::string("drafts-") + candidate, "running") > 0)
            index = candidate;
        }
        return !index.empty();
      },
      kPatience));
  const std::string engine = "drafts-" + index;
  const std::string agent = "agent-" + engine;
  const std::string life = LifeOf(agent);
  const std::int64_t before = Completions(engine);
  std::map<std::string, int> chosen = ChoicesOfAll(engine);
  system().Process(agent).Signal(SIGTERM);
  ASSERT_TRUE(deployment::WaitUntil([&] { return Reports(agent, "leaving"); }, kPatience));
  const std::string refusal = SendAttempt(agent, life);
  EXPECT_NE(refusal.find(kRefusedForDrain), std::string::npos) << refusal;
  SendDrafts(24, "after ");
  EXPECT_EQ(Completions(engine), before);
  // One refusal shows an entry that the agent leaves.
  for (const auto& [entry, count] : ChoicesOfAll(engine))
    EXPECT_LE(count - chosen[entry], 1) << entry;
  const auto answer = stream.get();
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer.value().status, 200);
  EXPECT_NE(answer.value().body.find("[DONE]"), std::string::npos);
}

// Guards against a lag of the host list that costs callers anything, and against new work at a host
// that leaves only by the list once the list says so.
TEST_F(host_list_process_test, HostThatLeavesByTheListGetsNoWorkOnceItSaysSo) {
  StartSystem();
  system().FreezeHostList(true);
  system().SetLeaving("agent-drafts-1");
  SendDrafts(24, "while nobody knows ");
  ASSERT_GT(Completions("drafts-1"), 0);
  system().FreezeHostList(false);
  ASSERT_TRUE(deployment::WaitUntil(
      [&] { return Reports("agent-drafts-1", "draining") && EveryEntryUses("quince-drafts", 2); },
      kPatience));
  const std::int64_t before = Completions("drafts-1");
  const std::string refusal = SendAttempt("agent-drafts-1", LifeOf("agent-drafts-1"));
  EXPECT_NE(refusal.find(kRefusedForDrain), std::string::npos) << refusal;
  SendDrafts(24, "after ");
  EXPECT_EQ(Completions("drafts-1"), before);
}

// Guards against an entry whose host list lags behind that of the others and that brings new work
// to a host that leaves by the list: the agent reads the list as well and refuses.
TEST_F(host_list_process_test, EntryWithAnOldListBringsNoWorkToALeavingHost) {
  deployment_plan plan;
  plan.two_regions = true;
  plan.entries = 2;
  StartSystem(plan);
  SendDrafts(12, "before ");
  system().Cut({"entry-0"}, {"hosts"});
  system().SetLeaving("agent-drafts-0");
  ASSERT_TRUE(
      deployment::WaitUntil([&] { return Reports("agent-drafts-0", "draining"); }, kPatience));
  const std::int64_t before = Completions("drafts-0");
  const int chosen = Choices("entry-0", "drafts-0");
  for (int i = 0; i < 24; ++i) {
    const auto answer =
        system().Call("entry-0", DraftRequest("after " + std::to_string(i), 2, false), kPatience);
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer.value().status, 200) << answer.value().body;
  }
  EXPECT_EQ(Completions("drafts-0"), before);
  EXPECT_LE(Choices("entry-0", "drafts-0") - chosen, 1);
}

// Guards against callers that pay for a dead host that is still listed: with lost or doubled
// orders, with anything but truthful "not run" refusals, or with entries that never stop choosing
// it.
TEST_F(host_list_process_test, KilledHostThatIsListedCostsOnlyRetries) {
  StartSystem();
  system().FreezeHostList(true);
  SendDrafts(12, "before ");
  for (const char* process : {"agent-drafts-1", "drafts-1", "agent-orders-1", "orders-1"})
    system().Process(process).Kill();
  int refusals = 0;
  const auto serve = [&](const std::string& entry, const http_request& request, int status) {
    return deployment::WaitUntil(
        [&] {
          const auto answer = system().Call(entry, request, kPatience);
          if (answer && answer.value().status == status)
            return true;
          ++refusals;
          EXPECT_EQ(VerdictOf(answer), "not-run") << entry;
          return false;
        },
        kPatience);
  };
  const std::vector<std::string> entries = system().entries();
  for (int i = 0; i < 24; ++i) {
    const std::string id = std::to_string(i);
    const std::string& entry = entries.at(static_cast<std::size_t>(i) % entries.size());
    EXPECT_TRUE(serve(entry, DraftRequest("after " + id, 2, false), 200));
    EXPECT_TRUE(serve(entry, OrderRequest("o" + id, "k" + id), 201));
  }
  for (int i = 0; i < 24; ++i)
    EXPECT_EQ(RunsOf(system(), kReplicas, "o" + std::to_string(i)), 1) << i;
  RecordProperty("refusals", refusals);
  // Direct evidence takes it out, though the list goes on naming it.
  EXPECT_TRUE(deployment::WaitUntil(
      [&] {
        return EveryEntryUses("quince-drafts", kReplicas - 1) &&
               EveryEntryUses("order-desk", kReplicas - 1);
      },
      kPatience));
}

struct end_of_host {
  const char* name;
  int signal;
};

class replaced_host_process_test : public host_list_process_test,
                                   public testing::WithParamInterface<end_of_host> {};

// Guards against a host that is never used again after its replacement came up at the same address:
// the list has not changed, so only the new incarnation shows it.
TEST_P(replaced_host_process_test, IsTakenUp) {
  StartSystem();
  system().FreezeHostList(true);
  SendDrafts(12, "before ");
  const std::string life = LifeOf("agent-drafts-1");
  std::future<result<http_response>> stream;
  if (GetParam().signal == SIGTERM) {
    // A stream keeps the leaving agent alive until entries have heard that it leaves.
    stream = CallLater(system(), "entry-1", DraftRequest("long", 600, true));
    ASSERT_TRUE(deployment::WaitUntil([&] { return Counter(system(), "drafts-1", "running") > 0; },
                                      kPatience));
  }
  system().Process("agent-drafts-1").Signal(GetParam().signal);
  if (stream.valid()) {
    ASSERT_TRUE(
        deployment::WaitUntil([&] { return Reports("agent-drafts-1", "leaving"); }, kPatience));
    SendDrafts(6, "while it leaves ");
    EXPECT_EQ(stream.get().value().status, 200);
  }
  ASSERT_TRUE(system().Process("agent-drafts-1").WaitFor(kPatience).has_value());
  system().Process("drafts-1").Kill();
  ASSERT_TRUE(deployment::WaitUntil(
      [&] {
        SendDrafts(3, "while it is gone ");
        return EveryEntryUses("quince-drafts", kReplicas - 1);
      },
      kPatience));
  system().Restart("drafts-1");
  system().Restart("agent-drafts-1");
  // Without load an entry prefers the upstream of its own failure domain, here that of entry-1.
  const int chosen = Choices("entry-1", "drafts-1");
  int sent = 0;
  EXPECT_TRUE(deployment::WaitUntil(
      [&] {
        SendDrafts(3, "again " + std::to_string(sent++) + " ");
        return EveryEntryUses("quince-drafts", kReplicas) &&
               Choices("entry-1", "drafts-1") > chosen;
      },
      kPatience));
  EXPECT_GT(Completions("drafts-1"), 0);
  EXPECT_NE(LifeOf("agent-drafts-1"), life);
}

INSTANTIATE_TEST_SUITE_P(Ends,
                         replaced_host_process_test,
                         testing::Values(end_of_host{"killed", SIGKILL},
                                         end_of_host{"left", SIGTERM}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace quincebank
