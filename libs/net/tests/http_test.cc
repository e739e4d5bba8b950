#include <gtest/gtest.h>

#include <atomic>
#include <barrier>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "quincebank/net/net.h"

namespace quincebank {
namespace {

void Handle(http_exchange& exchange) {
  const http_request& request = exchange.request();
  if (request.target == "/echo") {
    exchange.Respond({200, {{"X-Method", request.method}}, request.body});
    return;
  }
  if (request.target == "/stream") {
    exchange.StartStream(200, {{"Content-Type", "text/event-stream"}});
    exchange.Write("data: a\n\n");
    exchange.Write("data: b\n\n");
    exchange.Finish();
    return;
  }
  if (request.target == "/cut") {
    exchange.StartStream(200, {});
    exchange.Write("part");
    return;
  }
  if (request.target == "/silent") {
    exchange.StartStream(200, {});
    exchange.Write("part");
    boost::this_fiber::sleep_for(milliseconds(200));
    exchange.Finish();
    return;
  }
  exchange.Respond({404, {}, {}});
}

class http_test : public testing::Test {
 protected:
  void SetUp() override {
    http_limits limits;
    limits.body_bytes = 1000;
    auto listening = http_server::Listen({&server_thread_}, {"127.0.0.1", 0}, Handle, limits);
    ASSERT_TRUE(listening.has_value());
    server_ = std::move(listening.value());
  }

  result<http_response> Call(const std::string& method,
                             const std::string& target,
                             const std::string& body = {}) {
    http_call call{server_->address(), {method, target, {}, body}};
    call.idle_timeout = milliseconds(50);
    result<http_response> answer = MakeError(error_code::kInternal, "no answer");
    client_thread_.RunAndWait([&] { answer = client_.Call(call); });
    return answer;
  }

  fiber_thread server_thread_{"server"};
  fiber_thread client_thread_{"client"};
  http_client client_{client_thread_};
  std::unique_ptr<http_server> server_;
};

TEST_F(http_test, CarriesBodyAndHeaders) {
  for (int i = 0; i < 3; ++i) {
    const auto answer = Call("POST", "/echo", "text");
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer.value().body, "text");
    EXPECT_EQ(answer.value().headers.Get("x-method"), "POST");
  }
}

TEST_F(http_test, StreamsInPieces) {
  const auto answer = Call("GET", "/stream");
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer.value().body, "data: a\n\ndata: b\n\n");
}

struct failure_case {
  const char* name;
  const char* target;
  error_code code;
};

class broken_answer_test : public http_test, public testing::WithParamInterface<failure_case> {};

// Guards against taking a part of an answer for the whole.
TEST_P(broken_answer_test, IsAnErrorThatMayHaveRun) {
  const auto answer = Call("GET", GetParam().target);
  ASSERT_FALSE(answer.has_value());
  EXPECT_EQ(answer.error().code, GetParam().code);
  EXPECT_EQ(answer.error().outcome, verdict::kMayHaveRun);
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         broken_answer_test,
                         testing::Values(failure_case{"cut", "/cut", error_code::kTruncated},
                                         failure_case{"silent", "/silent", error_code::kTimeout}),
                         [](const auto& info) { return info.param.name; });

TEST_F(http_test, RefusesAnOversizedBody) {
  const auto answer = Call("POST", "/echo", std::string(2000, 'x'));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer.value().status, 413);
  EXPECT_EQ(answer.value().headers.Get("Quincebank-Verdict"), "not-run");
}

// Guards against "may have run" for a peer that was never reached.
TEST_F(http_test, RefusedConnectionHasNotRun) {
  const endpoint address = server_->address();
  server_.reset();
  result<http_response> answer = MakeError(error_code::kInternal, "no answer");
  client_thread_.RunAndWait([&] { answer = client_.Call({address, {}}); });
  ASSERT_FALSE(answer.has_value());
  EXPECT_EQ(answer.error().outcome, verdict::kNotRun);
}

// Guards against a request written to a pooled connection that the peer has closed meanwhile.
TEST_F(http_test, DropsAPooledConnectionThatThePeerClosed) {
  ASSERT_TRUE(Call("POST", "/echo", "1").has_value());
  const endpoint address = server_->address();
  server_.reset();
  auto again = http_server::Listen({&server_thread_}, address, Handle);
  ASSERT_TRUE(again.has_value());
  server_ = std::move(again.value());
  const auto answer = Call("POST", "/echo", "2");
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer.value().body, "2");
}

/// Server whose connections each know their number; `/both` is answered once two requests for it
/// have come, `/silent` never.
class numbered_server {
 public:
  numbered_server()
      : acceptor_(io_, {boost::asio::ip::make_address("127.0.0.1"), 0}), accepting_([this] {
          for (;;) {
            tcp::socket socket(io_);
            acceptor_.accept(socket);
            if (stopping_)
              return;
            const std::size_t number = connections_.size();
            connections_.emplace_back(
                [this, number, socket = std::move(socket)]() mutable { Serve(socket, number); });
          }
        }) {}
  ~numbered_server() {
    stopping_ = true;
    tcp::socket(io_).connect(acceptor_.local_endpoint());
    accepting_.join();
    for (std::thread& connection : connections_)
      connection.join();
  }
  numbered_server(const numbered_server&) = delete;
  numbered_server& operator=(const numbered_server&) = delete;

  [[nodiscard]] endpoint address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  using tcp = boost::asio::ip::tcp;

  void Serve(tcp::socket& socket, std::size_t number) {
    std::string text;
    boost::system::error_code ec;
    for (;;) {
      const std::size_t size =
          boost::asio::read_until(socket, boost::asio::dynamic_buffer(text), "\r\n\r\n", ec);
      if (ec)
        return;
      const std::string head = text.substr(0, size);
      text.erase(0, size);
      if (head.starts_with("GET /silent"))
        continue;
      if (head.starts_with("GET /both"))
        both_.arrive_and_wait();
      boost::asio::write(socket,
                         boost::asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" +
                                             std::to_string(number)),
                         ec);
    }
  }

  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  std::barrier<> both_{2};
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> connections_;
  std::thread accepting_;
};

class idle_connections_test : public testing::Test {
 protected:
  /// Leaves two idle connections, 0 and 1, to the server.
  void SetUp() override {
    std::promise<void> second_done;
    thread_.Spawn([&] {
      EXPECT_TRUE(client_.Call(To("/both")).has_value());
      second_done.set_value();
    });
    thread_.RunAndWait([&] { EXPECT_TRUE(client_.Call(To("/both")).has_value()); });
    second_done.get_future().wait();
  }

  [[nodiscard]] http_call To(const std::string& target) const {
    return {server_.address(), {"GET", target, {}, {}}};
  }
  result<http_response> Call(const http_call& call) {
    result<http_response> answer = MakeError(error_code::kInternal, "no answer");
    thread_.RunAndWait([&] { answer = client_.Call(call); });
    return answer;
  }

  numbered_server server_;
  fiber_thread thread_{"client"};
  http_client client_{thread_};
};

// Guards against a wait for the silence limit on each pooled connection in turn, after something on
// the way to the peer has forgotten all of them.
TEST_F(idle_connections_test, AreClosedWhenTheirPeerIsSilent) {
  http_call silent = To("/silent");
  silent.response_timeout = milliseconds(50);
  const auto none = Call(silent);
  ASSERT_FALSE(none.has_value());
  EXPECT_EQ(none.error().code, error_code::kTimeout);
  const auto answer = Call(To("/"));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer.value().body, "2");
}

// Guards against a request on a connection that another thread's silence has made suspect, and
// against connections that are never used again after one silence.
TEST_F(idle_connections_test, AreUsedOnlyIfTheyAnsweredSince) {
  http_call call = To("/");
  call.reuse_after = std::chrono::steady_clock::now();
  for (int i = 0; i < 2; ++i) {
    const auto answer = Call(call);
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer.value().body, "2");
  }
}

struct raw_case {
  const char* name;
  const char* text;
};

class malformed_request_test : public http_test, public testing::WithParamInterface<raw_case> {};

// Guards against a request that is cut or malformed and gets no answer, or runs.
TEST_P(malformed_request_test, IsRefusedAsNotRun) {
  namespace asio = boost::asio;
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::make_address(server_->address().address), server_->address().port});
  asio::write(socket, asio::buffer(std::string_view(GetParam().text)));
  socket.shutdown(asio::ip::tcp::socket::shutdown_send);
  std::string answer;
  boost::system::error_code ec;
  asio::read(socket, asio::dynamic_buffer(answer), ec);
  EXPECT_NE(answer.find("400 Bad Request"), std::string::npos) << answer;
  EXPECT_NE(answer.find("not-run"), std::string::npos) << answer;
}

INSTANTIATE_TEST_SUITE_P(
    Requests,
    malformed_request_test,
    testing::Values(raw_case{"cut_body", "POST /echo HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc"},
                    raw_case{"cut_header", "POST /echo HTTP/1.1\r\nContent-Le"},
                    raw_case{"no_http", "hello\r\n\r\n"},
                    raw_case{"bad_length", "POST /echo HTTP/1.1\r\nContent-Length: ten\r\n\r\n"}),
    [](const auto& info) { return info.param.name; });

// Guards against two processes that share an address and split its connections.
TEST_F(http_test, RefusesAnAddressInUse) {
  const auto second = http_server::Listen({&server_thread_}, server_->address(), Handle);
  ASSERT_FALSE(second.has_value());
  EXPECT_EQ(second.error().code, error_code::kUnavailable);
}

TEST(sse_test, JoinsEventsAcrossReads) {
  sse_splitter splitter;
  std::vector<std::string> events;
  for (const char* piece : {"data: a\n", "\ndata", ": b\n\n: hb\n\n", "data: c"})
    splitter.Feed(piece, [&](std::string_view event) { events.emplace_back(event); });
  EXPECT_EQ(events, (std::vector<std::string>{"data: a\n\n", "data: b\n\n", ": hb\n\n"}));
  EXPECT_EQ(splitter.rest(), "data: c");
  EXPECT_TRUE(IsSseComment(events[2]));
  EXPECT_FALSE(IsSseComment(events[0]));
}

class endpoint_test : public testing::TestWithParam<const char*> {};

TEST_P(endpoint_test, RefusesWhatIsNotAnAddress) {
  EXPECT_FALSE(ParseEndpoint(GetParam()).has_value());
}

INSTANTIATE_TEST_SUITE_P(
    Texts,
    endpoint_test,
    testing::Values("", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "localhost:80", "1.2.3.4:65536"));

}  // namespace
}  // namespace quincebank
