// Failure domains that leave and return, leaving hosts and cold starts, through the running system.

#include <csignal>

#include "process_test.h"

namespace quincebank {
namespace {

class domains_process_test : public process_test {
 protected:
  int Tool(const std::string& command, const std::string& domain, bool offer) {
    std::vector<std::string> arguments{command, "--kv=" + ToString(system().AddressOf("kv")),
                                       "--author=ops", "--team=platform", domain};
    if (offer)
      arguments.push_back("--hosts=" + ToString(system().AddressOf("hosts")));
    return system().RunTool(arguments, &output_);
  }

  void SendDrafts(int count) {
    for (int i = 0; i < count; ++i) {
      const auto answer = system().Call("entry-" + std::to_string(i % 3),
                                        DraftRequest("p" + std::to_string(i), 2, false), kPatience);
      ASSERT_TRUE(answer.has_value());
      EXPECT_EQ(answer.value().status, 200) << answer.value().body;
    }
  }

  std::int64_t Completions(const std::string& engine) {
    return Counter(system(), engine, "completions");
  }

  std::string output_;
};

// Guards against new work in a failure domain that was taken out, and against lost requests.
TEST_F(domains_process_test, DrainedDomainGetsNoWorkAndReturns) {
  StartSystem();
  SendDrafts(12);
  ASSERT_EQ(Tool("drain", "qc-east-b", true), 0) << output_;
  const std::int64_t before = Completions("drafts-1");
  SendDrafts(24);
  EXPECT_EQ(Completions("drafts-1"), before);
  ASSERT_EQ(Tool("return", "qc-east-b", true), 0) << output_;
  EXPECT_TRUE(deployment::WaitUntil(
      [&] {
        SendDrafts(12);
        return Completions("drafts-1") > before;
      },
      kPatience));
}

// Guards against a drain that reaches only nodes that can read the key-value service.
TEST_F(domains_process_test, DrainHoldsWithTheServiceDownRightAfterTheWrite) {
  StartSystem();
  ASSERT_EQ(Tool("drain", "qc-east-c", true), 0) << output_;
  system().Control("kv", R"({"down": true})");
  const std::int64_t before = Completions("drafts-2");
  SendDrafts(24);
  EXPECT_EQ(Completions("drafts-2"), before);
}

// Guards against a change that only the direct offer spreads: without it, watchers and peers do.
TEST_F(domains_process_test, DrainSpreadsWithoutOffers) {
  StartSystem();
  ASSERT_EQ(Tool("drain", "qc-east-a", false), 0) << output_;
  EXPECT_TRUE(deployment::WaitUntil(
      [&] {
        std::string status;
        (void)system().RunTool({"status", "--hosts=" + ToString(system().AddressOf("hosts"))},
                               &status);
        return status.find("config 1 ") == std::string::npos;
      },
      kPatience));
  const std::int64_t before = Completions("drafts-0");
  SendDrafts(12);
  EXPECT_EQ(Completions("drafts-0"), before);
}

// Guards against new work through an entry that was paused while its failure domains changed: the
// agents refuse it.
TEST_F(domains_process_test, PausedEntryBringsNoWorkToADrainedDomain) {
  StartSystem();
  SendDrafts(6);
  system().Process("entry-0").Signal(SIGSTOP);
  ASSERT_EQ(Tool("drain", "qc-east-a", true), 0) << output_;
  const std::int64_t before = Completions("drafts-0");
  system().Process("entry-0").Signal(SIGCONT);
  for (int i = 0; i < 12; ++i) {
    const auto answer = system().Call("entry-0", DraftRequest("q" + std::to_string(i), 2, false));
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer.value().status, 200) << answer.value().body;
  }
  EXPECT_EQ(Completions("drafts-0"), before);
}

// Guards against an unknown failure domain that is taken for a success.
TEST_F(domains_process_test, UnknownDomainIsRefused) {
  StartSystem();
  EXPECT_EQ(Tool("drain", "qc-west", true), 2);
  EXPECT_NE(output_.find("qc-west"), std::string::npos);
}

// Guards against new work on a host that the host list shows as leaving.
TEST_F(domains_process_test, LeavingHostGetsNoNewWork) {
  StartSystem();
  SendDrafts(6);
  system().SetLeaving("agent-drafts-1");
  ASSERT_TRUE(deployment::WaitUntil(
      [&] {
        for (const std::string& entry : system().entries()) {
          const auto ready = system().Call(entry, {"GET", "/readyz", {}, {}});
          if (!ready || ready.value().body.find(R"("quince-drafts":{"upstreams":3,"usable":2,)") ==
                            std::string::npos) {
            return false;
          }
        }
        return true;
      },
      kPatience));
  const std::int64_t before = Completions("drafts-1");
  SendDrafts(24);
  EXPECT_EQ(Completions("drafts-1"), before);
}

// Guards against a burst that crashes cold engines.
TEST_F(domains_process_test, BurstDoesNotCrashColdUpstreams) {
  deployment_plan plan;
  plan.engine_options = {"--token-ms=2", "--warm-after=20"};
  plan.warm_requests = 20;
  StartSystem(plan);
  std::vector<std::future<result<http_response>>> calls;
  calls.reserve(60);
  for (int i = 0; i < 60; ++i) {
    calls.push_back(CallLater(system(), "entry-" + std::to_string(i % 3),
                              DraftRequest("burst " + std::to_string(i), 10, true)));
  }
  for (auto& call : calls) {
    const auto answer = call.get();
    ASSERT_TRUE(answer.has_value());
    // A refusal is allowed, a false one or a crash is not.
    EXPECT_TRUE(answer.value().status == 200 || VerdictOf(answer) == "not-run")
        << answer.value().body;
  }
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(Counter(system(), "drafts-" + std::to_string(i), "crashes"), 0);
}

// Guards against a queued attempt that is admitted before its fiber waits for it: it would never
// start, and hold its slot until the deadline.
TEST_F(domains_process_test, QueuedAttemptsAllStart) {
  deployment_plan plan;
  plan.drafts = 1;
  plan.orders = 1;
  plan.cold_limit = 1;
  plan.full_limit = 3;
  plan.warm_requests = 2;
  plan.engine_options = {"--first-token-ms=1", "--token-ms=1", "--warm-after=0"};
  StartSystem(plan);
  SendDrafts(20);
  constexpr int kCallers = 24;
  constexpr int kCallsEach = 50;
  std::vector<std::future<int>> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::async(std::launch::async, [this, i] {
      int hung = 0;
      for (int call = 0; call < kCallsEach; ++call) {
        const auto answer =
            system().Call("entry-" + std::to_string(i % 3),
                          DraftRequest("q" + std::to_string(i), 1, false), kPatience);
        // A full queue may refuse; a deadline of 20 s is missed only by what never starts.
        hung += answer && (answer.value().status == 200 || answer.value().status == 503) ? 0 : 1;
      }
      return hung;
    }));
  }
  int hung = 0;
  for (auto& caller : callers)
    hung += caller.get();
  EXPECT_EQ(hung, 0);
}

// Guards against a full share for an engine that turned cold again.
TEST_F(domains_process_test, RebootedEngineStartsColdAgain) {
  deployment_plan plan;
  plan.drafts = 1;
  plan.orders = 1;
  plan.engine_options = {"--token-ms=2", "--warm-after=4"};
  StartSystem(plan);
  SendDrafts(40);
  system().Control("drafts-0", R"({"reboot": true})");
  std::vector<std::future<result<http_response>>> calls;
  calls.reserve(30);
  for (int i = 0; i < 30; ++i) {
    calls.push_back(CallLater(system(), "entry-" + std::to_string(i % 3),
                              DraftRequest("again " + std::to_string(i), 10, false)));
  }
  for (auto& call : calls)
    (void)call.get();
  EXPECT_EQ(Counter(system(), "drafts-0", "crashes"), 0);
}

}  // namespace
}  // namespace quincebank
