// Streamed drafts through the running system: whole answers, resumption, graceful shutdown.

#include <csignal>

#include "process_test.h"

namespace quincebank {
namespace {

constexpr int kTokens = 60;

class streams_process_test : public process_test {
 protected:
  void SetUp() override {
    deployment_plan plan;
    plan.relays = true;
    plan.orders = 1;
    plan.engine_options = {"--token-ms=25"};
    StartSystem(plan);
    const auto whole = system().Call("entry-0", DraftRequest("p", kTokens, false), kPatience);
    ASSERT_TRUE(whole.has_value());
    expected_ = TokensOf(whole.value().body);
    ASSERT_FALSE(expected_.empty());
  }

  /// Starts a stream and waits until an engine runs it.
  std::future<result<http_response>> StartStream(const std::string& entry) {
    auto pending = CallLater(system(), entry, DraftRequest("p", kTokens, true));
    EXPECT_TRUE(deployment::WaitUntil([&] { return !BusyAgent().empty(); }, kPatience));
    // A few tokens have come by the time of the fault.
    std::this_thread::sleep_for(milliseconds(200));
    return pending;
  }

  std::string BusyAgent() {
    for (int i = 0; i < 3; ++i) {
      const std::string engine = "drafts-" + std::to_string(i);
      if (Counter(system(), engine, "running") > 0)
        return "agent-" + engine;
    }
    return {};
  }

  /// Repeats a request that was refused as "not run", as callers do: cold engines take only two
  /// at a time.
  result<http_response> CallUntilServed(const std::string& entry, const http_request& request) {
    result<http_response> answer = system().Call(entry, request, kPatience);
    while (answer && VerdictOf(answer) == "not-run") {
      std::this_thread::sleep_for(milliseconds(100));
      answer = system().Call(entry, request, kPatience);
    }
    return answer;
  }

  void ExpectWhole(const result<http_response>& answer) {
    ASSERT_TRUE(answer.has_value()) << answer.error().message;
    EXPECT_EQ(answer.value().status, 200);
    EXPECT_EQ(TokensOf(answer.value().body), expected_);
    EXPECT_NE(answer.value().body.find("[DONE]"), std::string::npos);
  }

  std::string expected_;
};

TEST_F(streams_process_test, StreamEqualsTheWholeAnswer) {
  ExpectWhole(system().Call("entry-1", DraftRequest("p", kTokens, true), kPatience));
}

// Guards against a stream that is cut, doubled or rerun when a connection goes silent: the agent
// stops for longer than the silence limit and goes on.
TEST_F(streams_process_test, SilentAgentIsResumed) {
  auto pending = StartStream("entry-0");
  const std::string agent = BusyAgent();
  system().Process(agent).Signal(SIGSTOP);
  std::this_thread::sleep_for(milliseconds(4'000));
  system().Process(agent).Signal(SIGCONT);
  ExpectWhole(pending.get());
}

struct network_fault {
  const char* name;
  const char* switches;
};

class network_process_test : public streams_process_test,
                             public testing::WithParamInterface<network_fault> {};

// Guards against a stream that hangs, is cut, or is run again when something between entry and
// agent forgets or closes the connection while new ones work.
TEST_P(network_process_test, StreamIsResumedOnANewConnection) {
  auto pending = StartStream("entry-0");
  const std::string agent = BusyAgent();
  const std::string engine = agent.substr(std::string("agent-").size());
  const std::int64_t before = Counter(system(), engine, "completions");
  system().Control("relay-" + agent, GetParam().switches);
  ExpectWhole(pending.get());
  EXPECT_EQ(Counter(system(), engine, "completions"), before);
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         network_process_test,
                         testing::Values(network_fault{"silence", R"({"silence": true})"},
                                         network_fault{"cut", R"({"cut": true})"}),
                         [](const auto& info) { return info.param.name; });

// Guards against losing the rest of a stream with the entry: the caller goes on at another one.
TEST_F(streams_process_test, CallerResumesAtAnotherEntry) {
  const auto whole = system().Call("entry-0", DraftRequest("p", kTokens, true), kPatience);
  ASSERT_TRUE(whole.has_value());
  // Takes the id of the tenth event, as a caller that lost its entry there would hold it.
  std::size_t position = 0;
  for (int i = 0; i < 10; ++i)
    position = whole.value().body.find("id: ", position + 1);
  const std::size_t end = whole.value().body.find('\n', position);
  const std::size_t next = whole.value().body.find("id: ", end);
  system().Process("entry-0").Kill();
  http_request resume = DraftRequest("p", kTokens, true);
  resume.headers.Set(kLastEventIdField,
                     whole.value().body.substr(position + 4, end - position - 4));
  const auto rest = system().Call("entry-1", resume, kPatience);
  ASSERT_TRUE(rest.has_value());
  EXPECT_EQ(TokensOf(whole.value().body.substr(0, next)) + TokensOf(rest.value().body), expected_);
}

// Guards against an entry that cuts its streams when it shuts down.
TEST_F(streams_process_test, EntryShutdownCutsNoStream) {
  auto pending = StartStream("entry-0");
  system().Process("entry-0").Signal(SIGTERM);
  ExpectWhole(pending.get());
  EXPECT_EQ(system().Process("entry-0").WaitFor(kPatience), 0);
  EXPECT_FALSE(system().Call("entry-0", DraftRequest("p", 1, false)).has_value());
}

// Guards against callers that are sent to an entry that shuts down.
TEST_F(streams_process_test, LookupStopsNamingALeavingEntry) {
  auto pending = StartStream("entry-0");
  system().Process("entry-0").Signal(SIGTERM);
  const std::string address = system().AddressOf("entry-0").address;
  EXPECT_TRUE(deployment::WaitUntil(
      [&] {
        const auto listed =
            system().Call("entry-1", {"GET", "/lookup?service=quince-drafts", {}, {}});
        return listed && listed.value().body.find("\"" + address + "\"") == std::string::npos;
      },
      kPatience));
  ExpectWhole(pending.get());
}

// Guards against an agent that cuts its streams when it shuts down, or takes new ones.
TEST_F(streams_process_test, AgentShutdownCutsNoStream) {
  auto pending = StartStream("entry-0");
  const std::string agent = BusyAgent();
  system().Process(agent).Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(100));
  const std::string engine = agent.substr(std::string("agent-").size());
  const std::int64_t before = Counter(system(), engine, "completions");
  for (int i = 0; i < 6; ++i)
    ExpectWhole(system().Call("entry-1", DraftRequest("p", kTokens, true), kPatience));
  ExpectWhole(pending.get());
  EXPECT_EQ(Counter(system(), engine, "completions"), before);
  EXPECT_EQ(system().Process(agent).WaitFor(kPatience), 0);
}

// Guards against giving a caller a part of an answer as the whole when its engine dies.
TEST_F(streams_process_test, KilledEngineNeverLooksWhole) {
  auto pending = StartStream("entry-0");
  const std::string agent = BusyAgent();
  system().Process(agent.substr(std::string("agent-").size())).Kill();
  const auto answer = pending.get();
  if (answer) {
    EXPECT_EQ(TokensOf(answer.value().body), expected_);
  }
}

// Guards against mixing up the answers of requests that run at the same time.
TEST_F(streams_process_test, EachCallerGetsItsOwnAnswer) {
  std::vector<std::pair<std::string, std::future<result<http_response>>>> calls;
  for (int i = 0; i < 12; ++i) {
    const std::string prompt = "prompt " + std::to_string(i);
    const std::string entry = "entry-" + std::to_string(i % 3);
    calls.emplace_back(prompt, std::async(std::launch::async, [this, prompt, entry] {
                         return CallUntilServed(entry, DraftRequest(prompt, 20, true));
                       }));
  }
  for (auto& [prompt, call] : calls) {
    const auto streamed = call.get();
    ASSERT_TRUE(streamed.has_value());
    ASSERT_EQ(streamed.value().status, 200) << streamed.value().body;
    const auto alone = CallUntilServed("entry-0", DraftRequest(prompt, 20, false));
    ASSERT_TRUE(alone.has_value());
    ASSERT_EQ(alone.value().status, 200) << alone.value().body;
    EXPECT_EQ(TokensOf(streamed.value().body), TokensOf(alone.value().body));
  }
}

}  // namespace
}  // namespace quincebank
