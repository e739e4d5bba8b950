// Limits that follow the pace of running streams.

#include "process_test.h"

namespace quincebank {
namespace {

constexpr int kColdLimit = 2;
constexpr int kStreams = 4;

class progress_process_test : public process_test {
 protected:
  std::int64_t Load(const std::string& member) {
    const auto ready = system().Call("agent-drafts-0", {"GET", "/readyz", {}, {}});
    const auto parsed =
        ready ? ParseJson(ready.value().body) : result<boost::json::value>(ready.error());
    return parsed ? parsed.value().at("load").at(member).to_number<std::int64_t>() : -1;
  }

  double Served() {
    const std::string name = R"(quincebank_agent_attempts_total{outcome="served"} )";
    const auto metrics = system().Call("agent-drafts-0", {"GET", "/metrics", {}, {}});
    const std::size_t at = metrics ? metrics.value().body.find(name) : std::string::npos;
    return at == std::string::npos ? -1 : std::stod(metrics.value().body.substr(at + name.size()));
  }

  std::vector<std::future<result<http_response>>> SendDrafts(int count, int tokens) {
    std::vector<std::future<result<http_response>>> calls;
    calls.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      const std::string prompt = "prompt " + std::to_string(i);
      calls.push_back(CallLater(system(), "entry-0", DraftRequest(prompt, tokens, true)));
    }
    return calls;
  }
};

// Guards against a limit that stays where it is while an upstream's tokens slow down, until the
// first request has finished.
TEST_F(progress_process_test, SlowTokensLowerTheLimitBeforeARequestFinishes) {
  deployment_plan plan;
  plan.entries = 1;
  plan.drafts = 1;
  plan.orders = 1;
  plan.cold_limit = kColdLimit;
  plan.warm_requests = 3;
  plan.engine_options = {"--token-ms=5", "--warm-after=3"};
  StartSystem(plan);
  ASSERT_TRUE(deployment::WaitUntil(
      [&] {
        for (auto& call : SendDrafts(2 * kStreams, 2))
          (void)call.get();
        return Load("limit") > kStreams;
      },
      kPatience));
  constexpr int kTokens = 1'000;
  auto streams = SendDrafts(kStreams, kTokens);
  ASSERT_TRUE(
      deployment::WaitUntil([&] { return Counter(system(), "drafts-0", "running") == kStreams; }));
  const double served = Served();
  system().Control("drafts-0", R"({"token_ms": 1000})");
  EXPECT_TRUE(deployment::WaitUntil([&] { return Load("limit") <= kColdLimit; }, seconds(10)));
  EXPECT_EQ(Served(), served);
  EXPECT_EQ(Load("in_flight"), kStreams);
  system().Control("drafts-0", R"({"token_ms": 0})");
  for (auto& call : streams) {
    const auto answer = call.get();
    ASSERT_TRUE(answer.has_value());
    EXPECT_NE(answer.value().body.find("[DONE]"), std::string::npos);
  }
}

}  // namespace
}  // namespace quincebank
