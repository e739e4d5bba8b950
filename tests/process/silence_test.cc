// Repeatable requests whose agent falls silent before the first byte of the answer.

#include "process_test.h"

namespace quincebank {
namespace {

constexpr int kTokens = 100;

struct silence_case {
  const char* name;
  int drafts;
  int requests;  ///< At once; the retry budget of an entry starts with 20 tokens.
};

class silence_process_test : public process_test, public testing::WithParamInterface<silence_case> {
 protected:
  std::int64_t Running() {
    std::int64_t running = 0;
    for (int i = 0; i < GetParam().drafts; ++i)
      running += Counter(system(), "drafts-" + std::to_string(i), "running");
    return running;
  }
};

// Guards against requests that an entry gives up because an agent is silent, although no other
// agent takes them over and the silent one goes on with them.
TEST_P(silence_process_test, RequestsAreServed) {
  deployment_plan plan;
  plan.entries = 1;
  plan.drafts = GetParam().drafts;
  plan.orders = 1;
  plan.relays = true;
  plan.cold_limit = plan.full_limit = 64;
  // The whole answer comes after the silence has been noticed.
  plan.engine_options = {"--token-ms=50"};
  StartSystem(plan);
  std::vector<std::future<result<http_response>>> calls;
  calls.reserve(static_cast<std::size_t>(GetParam().requests));
  for (int i = 0; i < GetParam().requests; ++i)
    calls.push_back(
        CallLater(system(), "entry-0", DraftRequest("p" + std::to_string(i), kTokens, false)));
  ASSERT_TRUE(
      deployment::WaitUntil([&] { return Running() == GetParam().requests; }, milliseconds(2'000)));
  for (int i = 0; i < GetParam().drafts; ++i)
    system().Control("relay-agent-drafts-" + std::to_string(i), R"({"silence": true})");
  for (auto& call : calls) {
    const auto answer = call.get();
    ASSERT_TRUE(answer.has_value()) << answer.error().message;
    EXPECT_EQ(answer.value().status, 200) << answer.value().body;
  }
}

INSTANTIATE_TEST_SUITE_P(Agents,
                         silence_process_test,
                         testing::Values(silence_case{"alone", 1, 1},
                                         silence_case{"budget_used_up", 2, 40}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace quincebank
