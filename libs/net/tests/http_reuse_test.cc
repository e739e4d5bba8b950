#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <string>
#include <thread>
#include <vector>

#include "quincebank/net/net.h"

namespace quincebank {
namespace {

using boost::asio::ip::tcp;

std::string Answer(const std::string& id, const std::string& body, const std::string& more = {}) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + more + "\r\n" + body;
}

/// Server on raw sockets that sends fixed bytes for each request of each connection.
class raw_server {
 public:
  explicit raw_server(std::vector<std::string> answers) : answers_(std::move(answers)) {
    thread_ = std::thread([this] { Run(); });
  }
  ~raw_server() {
    boost::system::error_code ignored;
    tcp::socket wake(io_);
    stop_ = true;
    wake.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
  }
  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;

  [[nodiscard]] endpoint address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  [[nodiscard]] int connections() const noexcept { return connections_; }

 private:
  void Run() {
    std::vector<std::thread> served;
    while (!stop_) {
      tcp::socket socket(io_);
      boost::system::error_code ec;
      acceptor_.accept(socket, ec);
      if (ec || stop_)
        break;
      ++connections_;
      served.emplace_back([this, socket = std::move(socket)]() mutable { Serve(socket); });
    }
    for (std::thread& thread : served)
      thread.join();
  }

  void Serve(tcp::socket& socket) {
    std::string buffer;
    boost::system::error_code ec;
    while (true) {
      const std::size_t end =
          boost::asio::read_until(socket, boost::asio::dynamic_buffer(buffer), "\r\n\r\n", ec);
      if (ec)
        return;
      buffer.erase(0, end);
      const std::size_t turn = next_++;
      if (turn >= answers_.size())
        return;
      boost::asio::write(socket, boost::asio::buffer(answers_[turn]), ec);
    }
  }

  const std::vector<std::string> answers_;
  boost::asio::io_context io_;
  tcp::acceptor acceptor_{io_, {boost::asio::ip::address_v4::loopback(), 0}};
  std::atomic<std::size_t> next_{0};
  std::atomic<int> connections_{0};
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

struct reuse_case {
  const char* name;
  std::vector<std::string> answers;
  bool fresh = false;
  std::size_t most_idle = 4;
  int connections = 1;
};

class reuse_test : public testing::TestWithParam<reuse_case> {};

// Guards against a late second answer that is taken for that of the next request, and against
// requests on connections that the server may close at that moment.
TEST_P(reuse_test, EachCallGetsItsOwnAnswer) {
  fiber_thread thread("client");
  raw_server server(GetParam().answers);
  thread.RunAndWait([&] {
    http_client http(thread);
    for (const std::string id : {"1", "2"}) {
      http_call call{server.address(), {"GET", "/", {}, {}}};
      call.response_timeout = milliseconds(500);
      call.idle_timeout = milliseconds(500);
      call.fresh_connection = GetParam().fresh;
      call.most_idle = GetParam().most_idle;
      call.belongs = [&](const http_headers& headers) { return headers.Get("X-Id") == id; };
      const auto answer = http.Call(call);
      ASSERT_TRUE(answer) << answer.error().message;
      EXPECT_EQ(answer.value().body, "body " + id);
      boost::this_fiber::sleep_for(milliseconds(30));
    }
  });
  EXPECT_EQ(server.connections(), GetParam().connections);
}

INSTANTIATE_TEST_SUITE_P(
    servers,
    reuse_test,
    testing::Values(
        reuse_case{"sound", {Answer("1", "body 1"), Answer("2", "body 2")}},
        reuse_case{"fresh", {Answer("1", "body 1"), Answer("2", "body 2")}, true, 4, 2},
        reuse_case{"no_idle", {Answer("1", "body 1"), Answer("2", "body 2")}, false, 0, 2},
        // The second copy comes at once and makes the connection useless.
        reuse_case{"twice",
                   {Answer("1", "body 1") + Answer("1", "body 1"), Answer("2", "body 2")},
                   false,
                   4,
                   2},
        // The second copy comes where the next answer is expected.
        reuse_case{"late", {Answer("1", "body 1"), Answer("1", "body 1") + Answer("2", "body 2")}},
        reuse_case{"short_keep_alive",
                   {Answer("1", "body 1", "Keep-Alive: timeout=0\r\n"), Answer("2", "body 2")},
                   false,
                   4,
                   2}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(http_client, GivesUpAConnectionThatOnlyAnswersOtherRequests) {
  fiber_thread thread("client");
  const std::string foreign = Answer("9", "x");
  raw_server server({foreign + foreign + foreign + foreign});
  thread.RunAndWait([&] {
    http_client http(thread);
    http_call call{server.address(), {"GET", "/", {}, {}}};
    call.response_timeout = milliseconds(500);
    call.belongs = [](const http_headers& headers) { return headers.Get("X-Id") == "1"; };
    const auto answer = http.Call(call);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().outcome, verdict::kMayHaveRun);
  });
}

// Guards against upstreams that go on working because nobody noticed that the client had left.
TEST(http_server, TellsWhenThePeerLeaves) {
  fiber_thread server_thread("server");
  fiber_thread client_thread("client");
  std::atomic<bool> told{false};
  auto server = http_server::Listen({&server_thread}, {"127.0.0.1", 0}, [&](http_exchange& e) {
                  e.WatchPeer([&] { told = true; });
                  for (int i = 0; i < 200 && !told; ++i)
                    boost::this_fiber::sleep_for(milliseconds(5));
                }).value();
  client_thread.RunAndWait([&] {
    http_client http(client_thread);
    http_call call{server->address(), {"GET", "/", {}, {}}};
    call.response_timeout = milliseconds(50);
    EXPECT_FALSE(http.Call(call));
  });
  for (int i = 0; i < 200 && !told; ++i)
    std::this_thread::sleep_for(milliseconds(5));
  EXPECT_TRUE(told);
}

struct event_case {
  const char* name;
  const char* event;
  std::optional<std::uint64_t> id;
};

class sse_id_test : public testing::TestWithParam<event_case> {};

TEST_P(sse_id_test, ReadsTheIdOfAnEvent) {
  EXPECT_EQ(SseEventId(GetParam().event), GetParam().id);
}

INSTANTIATE_TEST_SUITE_P(events,
                         sse_id_test,
                         testing::Values(event_case{"first", "id: 7\ndata: x\n\n", 7},
                                         event_case{"last", "data: x\nid:12\n\n", 12},
                                         event_case{"none", "data: id: 3\n\n", std::nullopt},
                                         event_case{"no_number", "id: a\n\n", std::nullopt},
                                         event_case{"letters", "id: 7a\n\n", std::nullopt},
                                         event_case{"negative", "id: -7\n\n", std::nullopt},
                                         event_case{"blank", "id:\n\n", std::nullopt},
                                         event_case{"no_value", "id\n\n", std::nullopt},
                                         event_case{"other_field", "id7: 7\n\n", std::nullopt},
                                         event_case{"twice", "id: 7\nid: 7\n\n", std::nullopt},
                                         event_case{"over_64_bits", "id: 18446744073709551616\n\n",
                                                    std::nullopt},
                                         event_case{"carriage_return", "id: 7\r\ndata: x\n\n", 7}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace quincebank
