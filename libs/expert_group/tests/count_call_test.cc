#include <gtest/gtest.h>

#include "quincebank/base/digest.h"
#include "quincebank/expert_group/messages_json.h"
#include "quincebank/experts/count_budget.h"
#include "quincebank/net/net.h"
#include "quincebank/rpc/rpc.h"

namespace quincebank {
namespace {

/// Bytes of the client for one call, headers included.
std::uint64_t BytesOfCall(std::int64_t report_bytes) {
  rpc_server rpc;
  rpc.Add("experts.counts", [&](const boost::json::object&) -> result<boost::json::value> {
    return boost::json::value(boost::json::object{
        {"phase", "promised"},
        {"counts", Base64Encode(std::string(static_cast<std::size_t>(report_bytes), 'x'))}});
  });
  fiber_thread server_thread("server");
  fiber_thread client_thread("client");
  http_client http(client_thread);
  rpc_client client(http);
  const auto server = http_server::Listen({&server_thread}, {"127.0.0.1", 0},
                                          [&](http_exchange& exchange) { rpc.Serve(exchange); });
  EXPECT_TRUE(server.has_value());
  boost::json::object params =
      ToJson(counts_request{{~0ULL, ~0ULL, 1'000'000, 1'000'000}, report_bytes});
  params["group"] = "quince-group-of-32-ranks";
  std::uint64_t bytes = 0;
  client_thread.RunAndWait([&] {
    const auto answer =
        client.Call(server.value()->address(), "experts.counts", params, milliseconds(5'000));
    EXPECT_TRUE(answer.has_value());
    bytes = http.bytes_moved();
  });
  return bytes;
}

class count_call_test : public testing::TestWithParam<int> {};

// Guards against reports whose calls take more of a node's control traffic than planned.
TEST_P(count_call_test, StaysWithinTheBudget) {
  for (const int ranks : {1, 8, 32, 64}) {
    const count_budget budget = BudgetFor({GetParam(), ranks, 256, 10});
    const std::uint64_t bytes = BytesOfCall(budget.report_bytes);
    RecordProperty("call_bytes", static_cast<int>(bytes));
    const auto per_second =
        static_cast<std::int64_t>(bytes) * ranks * 1'000 / budget.window.count();
    EXPECT_LE(per_second, kCountBytesPerSecond) << bytes << " bytes a call";
    EXPECT_GE(budget.window, milliseconds(1'000));
  }
}

INSTANTIATE_TEST_SUITE_P(Layers, count_call_test, testing::Values(1, 4, 16, 58));

}  // namespace
}  // namespace quincebank
