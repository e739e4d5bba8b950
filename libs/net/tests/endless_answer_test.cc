// Upstreams in trouble that send bytes without end, or one now and then, until the caller closes.

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

#include "quincebank/base/clock.h"
#include "quincebank/net/net.h"

namespace quincebank {
namespace {

using boost::asio::ip::tcp;

struct endless_case {
  const char* name;
  std::string head;       ///< Sent first.
  std::string more;       ///< Sent again and again.
  milliseconds pause{0};  ///< Between two times.
  bool opens = false;     ///< The head is that of the call's own answer.
};

/// Answers one connection without end and notes when its caller closes it.
class endless_server {
 public:
  explicit endless_server(const endless_case& given) : given_(given) {
    thread_ = std::thread([this] { Run(); });
  }
  ~endless_server() { thread_.join(); }
  endless_server(const endless_server&) = delete;
  endless_server& operator=(const endless_server&) = delete;

  [[nodiscard]] endpoint address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  [[nodiscard]] std::size_t sent() const noexcept { return sent_; }

 private:
  void Run() {
    boost::system::error_code ec;
    tcp::socket socket(io_);
    acceptor_.accept(socket, ec);
    std::string request;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ec);
    boost::asio::write(socket, boost::asio::buffer(given_.head), ec);
    while (!ec) {
      sent_ += boost::asio::write(socket, boost::asio::buffer(given_.more), ec);
      std::this_thread::sleep_for(given_.pause);
    }
  }

  const endless_case given_;
  boost::asio::io_context io_;
  tcp::acceptor acceptor_{io_, {boost::asio::ip::address_v4::loopback(), 0}};
  std::atomic<std::size_t> sent_{0};
  std::thread thread_;
};

class endless_answer_test : public testing::TestWithParam<endless_case> {};

// Guards against a call that never ends, or takes all memory, since bytes keep coming.
TEST_P(endless_answer_test, EndsInTimeAndBounded) {
  constexpr milliseconds kPatience{300};
  constexpr milliseconds kLimit{4'000};
  constexpr std::size_t kMostBody = std::size_t{512} * 1024;
  // What is skipped of a foreign answer, and what the system buffers for both ends.
  constexpr std::size_t kMostTaken = std::size_t{16} * 1024 * 1024;
  endless_server server(GetParam());
  fiber_thread thread("client");
  bool opened = false;
  bool complete = true;
  const time_point begun = Now();
  thread.RunAndWait([&] {
    http_client client(thread);
    http_call call{server.address(), {"GET", "/", {}, {}}};
    call.response_timeout = kPatience;
    call.idle_timeout = kPatience;
    call.most_body = kMostBody;
    call.belongs = [](const http_headers& headers) { return headers.Get("X-Id") == "own"; };
    opened = client.Open(call).has_value();
  });
  EXPECT_EQ(opened, GetParam().opens);
  EXPECT_LT(Now() - begun, kLimit);
  EXPECT_LT(server.sent(), kMostTaken);
  if (!opened)
    return;
  endless_server again(GetParam());
  thread.RunAndWait([&] {
    http_client client(thread);
    http_call call{again.address(), {"GET", "/", {}, {}}};
    call.response_timeout = kPatience;
    call.idle_timeout = kPatience;
    call.most_body = kMostBody;
    complete = client.Call(call).has_value();
  });
  EXPECT_FALSE(complete);
  EXPECT_LT(Now() - begun, kLimit);
  EXPECT_LT(again.sent(), kMostTaken);
}

std::string Head(const std::string& id, const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + framing + "\r\n";
}

INSTANTIATE_TEST_SUITE_P(
    streams,
    endless_answer_test,
    testing::Values(
        endless_case{"head_without_end", "HTTP/1.1 200 OK\r\n", std::string(1'000, 'x')},
        endless_case{"fields_without_end", "HTTP/1.1 200 OK\r\n",
                     "X-More: " + std::string(500, 'y') + "\r\n"},
        endless_case{"head_byte_by_byte", "HTTP/1.1 200 OK\r\nX-More: ", "x", milliseconds(50)},
        endless_case{"no_protocol", "", std::string(4'096, '\x01')},
        endless_case{"foreign_body", Head("other", ""), std::string(8'192, 'z')},
        endless_case{"foreign_body_by_length", Head("other", "Content-Length: 99999999999\r\n"),
                     std::string(8'192, 'z')},
        endless_case{"foreign_body_byte_by_byte", Head("other", "Transfer-Encoding: chunked\r\n"),
                     "1\r\nz\r\n", milliseconds(50)},
        endless_case{"foreign_answers", "", Head("other", "Content-Length: 1\r\n") + "z"},
        endless_case{"own_body", Head("own", ""), std::string(8'192, 'z'), milliseconds(0), true},
        endless_case{"own_body_byte_by_byte", Head("own", "Transfer-Encoding: chunked\r\n"),
                     "1\r\nz\r\n", milliseconds(50), true},
        endless_case{"chunk_extension", Head("own", "Transfer-Encoding: chunked\r\n") + "1;x=",
                     std::string(8'192, 'x'), milliseconds(0), true},
        endless_case{
            "foreign_chunk_extension",
            Head("other", "Transfer-Encoding: chunked\r\n") + "1;x=", std::string(8'192, 'x')},
        endless_case{"trailer", Head("own", "Transfer-Encoding: chunked\r\n") + "0\r\n",
                     "X-More: " + std::string(500, 'y') + "\r\n", milliseconds(0), true}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a splitter that keeps what has no blank line without a limit.
TEST(sse_splitter, TellsOfAnEventWithoutEnd) {
  sse_splitter events(1'000);
  events.Feed("id: 1\n\n" + std::string(900, 'x'), [](std::string_view) {});
  EXPECT_FALSE(events.overflowed());
  events.Feed(std::string(200, 'x'), [](std::string_view) {});
  EXPECT_TRUE(events.overflowed());
}

// Guards against a process that ends since one handler meets an error that nobody expected.
TEST(http_server, SurvivesAHandlerThatThrows) {
  fiber_thread server_thread("server");
  fiber_thread client_thread("client");
  int calls = 0;
  const auto server =
      http_server::Listen({&server_thread}, {"127.0.0.1", 0}, [&](http_exchange& exchange) {
        if (++calls == 1)
          throw std::runtime_error("unexpected");
        exchange.Respond({200, {}, {}});
      }).value();
  client_thread.RunAndWait([&] {
    http_client client(client_thread);
    for (const int status : {500, 200}) {
      const auto answer = client.Call({server->address(), {"GET", "/", {}, {}}});
      ASSERT_TRUE(answer) << answer.error().message;
      EXPECT_EQ(answer.value().status, status);
    }
  });
}

// Guards against a loop that an unexpected error ends for good.
TEST(fiber_thread, BeginsALoopAnewAfterAnError) {
  fiber_thread thread("loop");
  stop_signal stop;
  std::atomic<int> rounds{0};
  std::atomic<bool> ended{false};
  thread.SpawnLoop(
      "test",
      [&] {
        if (++rounds == 1)
          throw std::runtime_error("unexpected");
      },
      stop, [&] { ended = true; });
  const time_point until = Now() + seconds(5);
  while (!ended && Now() < until)
    std::this_thread::sleep_for(milliseconds(5));
  EXPECT_EQ(rounds, 2);
  EXPECT_TRUE(ended);
}

}  // namespace
}  // namespace quincebank
