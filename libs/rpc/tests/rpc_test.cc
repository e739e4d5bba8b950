#include "quincebank/rpc/rpc.h"

#include <gtest/gtest.h>

#include "quincebank/net/net.h"

namespace quincebank {
namespace {

class rpc_test : public testing::Test {
 protected:
  void SetUp() override {
    rpc_.Add("echo", [](const boost::json::object& params) -> result<boost::json::value> {
      return boost::json::value(params);
    });
    rpc_.Add("refuse", [](const boost::json::object&) -> result<boost::json::value> {
      return error{error_code::kStale, "old incarnation", verdict::kNotRun, "/incarnation"};
    });
    auto listening = http_server::Listen({&server_thread_}, {"127.0.0.1", 0},
                                         [this](http_exchange& exchange) { rpc_.Serve(exchange); });
    ASSERT_TRUE(listening.has_value());
    server_ = std::move(listening.value());
  }

  result<boost::json::value> Call(const std::string& method, const boost::json::object& params) {
    result<boost::json::value> answer = MakeError(error_code::kInternal, "no answer");
    client_thread_.RunAndWait(
        [&] { answer = client_.Call(server_->address(), method, params, milliseconds(5000)); });
    return answer;
  }

  rpc_server rpc_;
  fiber_thread server_thread_{"server"};
  fiber_thread client_thread_{"client"};
  http_client http_{client_thread_};
  rpc_client client_{http_};
  std::unique_ptr<http_server> server_;
};

TEST_F(rpc_test, CarriesParamsAndResult) {
  const boost::json::object params{{"a", 1}, {"b", {{"c", "text"}}}};
  const auto answer = Call("echo", params);
  ASSERT_TRUE(answer.has_value()) << Describe(answer.error());
  EXPECT_EQ(answer.value(), params);
}

// Guards against losing the verdict of a refusal on the way back.
TEST_F(rpc_test, CarriesTheError) {
  const auto answer = Call("refuse", {});
  ASSERT_FALSE(answer.has_value());
  EXPECT_EQ(answer.error().code, error_code::kStale);
  EXPECT_EQ(answer.error().outcome, verdict::kNotRun);
  EXPECT_EQ(answer.error().path, "/incarnation");
  EXPECT_EQ(answer.error().message, "old incarnation");
}

TEST_F(rpc_test, ReportsAnUnknownMethod) {
  EXPECT_FALSE(Call("unknown", {}).has_value());
}

class malformed_message_test : public testing::TestWithParam<const char*> {};

// Guards against a crash on what is not a JSON-RPC request.
TEST_P(malformed_message_test, GetsAnError) {
  rpc_server rpc;
  EXPECT_NE(rpc.Handle(GetParam()).find("\"error\""), std::string::npos);
}

// Guards against a process that ends since a message is nested more deeply than its reader follows.
TEST(rpc_server, SurvivesAMessageOfGreatDepth) {
  rpc_server rpc;
  for (const char* const bracket : {"[", "{\"a\":"}) {
    std::string message;
    for (int i = 0; i < 100'000; ++i)
      message += bracket;
    EXPECT_NE(rpc.Handle(message).find("\"error\""), std::string::npos);
  }
}

INSTANTIATE_TEST_SUITE_P(Bodies,
                         malformed_message_test,
                         testing::Values("", "{", "[]", "1", "{\"method\":\"echo\"}"));

}  // namespace
}  // namespace quincebank
