// What operators and callers see: refusals, races on the document, metrics, burn report, replay.

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <fstream>

#include "process_test.h"
#include "quincebank/base/ids.h"

namespace quincebank {
namespace {

class operators_process_test : public process_test {
 protected:
  int Tool(std::vector<std::string> arguments) {
    arguments.push_back("--kv=" + ToString(system().AddressOf("kv")));
    arguments.push_back("--hosts=" + ToString(system().AddressOf("hosts")));
    return system().RunTool(arguments, &output_);
  }
  std::string WriteDocument(const std::string& name, const std::string& text) {
    std::string path = system().folder() + "/" + name;
    std::ofstream(path) << text;
    return path;
  }

  /// Returns the document with another routing policy for one service.
  static std::string WithPolicy(const std::string& document,
                                const std::string& service,
                                const std::string& policy) {
    boost::json::value edited = ParseJson(document).value();
    boost::json::object& section = edited.as_object()["services"].as_object();
    for (boost::json::value& one : section["services"].as_array()) {
      if (std::string_view(one.as_object()["name"].as_string()) == service)
        one.as_object()["policy"] = policy;
    }
    return boost::json::serialize(edited);
  }

  /// Returns all decision records of an entry, a line each.
  std::string RecordLines(const std::string& entry) {
    const auto records = system().Call(entry, {"GET", "/records?since=0", {}, {}});
    const auto parsed = ParseJson(records ? records.value().body : "{}");
    std::string lines;
    for (const auto& record : parsed.value().as_object().at("records").as_array())
      lines += boost::json::serialize(record) + "\n";
    return lines;
  }

  std::string output_;
};

struct bad_request {
  const char* name;
  http_request request;
  int status;
};

class bad_request_process_test : public operators_process_test {};

// Guards against bad input that crashes an entry, gets no verdict, or reaches an upstream.
TEST_F(bad_request_process_test, GetsAnErrorWithItsVerdict) {
  StartSystem();
  const std::string workspace(kWorkspaceField);
  std::string oversized;
  oversized.resize(std::size_t{9} << 20U, 'x');
  const std::vector<bad_request> cases{
      {"unknown service", {"POST", "/services/none/orders", {{workspace, "cafe-nord"}}, "{}"}, 404},
      {"unknown route", {"PUT", "/services/order-desk/x", {{workspace, "cafe-nord"}}, "{}"}, 404},
      {"unknown workspace", {"POST", "/services/order-desk/orders", {{workspace, "no"}}, ""}, 400},
      {"no workspace", {"POST", "/services/order-desk/orders", {}, ""}, 400},
      {"bad priority",
       {"POST",
        "/services/order-desk/orders",
        {{workspace, "cafe-nord"}, {std::string(kPriorityField), "11"}},
        ""},
       400},
      {"bad deadline",
       {"POST",
        "/services/order-desk/orders",
        {{workspace, "cafe-nord"}, {std::string(kDeadlineField), "soon"}},
        ""},
       400},
      {"empty key",
       {"POST",
        "/services/order-desk/orders",
        {{workspace, "cafe-nord"}, {std::string(kIdempotencyKeyField), ""}},
        ""},
       400},
      {"bad locator",
       {"POST",
        "/services/quince-drafts/v1/completions",
        {{workspace, "cafe-nord"}, {std::string(kLastEventIdField), "17"}},
        ""},
       400},
      {"dot segments",
       {"POST", "/services/order-desk/orders/../admin", {{workspace, "cafe-nord"}}, ""},
       400},
      {"encoded dot segments",
       {"POST", "/services/order-desk/orders/%2e%2e/admin", {{workspace, "cafe-nord"}}, ""},
       400},
      {"method without a body",
       {"TRACE", "/services/order-desk/orders", {{workspace, "cafe-nord"}}, ""},
       400},
      {"unknown path", {"GET", "/nothing", {}, ""}, 404},
      {"unknown look-up", {"GET", "/lookup?service=none", {}, ""}, 404},
      {"oversized body", {"POST", "/services/order-desk/orders", {}, oversized}, 413},
  };
  for (const bad_request& wrong : cases) {
    const auto answer = system().Call("entry-0", wrong.request, kPatience);
    ASSERT_TRUE(answer.has_value()) << wrong.name << ": " << answer.error().message;
    EXPECT_EQ(answer.value().status, wrong.status) << wrong.name << answer.value().body;
    EXPECT_EQ(VerdictOf(answer), "not-run") << wrong.name;
    EXPECT_NE(answer.value().body.find("\"verdict\""), std::string::npos) << wrong.name;
  }
  // The entry still serves.
  EXPECT_EQ(system().Call("entry-0", OrderRequest("o1", "k1")).value().status, 201);
}

/// UUIDv7 that was issued some time ago.
std::string KeyIssued(std::chrono::minutes ago) {
  const auto issued = std::chrono::system_clock::now() - ago;
  const auto ms = std::chrono::duration_cast<milliseconds>(issued.time_since_epoch()).count();
  const std::string digits = ToString(incarnation{static_cast<std::uint64_t>(ms)});
  return digits.substr(4, 8) + "-" + digits.substr(12) + "-7abc-8def-0123456789ab";
}

// Guards against a retention in the document that does not reach the entries, and against a key
// that runs again once its claim is beyond a shorter retention.
TEST_F(operators_process_test, AShorterClaimRetentionKeepsOldKeysFromRunning) {
  StartSystem();
  const std::string key = KeyIssued(std::chrono::minutes(150));
  ASSERT_EQ(system().Call("entry-0", OrderRequest("o1", key)).value().status, 201);
  EXPECT_EQ(system().Call("entry-1", OrderRequest("o1", key)).value().status, 201);
  ASSERT_EQ(Tool({"export"}), 0);
  std::string shorter = output_;
  const std::string named = R"("name":"order-desk")";
  const std::size_t desk = shorter.find(named);
  ASSERT_NE(desk, std::string::npos) << shorter;
  shorter.insert(desk + named.size(), R"(,"claim_retention_ms":3600000)");
  ASSERT_EQ(Tool({"apply", "--author=ana", "--team=services", "--force",
                  WriteDocument("shorter.json", shorter)}),
            0)
      << output_;
  for (const char* const entry : {"entry-0", "entry-1", "entry-2"}) {
    EXPECT_TRUE(deployment::WaitUntil(
        [&] { return VerdictOf(system().Call(entry, OrderRequest("o1", key))) == "may-have-run"; },
        kPatience));
  }
  EXPECT_EQ(RunsOf(system(), 3, "o1"), 1);
  // One of the entries writes the floor with its next sweep.
  EXPECT_TRUE(deployment::WaitUntil(
      [&] {
        const auto floor = system().Call("kv", {"GET", "/v1/kv/claims/floor", {}, ""});
        return floor.has_value() && floor.value().status == 200;
      },
      kPatience));
}

// Guards against section bodies that pile up in the key-value service, and against erasing one that
// is in force.
TEST_F(operators_process_test, OldSectionBodiesAreErased) {
  constexpr int kGraceVersions = 32;
  deployment_plan plan;
  plan.drafts = plan.orders = 1;
  StartSystem(plan);
  std::int64_t settled = 0;
  for (int i = 0; i < kGraceVersions + 8; ++i) {
    ASSERT_EQ(Tool({"export"}), 0) << output_;
    std::string changed = output_;
    const std::string weight = R"("name":"diner-sud","weight":)";
    const std::size_t at = changed.find(weight) + weight.size();
    changed.replace(at, changed.find('}', at) - at, std::to_string(100 + i));
    ASSERT_EQ(
        Tool({"apply", "--author=ana", "--team=accounts", WriteDocument("change.json", changed)}),
        0)
        << output_;
    if (i == kGraceVersions + 3)
      settled = Counter(system(), "kv", "keys");
  }
  EXPECT_EQ(Counter(system(), "kv", "keys"), settled);
  EXPECT_NE(output_.find("old section bodies erased: 1"), std::string::npos) << output_;
  EXPECT_EQ(Tool({"export"}), 0) << output_;
}

// Guards against a lost update when two operators change the same section, and against a refusal
// of changes that do not touch each other.
TEST_F(operators_process_test, RacingOperators) {
  StartSystem();
  ASSERT_EQ(Tool({"export"}), 0);
  const std::string exported = output_;
  std::string first = exported;
  first.replace(first.find("cafe-nord"), 9, "cafe-vert");
  std::string second = exported;
  second.replace(second.find("diner-sud"), 9, "diner-est");
  std::string third = exported;
  third.replace(third.find("\"availability\""), 14, "\"latency_percent\": 90, \"availability\"");
  const std::string one = WriteDocument("first.json", first);
  const std::string two = WriteDocument("second.json", second);
  EXPECT_EQ(Tool({"apply", "--author=ana", "--team=accounts", one}), 0) << output_;
  // The same section from the same base: the later change is refused, with the first author's name.
  EXPECT_EQ(Tool({"apply", "--author=bo", "--team=accounts", two}), 1) << output_;
  EXPECT_NE(output_.find("ana"), std::string::npos) << output_;
  // A section of another team is refused as well.
  ASSERT_EQ(Tool({"export"}), 0);
  std::string foreign = output_;
  foreign.replace(foreign.find("diner-sud"), 9, "diner-est");
  EXPECT_NE(Tool({"apply", "--author=cy", "--team=models", WriteDocument("cy.json", foreign)}), 0);
  ASSERT_EQ(Tool({"export"}), 0);
  EXPECT_NE(output_.find("cafe-vert"), std::string::npos);
  EXPECT_NE(output_.find("diner-sud"), std::string::npos);
}

// Guards against a node that goes back to an older version when it restarts.
TEST_F(operators_process_test, RestartedNodesComeBackToTheNewestVersion) {
  StartSystem();
  ASSERT_EQ(Tool({"drain", "--author=ops", "--team=platform", "qc-east-b"}), 0) << output_;
  for (const char* node : {"entry-0", "agent-drafts-1", "agent-orders-0"})
    system().Restart(node);
  EXPECT_TRUE(deployment::WaitUntil(
      [&] {
        return Tool({"status"}) == 0 && output_.find("unreachable") == std::string::npos &&
               output_.find("config 0") == std::string::npos;
      },
      kPatience))
      << output_;
  EXPECT_EQ(output_.find("config 1 "), std::string::npos) << output_;
}

// Guards against an entry that serves, or claims to, with a platform that is dead at its start, and
// against one that never comes back.
TEST_F(operators_process_test, EntryWaitsForADeadPlatform) {
  StartSystem();
  system().Control("kv", R"({"down": true})");
  system().Control("hosts", R"({"down": true})");
  system().Restart("entry-0");
  ASSERT_TRUE(deployment::WaitUntil(
      [&] {
        return system().Call("entry-0", {"GET", "/healthz", {}, {}}).has_value();
      },
      kPatience));
  const auto ready = system().Call("entry-0", {"GET", "/readyz", {}, {}});
  ASSERT_TRUE(ready.has_value());
  EXPECT_EQ(ready.value().status, 503);
  const auto order = system().Call("entry-0", OrderRequest("o1", "k1"), kPatience);
  ASSERT_TRUE(order.has_value());
  EXPECT_EQ(VerdictOf(order), "may-have-run");
  const auto draft = system().Call("entry-0", DraftRequest("p", 1, false), kPatience);
  ASSERT_TRUE(draft.has_value());
  EXPECT_EQ(draft.value().status, 503);
  EXPECT_EQ(VerdictOf(draft), "not-run");
  system().Control("kv", R"({"down": false})");
  system().Control("hosts", R"({"down": false})");
  EXPECT_TRUE(deployment::WaitUntil(
      [&] {
        const auto served = system().Call("entry-0", DraftRequest("p", 1, false), kPatience);
        return served && served.value().status == 200;
      },
      kPatience));
}

// Guards against settings errors without their path, and against a daemon that starts all the same.
TEST_F(operators_process_test, WrongDocumentIsRefusedWithItsPath) {
  StartSystem();
  const std::string path = WriteDocument("wrong.json", R"({
    "domains": {"owner": "platform", "kind": "failure_domains",
                "failure_domains": [{"name": "a", "region": "r", "state": "away"}]}})");
  EXPECT_EQ(Tool({"check", path}), 2);
  EXPECT_NE(output_.find("/domains/failure_domains/0/state"), std::string::npos) << output_;
}

// Guards against a routing policy that nodes do not know and replace by the default in silence.
TEST_F(operators_process_test, UnknownRoutingPolicyIsRefusedWithItsPath) {
  StartSystem();
  ASSERT_EQ(Tool({"export"}), 0);
  const std::string path =
      WriteDocument("policy.json", WithPolicy(output_, "order-desk", "fastest"));
  EXPECT_EQ(Tool({"apply", "--author=ops", "--force", path}), 2) << output_;
  EXPECT_NE(output_.find("/services/services/1/policy"), std::string::npos) << output_;
  EXPECT_NE(output_.find("two-random"), std::string::npos) << output_;
  EXPECT_EQ(Tool({"check", path}), 2) << output_;
}

TEST_F(operators_process_test, MetricsAndBurnReportCountRequests) {
  StartSystem();
  for (int i = 0; i < 5; ++i)
    ASSERT_EQ(system().Call("entry-0", DraftRequest("p", 2, false)).value().status, 200);
  const auto metrics = system().Call("entry-0", {"GET", "/metrics", {}, {}});
  ASSERT_TRUE(metrics.has_value());
  EXPECT_NE(metrics.value().body.find("quincebank_requests_total{service=\"quince-drafts\","
                                      "verdict=\"ran\",answered=\"yes\"} 5"),
            std::string::npos)
      << metrics.value().body;
  const auto agent = system().Call("agent-drafts-0", {"GET", "/metrics", {}, {}});
  ASSERT_TRUE(agent.has_value());
  EXPECT_NE(agent.value().body.find("quincebank_agent_limit"), std::string::npos);
  EXPECT_EQ(Tool({"burn"}), 0) << output_;
  EXPECT_NE(output_.find("quince-drafts"), std::string::npos) << output_;
}

// Guards against a record from which a decision can't be computed again.
TEST_F(operators_process_test, RecordedDecisionsAreReproduced) {
  StartSystem();
  for (int i = 0; i < 20; ++i)
    (void)system().Call("entry-0", DraftRequest("p" + std::to_string(i), 2, false));
  EXPECT_EQ(Tool({"replay", WriteDocument("records.jsonl", RecordLines("entry-0"))}), 0) << output_;
  EXPECT_NE(output_.find("20 decisions the same, 0 different"), std::string::npos) << output_;
}

class policy_process_test : public operators_process_test,
                            public testing::WithParamInterface<const char*> {};

// Guards against a policy that takes effect without a trace in the record, or whose record can't be
// computed again.
TEST_P(policy_process_test, ChoosesAndIsReproduced) {
  const std::string policy = GetParam();
  StartSystem();
  ASSERT_EQ(Tool({"export"}), 0);
  const std::string path =
      WriteDocument("policy.json", WithPolicy(output_, "quince-drafts", policy));
  ASSERT_EQ(Tool({"apply", "--author=ops", "--force", path}), 0) << output_;
  const std::string mark = R"("policy":")" + policy + "\"";
  std::string lines;
  // The entry adopts the change at the latest when its peers have it.
  ASSERT_TRUE(deployment::WaitUntil(
      [&] {
        (void)system().Call("entry-0", DraftRequest("p", 2, false));
        lines = RecordLines("entry-0");
        return lines.find(mark) != std::string::npos;
      },
      kPatience));
  for (int i = 0; i < 20; ++i)
    (void)system().Call("entry-0", DraftRequest("p" + std::to_string(i), 2, false));
  lines = RecordLines("entry-0");
  std::size_t choices = 0;
  for (std::size_t at = lines.find(mark); at != std::string::npos; at = lines.find(mark, at + 1))
    ++choices;
  EXPECT_GE(choices, 20U);
  EXPECT_EQ(Tool({"replay", WriteDocument("records.jsonl", lines)}), 0) << output_;
  EXPECT_NE(output_.find(" 0 different"), std::string::npos) << output_;
}

INSTANTIATE_TEST_SUITE_P(Policies,
                         policy_process_test,
                         testing::Values("quincebank", "round-robin", "least-loaded", "two-random"),
                         [](const auto& info) {
                           std::string name = info.param;
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

}  // namespace
}  // namespace quincebank
