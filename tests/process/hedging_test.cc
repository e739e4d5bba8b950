// Second copies of slow requests through the running system.

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <map>
#include <thread>

#include "process_test.h"
#include "quincebank/base/random.h"
#include "quincebank/idempotency/timed_attempt.h"
#include "quincebank/rpc/rpc_client.h"

namespace quincebank {
namespace {

constexpr int kTokens = 12;
constexpr int kEngines = 3;

/// Value of a metric, its labels included in the name; 0 if it is absent.
double MetricOf(deployment& system, const std::string& process, const std::string& name) {
  const auto metrics = system.Call(process, {"GET", "/metrics", {}, {}});
  const std::size_t at = metrics ? metrics.value().body.find("\n" + name + " ") : std::string::npos;
  return at == std::string::npos ? 0 : std::stod(metrics.value().body.substr(at + name.size() + 2));
}

class hedging_process_test : public process_test {
 protected:
  void StartWith(const std::string& hedging) {
    deployment_plan plan;
    plan.entries = 2;
    plan.drafts = kEngines;
    plan.orders = 1;
    plan.cold_limit = 1;
    plan.warm_requests = 3;
    plan.engine_options = {"--token-ms=5", "--warm-after=3"};
    plan.hedging = hedging;
    StartSystem(plan);
    // Engines of different variants, so that a mixed answer equals none of theirs.
    for (int i = 0; i < kEngines; ++i)
      system().Control(Engine(i), R"({"variant": )" + std::to_string(i + 1) + "}");
    WarmUp();
    // On a busy machine a request of the warm-up may be slow as well.
    for (const char* what : {"sent", "won", "refused"})
      before_[what] = Total(what);
  }

  static std::string Engine(int index) { return "drafts-" + std::to_string(index); }

  bool IsCold(int index) {
    const auto ready = system().Call("agent-" + Engine(index), {"GET", "/readyz", {}, {}});
    return !ready || ready.value().body.find(R"("cold":true)") != std::string::npos;
  }

  /// A hedge needs a warm upstream and latencies to compare with.
  void WarmUp() {
    constexpr int kLeast = 40;
    constexpr int kMost = 400;
    for (int round = 0; round < kMost; ++round) {
      bool cold = false;
      for (int i = 0; i < kEngines; ++i)
        cold = cold || IsCold(i);
      if (round >= kLeast && !cold)
        return;
      // Several at once, so that each engine gets some.
      std::vector<std::future<result<http_response>>> calls;
      for (int i = 0; i < kEngines; ++i) {
        const std::string prompt = "warm-up " + std::to_string(round * kEngines + i);
        calls.push_back(CallLater(system(), "entry-0", DraftRequest(prompt, 1, true)));
      }
      for (auto& call : calls)
        (void)call.get();
    }
    FAIL() << "an engine stays cold";
  }

  /// Repeats a request that was refused as "not run": after the warm-up the entry may hold back.
  result<http_response> Serve(const http_request& request) {
    result<http_response> answer = system().Call("entry-0", request, kPatience);
    for (int i = 0; i < 100 && VerdictOf(answer) == "not-run"; ++i) {
      std::this_thread::sleep_for(milliseconds(50));
      answer = system().Call("entry-0", request, kPatience);
    }
    return answer;
  }

  /// Sends the prompt and tells which engine served it. Its prompt cache attracts later requests.
  int EngineOf(const std::string& prompt) {
    std::vector<std::int64_t> before;
    before.reserve(kEngines);
    for (int i = 0; i < kEngines; ++i)
      before.push_back(Counter(system(), Engine(i), "completions"));
    (void)Serve(DraftRequest(prompt, 1, true));
    for (int i = 0; i < kEngines; ++i) {
      if (Counter(system(), Engine(i), "completions") > before[static_cast<std::size_t>(i)])
        return i;
    }
    return -1;
  }

  void Stall(int engine, int stall_ms) {
    system().Control(Engine(engine), R"({"stall_ms": )" + std::to_string(stall_ms) + "}");
  }

  /// What the engine answers when asked directly.
  std::string AnswerOf(int engine, const std::string& prompt) {
    http_request direct = DraftRequest(prompt, kTokens, true);
    direct.target = "/v1/completions";
    const auto answer = system().Call(Engine(engine), direct, kPatience);
    return answer ? TokensOf(answer.value().body) : "";
  }

  double Total(const std::string& what) {
    return MetricOf(system(), "entry-0", "quincebank_hedges_" + what + "_total");
  }
  /// Hedges since the warm-up.
  double Hedges(const std::string& what) { return Total(what) - before_[what]; }

 private:
  std::map<std::string, double> before_;
};

constexpr const char* kHedging =
    R"({"enabled": true, "quantile_percent": 90, "min_samples": 20, "min_delay_ms": 50})";

// Guards against callers that wait for a slow engine while others are idle, and against a second
// copy that goes on or keeps its place after it has lost.
TEST_F(hedging_process_test, SlowEngineIsHedgedAndTheLoserIsCancelled) {
  StartWith(kHedging);
  const int slow = EngineOf("p");
  ASSERT_GE(slow, 0);
  const std::string agent = "agent-" + Engine(slow);
  const std::string cancelled = R"(quincebank_agent_attempts_total{outcome="cancelled"})";
  const double agent_before = MetricOf(system(), agent, cancelled);
  const std::int64_t engine_before = Counter(system(), Engine(slow), "cancelled");
  Stall(slow, 5'000);
  const auto answer = Serve(DraftRequest("p", kTokens, true));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer.value().status, 200);
  EXPECT_EQ(VerdictOf(answer), "ran");
  EXPECT_NE(answer.value().body.find("[DONE]"), std::string::npos);
  EXPECT_EQ(Hedges("sent"), 1);
  // Counted after the caller has the last byte.
  EXPECT_TRUE(deployment::WaitUntil([&] { return Hedges("won") > 0; }));
  EXPECT_EQ(Hedges("won"), 1);
  EXPECT_TRUE(deployment::WaitUntil([&] {
    return MetricOf(system(), agent, cancelled) == agent_before + 1 &&
           MetricOf(system(), agent, "quincebank_agent_in_flight") == 0;
  }));
  EXPECT_EQ(Counter(system(), Engine(slow), "running"), 0);
  EXPECT_EQ(Counter(system(), Engine(slow), "cancelled"), engine_before + 1);
  Stall(slow, 0);
  const std::string tokens = TokensOf(answer.value().body);
  EXPECT_NE(tokens, AnswerOf(slow, "p"));
  EXPECT_TRUE(tokens == AnswerOf((slow + 1) % kEngines, "p") ||
              tokens == AnswerOf((slow + 2) % kEngines, "p"));
}

// Guards against a decision on a second copy that can't be explained or computed again.
TEST_F(hedging_process_test, RecordNamesBothCopiesAndIsReproduced) {
  StartWith(kHedging);
  const int slow = EngineOf("p");
  ASSERT_GE(slow, 0);
  Stall(slow, 5'000);
  const auto answer = Serve(DraftRequest("p", kTokens, true));
  ASSERT_TRUE(answer.has_value());
  const std::string request(answer.value().headers.Get(kRequestField));
  // The request is recorded after the caller has the last byte.
  EXPECT_TRUE(deployment::WaitUntil([&] { return Hedges("won") > 0; }));
  std::string output;
  EXPECT_EQ(
      system().RunTool({"explain", "--entry=" + ToString(system().AddressOf("entry-0")), request},
                       &output),
      0);
  EXPECT_NE(output.find(R"("sent":true,"reason":"send")"), std::string::npos) << output;
  EXPECT_NE(output.find("recomputed: same decision"), std::string::npos) << output;
  EXPECT_NE(output.find(R"("won":true)"), std::string::npos) << output;
  const auto records = system().Call("entry-0", {"GET", "/records?request=" + request, {}, {}});
  ASSERT_TRUE(records.has_value());
  const auto parsed = ParseJson(records.value().body);
  ASSERT_TRUE(parsed.has_value());
  boost::json::object outcome;
  std::string lines;
  for (const boost::json::value& record : parsed.value().at("records").as_array()) {
    lines += boost::json::serialize(record) + "\n";
    if (record.at("kind") == "hedge")
      outcome = record.at("outcome").as_object();
  }
  const auto agent = [&](int engine) {
    return boost::json::value(ToString(system().AddressOf("agent-" + Engine(engine))));
  };
  ASSERT_TRUE(outcome.contains("second")) << lines;
  EXPECT_EQ(outcome.at("first").at("agent"), agent(slow));
  const boost::json::value& second = outcome.at("second").at("agent");
  EXPECT_TRUE(second == agent((slow + 1) % kEngines) || second == agent((slow + 2) % kEngines));
  const std::string file = system().folder() + "/records.jsonl";
  std::ofstream(file) << lines;
  EXPECT_EQ(system().RunTool({"replay", file}, &output), 0);
  EXPECT_NE(output.find(" decisions the same, 0 different"), std::string::npos) << output;
}

// Guards against a second copy of work that may run only once.
TEST_F(hedging_process_test, OrderIsNeverHedged) {
  StartWith(kHedging);
  const int slow = EngineOf("p");
  ASSERT_GE(slow, 0);
  Stall(slow, 200);
  std::int64_t before = 0;
  for (int i = 0; i < kEngines; ++i)
    before += Counter(system(), Engine(i), "completions");
  for (const bool keyed : {false, true}) {
    http_request once = DraftRequest("p", 3, true);
    once.target += "/once";
    if (keyed) {
      once.headers.Set(kIdempotencyKeyField, "key-of-one-booking");
      once.headers.Set(kFirstSendField, "true");
    }
    const auto answer = Serve(once);
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer.value().status, 200) << answer.value().body;
  }
  std::int64_t after = 0;
  for (int i = 0; i < kEngines; ++i)
    after += Counter(system(), Engine(i), "completions");
  EXPECT_EQ(after, before + 2);
  EXPECT_EQ(Hedges("sent"), 0);
}

// Guards against second copies that multiply an overload when everything is slow.
TEST_F(hedging_process_test, NoHedgeWithoutBudget) {
  constexpr int kSlowRequests = 45;
  StartWith(R"({"enabled": true, "quantile_percent": 50, "min_samples": 20, "min_delay_ms": 30})");
  for (int i = 0; i < kEngines; ++i)
    Stall(i, 150);
  for (int i = 0; i < kSlowRequests; ++i) {
    const auto answer = Serve(DraftRequest("p", 1, true));
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer.value().status, 200);
  }
  // The budget saves up 20 tokens and gets a tenth for each request.
  EXPECT_GE(Hedges("sent"), 10);
  EXPECT_LE(Hedges("sent"), 20 + kSlowRequests / 10);
  EXPECT_GE(Hedges("refused"), 10);
}

// Guards against an answer that is put together from two copies, at once or on resumption, when
// both give their first byte at about the same time.
TEST_F(hedging_process_test, AnswersAreNeverMixed) {
  StartWith(kHedging);
  for (int stall = 10; stall <= 100; stall += 5) {
    // The winner holds the prompt afterwards, so each round needs a prompt of its own.
    const std::string prompt = "prompt " + std::to_string(stall);
    const int slow = EngineOf(prompt);
    ASSERT_GE(slow, 0);
    std::vector<std::string> whole;
    whole.reserve(kEngines);
    for (int i = 0; i < kEngines; ++i)
      whole.push_back(AnswerOf(i, prompt));
    Stall(slow, stall);
    const auto answer = Serve(DraftRequest(prompt, kTokens, true));
    ASSERT_TRUE(answer.has_value());
    ASSERT_EQ(answer.value().status, 200);
    const std::string& body = answer.value().body;
    EXPECT_EQ(std::count(whole.begin(), whole.end(), TokensOf(body)), 1) << stall;
    // Goes on at the other entry after the third event.
    std::size_t position = 0;
    for (int i = 0; i < 3; ++i)
      position = body.find("id: ", position + 1);
    ASSERT_NE(position, std::string::npos);
    const std::size_t end = body.find('\n', position);
    http_request resume = DraftRequest(prompt, kTokens, true);
    resume.headers.Set(kLastEventIdField, body.substr(position + 4, end - position - 4));
    const auto rest = system().Call("entry-1", resume, kPatience);
    ASSERT_TRUE(rest.has_value());
    const std::size_t next = body.find("id: ", end);
    EXPECT_EQ(TokensOf(body.substr(0, next)) + TokensOf(rest.value().body), TokensOf(body));
    Stall(slow, 0);
  }
  EXPECT_GE(Hedges("sent"), 3);
}

// Guards against second copies that operators have not asked for.
TEST_F(hedging_process_test, ConfigurationTurnsHedgingOff) {
  StartWith(R"({"enabled": false})");
  const int slow = EngineOf("p");
  ASSERT_GE(slow, 0);
  Stall(slow, 300);
  const auto answer = Serve(DraftRequest("p", 2, true));
  ASSERT_TRUE(answer.has_value());
  Stall(slow, 0);
  EXPECT_EQ(Hedges("sent"), 0);
  EXPECT_TRUE(AnswerOf(slow, "p").starts_with(TokensOf(answer.value().body)));
}

struct refused_cancel {
  const char* name;
  const char* path;
  bool other_incarnation;
  const char* message;
};

class cancel_process_test : public hedging_process_test,
                            public testing::WithParamInterface<refused_cancel> {};

// Guards against a cancellation that ends work which may run only once, or that was meant for
// another incarnation of the agent.
TEST_P(cancel_process_test, IsRefused) {
  StartWith(R"({"enabled": false})");
  const endpoint agent = system().AddressOf("agent-" + Engine(0));
  Stall(0, 300);
  fiber_thread thread("test-rpc");
  std::string incarnation;
  result<boost::json::value> answer = MakeError(error_code::kInternal, "not called");
  thread.RunAndWait([&] {
    http_client http(thread);
    rpc_client rpc(http);
    const auto status = rpc.Call(agent, "agent.status", {}, kPatience);
    ASSERT_TRUE(status.has_value());
    incarnation = status.value().get_object().at("incarnation").get_string().c_str();
  });
  random_source random(1);
  const std::string attempt = ToString(NewTimedAttemptId(random, std::chrono::system_clock::now()));
  http_request request = DraftRequest("p", 2, true);
  request.target = std::string("/attempt") + GetParam().path;
  request.headers.Set(kAttemptField, attempt);
  request.headers.Set(kIncarnationField, incarnation);
  if (GetParam().other_incarnation)
    request.headers.Set(kRepeatableField, "true");
  auto pending = CallLater(system(), "agent-" + Engine(0), request);
  ASSERT_TRUE(deployment::WaitUntil([&] { return Counter(system(), Engine(0), "running") == 1; }));
  const std::int64_t cancelled = Counter(system(), Engine(0), "cancelled");
  const std::string named = GetParam().other_incarnation ? "0000000000000001" : incarnation;
  thread.RunAndWait([&] {
    http_client http(thread);
    rpc_client rpc(http);
    answer = rpc.Call(agent, "agent.cancel_attempt", {{"attempt", attempt}, {"incarnation", named}},
                      kPatience);
  });
  ASSERT_FALSE(answer.has_value());
  EXPECT_NE(answer.error().message.find(GetParam().message), std::string::npos)
      << answer.error().message;
  const auto whole = pending.get();
  ASSERT_TRUE(whole.has_value());
  EXPECT_NE(whole.value().body.find("event: end"), std::string::npos) << whole.value().body;
  EXPECT_EQ(Counter(system(), Engine(0), "cancelled"), cancelled);
}

INSTANTIATE_TEST_SUITE_P(
    Cancels,
    cancel_process_test,
    testing::Values(refused_cancel{"order", "/v1/completions/once", false, "not repeatable"},
                    refused_cancel{"incarnation", "/v1/completions", true, "another incarnation"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace quincebank
