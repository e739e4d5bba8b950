// Two regions that are partitioned from each other, with the key-value service and the host list in
// the first.

#include "process_test.h"

namespace quincebank {
namespace {

constexpr int kOrderReplicas = 2;

struct config_view {
  std::int64_t version = -1;
  std::string state;
};

class partition_process_test : public process_test {
 protected:
  void StartTwoRegions(std::vector<std::string> orders_options = {}) {
    deployment_plan plan;
    plan.two_regions = true;
    plan.entries = 4;
    plan.drafts = 4;
    plan.orders = kOrderReplicas;
    plan.orders_options = std::move(orders_options);
    StartSystem(plan);
    // Hosts are dealt to the regions in turn.
    ASSERT_EQ(system().RegionOf("entry-0"), "qc-east");
    ASSERT_EQ(system().RegionOf("entry-1"), "qc-west");
    ASSERT_EQ(system().RegionOf("kv"), "qc-east");
  }

  config_view ConfigOf(const std::string& node) {
    const boost::json::object answer = ObjectOf(system().Call(
        node, {"POST",
               "/rpc",
               {{"Content-Type", "application/json"}},
               R"({"jsonrpc": "2.0", "id": 1, "method": "config.status", "params": {}})"}));
    const boost::json::value* const status = answer.if_contains("result");
    if (status == nullptr || !status->is_object())
      return {};
    return {status->at("version").to_number<std::int64_t>(),
            std::string(status->at("state").as_string())};
  }

  /// Whether all nodes of a region report the version and the state.
  bool Report(const std::string& region, std::int64_t version, const std::string& state) {
    for (const std::string& node : system().nodes(region)) {
      const config_view view = ConfigOf(node);
      if (view.version != version || view.state != state)
        return false;
    }
    return true;
  }

  int Drain(const std::string& domain, bool offer) {
    std::vector<std::string> arguments{"drain", "--kv=" + ToString(system().AddressOf("kv")),
                                       "--author=ops", "--team=platform", domain};
    if (offer)
      arguments.push_back("--hosts=" + ToString(system().AddressOf("hosts")));
    return system().RunTool(arguments, &output_);
  }

  /// Sends a request until it is answered; each refusal before must be a "not run".
  bool Serve(const std::string& entry, const http_request& request, int status) {
    return deployment::WaitUntil(
        [&] {
          const auto answer = system().Call(entry, request, kPatience);
          if (answer && answer.value().status == status)
            return true;
          EXPECT_EQ(VerdictOf(answer), "not-run")
              << entry << ": " << (answer ? answer.value().body : "no answer");
          return false;
        },
        kPatience);
  }

  void ServeDrafts(const std::string& prefix) {
    int number = 0;
    for (const std::string& entry : system().entries()) {
      for (int i = 0; i < 4; ++i) {
        EXPECT_TRUE(Serve(entry, DraftRequest(prefix + std::to_string(number++), 2, false), 200));
      }
    }
  }

  std::string output_;
};

// Guards against a region that stops serving its own callers when it loses the other one, and
// against false verdicts of orders on the side without the key-value service.
TEST_F(partition_process_test, EachRegionServesItsOwnCallers) {
  StartTwoRegions();
  ServeDrafts("before ");
  system().CutRegions();
  ServeDrafts("during ");
  // Orders of the service's side go on.
  for (const char* entry : {"entry-0", "entry-2"}) {
    const std::string id = std::string("east-") + entry;
    EXPECT_TRUE(Serve(entry, OrderRequest(id, id), 201));
    EXPECT_EQ(RunsOf(system(), kOrderReplicas, id), 1);
  }
  // Beyond, no claim can be made: a first send has not run, of any other nobody can tell.
  for (const char* entry : {"entry-1", "entry-3"}) {
    const std::string id = std::string("west-") + entry;
    http_request first = OrderRequest(id, id);
    first.headers.Set(kFirstSendField, "true");
    EXPECT_EQ(VerdictOf(system().Call(entry, first, kPatience)), "not-run");
    EXPECT_EQ(VerdictOf(system().Call(entry, OrderRequest(id, id), kPatience)), "may-have-run");
    EXPECT_EQ(RunsOf(system(), kOrderReplicas, id), 0);
  }
  EXPECT_TRUE(deployment::WaitUntil(
      [&] { return Report("qc-west", 1, "unconfirmed") && Report("qc-east", 1, "confirmed"); },
      kPatience));
  // Nodes that know that they are cut off go on serving with what they have.
  ServeDrafts("unconfirmed ");
  system().Heal();
  for (const char* entry : {"entry-1", "entry-3"}) {
    const std::string id = std::string("west-") + entry;
    EXPECT_TRUE(deployment::WaitUntil(
        [&] {
          const auto answer = system().Call(entry, OrderRequest(id, id), kPatience);
          return answer && answer.value().status == 201;
        },
        kPatience));
    EXPECT_EQ(RunsOf(system(), kOrderReplicas, id), 1);
  }
}

// Guards against an order that runs a second time, or is called "not run", because its claim and
// the agent that runs it are on different sides of a partition.
TEST_F(partition_process_test, OrderAcrossThePartitionRunsOnce) {
  StartTwoRegions({"--service-ms=1500"});
  struct side {
    const char* entry;
    const char* near;  ///< Another entry of its region.
    const char* far;   ///< Entry of the other region.
    const char* id;
  };
  const std::vector<side> sides{{"entry-0", "entry-2", "entry-1", "from-east"},
                                {"entry-1", "entry-3", "entry-0", "from-west"}};
  std::vector<std::future<result<http_response>>> pending;
  pending.reserve(sides.size());
  for (const side& one : sides)
    pending.push_back(CallLater(system(), one.entry, OrderRequest(one.id, one.id)));
  // Each order runs at the replica of its own region.
  for (const char* replica : {"orders-0", "orders-1"}) {
    ASSERT_TRUE(
        deployment::WaitUntil([&] { return Counter(system(), replica, "peak") > 0; }, kPatience));
  }
  system().CutRegions();
  for (std::size_t i = 0; i < sides.size(); ++i) {
    const auto answer = pending[i].get();
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer.value().status, 201) << sides[i].id << answer.value().body;
  }
  for (const side& one : sides) {
    // The other side can reach neither the claim nor the agent, or the claim only.
    EXPECT_EQ(VerdictOf(system().Call(one.far, OrderRequest(one.id, one.id), kPatience)),
              "may-have-run")
        << one.id;
    EXPECT_EQ(RunsOf(system(), kOrderReplicas, one.id), 1) << one.id;
  }
  // The service's side still has its claim and its answer.
  const auto held = system().Call("entry-2", OrderRequest("from-east", "from-east"), kPatience);
  ASSERT_TRUE(held.has_value());
  EXPECT_EQ(held.value().status, 201) << held.value().body;
  system().Heal();
  for (const side& one : sides) {
    for (const char* entry : {one.near, one.far}) {
      EXPECT_TRUE(deployment::WaitUntil(
          [&] {
            const auto answer = system().Call(entry, OrderRequest(one.id, one.id), kPatience);
            EXPECT_NE(VerdictOf(answer), "not-run") << one.id;
            return answer && answer.value().status == 201;
          },
          kPatience))
          << one.id << " through " << entry;
    }
    EXPECT_EQ(RunsOf(system(), kOrderReplicas, one.id), 1) << one.id;
  }
}

// Guards against a drain that the service's side accepts and that the nodes beyond the partition
// undo when they return, and against nodes that stay behind.
TEST_F(partition_process_test, DrainDuringThePartitionStays) {
  StartTwoRegions();
  ServeDrafts("before ");
  system().CutRegions();
  ASSERT_EQ(Drain("qc-east-b", true), 0) << output_;
  ASSERT_TRUE(deployment::WaitUntil(
      [&] { return Report("qc-east", 2, "confirmed") && Report("qc-west", 1, "unconfirmed"); },
      kPatience));
  const std::int64_t before = Counter(system(), "drafts-2", "completions");
  ServeDrafts("during ");
  EXPECT_EQ(Counter(system(), "drafts-2", "completions"), before);
  system().Heal();
  std::map<std::string, std::int64_t> held;
  EXPECT_TRUE(deployment::WaitUntil(
      [&] {
        bool all = true;
        for (const std::string& node : system().nodes()) {
          const config_view view = ConfigOf(node);
          EXPECT_GE(view.version, held[node]) << node;
          held[node] = std::max(held[node], view.version);
          all = all && view.version == 2 && view.state == "confirmed";
        }
        return all;
      },
      kPatience));
  for (const std::string& node : system().nodes("qc-east"))
    EXPECT_EQ(held[node], 2) << node;
  ServeDrafts("after ");
  EXPECT_EQ(Counter(system(), "drafts-2", "completions"), before);
  EXPECT_TRUE(Report("qc-east", 2, "confirmed") && Report("qc-west", 2, "confirmed"));
}

// Guards against a region that loses only the service's side and then misses changes: it learns
// them from its peers in the other region and knows that they are recent.
TEST_F(partition_process_test, RegionWithoutTheServiceLearnsFromPeers) {
  StartTwoRegions();
  const auto in_force = [&](std::int64_t version) {
    return deployment::WaitUntil(
        [&] {
          return Report("qc-west", version, "confirmed") && Report("qc-east", version, "confirmed");
        },
        kPatience);
  };
  // A first change that only peers spread shows that all nodes have read the host list. A node that
  // is cut off before that knows no peers.
  ASSERT_EQ(Drain("qc-east-b", false), 0) << output_;
  ASSERT_TRUE(in_force(2));
  system().Cut(system().nodes("qc-west"), {"kv", "hosts"});
  ASSERT_EQ(Drain("qc-west-b", false), 0) << output_;
  EXPECT_TRUE(in_force(3));
  const std::int64_t before = Counter(system(), "drafts-3", "completions");
  ServeDrafts("after ");
  EXPECT_EQ(Counter(system(), "drafts-3", "completions"), before);
}

}  // namespace
}  // namespace quincebank
