// Requests that arrive while a server stops, and clients that send without end.

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

#include "quincebank/base/clock.h"
#include "quincebank/net/net.h"

namespace quincebank {
namespace {

using boost::asio::ip::tcp;

constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::string_view kServed = "HTTP/1.1 200 OK\r\n";

class raw_client {
 public:
  explicit raw_client(const endpoint& server) {
    socket_.connect({boost::asio::ip::make_address(server.address), server.port});
  }

  void Send(std::string_view text) { boost::asio::write(socket_, boost::asio::buffer(text)); }

  /// \returns The head of the next answer, or what came of it before the connection ended.
  std::string ReadHead() {
    std::string head;
    boost::system::error_code ec;
    boost::asio::read_until(socket_, boost::asio::dynamic_buffer(head), "\r\n\r\n", ec);
    return head;
  }

  /// \brief Sends a text again and again until the server closes.
  /// \returns Bytes sent, at most about `most`.
  std::size_t SendWithoutEnd(std::string_view text, std::size_t most) {
    std::size_t sent = 0;
    boost::system::error_code ec;
    while (!ec && sent < most)
      sent += boost::asio::write(socket_, boost::asio::buffer(text), ec);
    return sent;
  }

 private:
  boost::asio::io_context io_;
  tcp::socket socket_{io_};
};

struct stop_case {
  const char* name;
  bool kept;  ///< The connection has carried a request before.
};

class server_stop_test : public testing::TestWithParam<stop_case> {};

// Guards against a planned stop that cuts off a request which has just arrived.
TEST_P(server_stop_test, AnswersWhatHasArrived) {
  constexpr milliseconds kBusy{200};
  fiber_thread thread("server");
  auto server = http_server::Listen({&thread}, {"127.0.0.1", 0}, [](http_exchange& exchange) {
                  exchange.Respond({200, {}, {}});
                }).value();
  raw_client client(server->address());
  if (GetParam().kept) {
    client.Send(kRequest);
    ASSERT_TRUE(client.ReadHead().starts_with(kServed));
  }
  // While the thread is busy, the request and the order to close arrive.
  std::atomic<bool> busy{false};
  thread.Spawn([&] {
    busy = true;
    std::this_thread::sleep_for(kBusy);
  });
  while (!busy)
    std::this_thread::yield();
  raw_client late(server->address());
  raw_client& sender = GetParam().kept ? client : late;
  sender.Send(kRequest);
  server->Close();
  while (!server->Drained())
    std::this_thread::sleep_for(milliseconds(1));
  server.reset();
  const std::string head = sender.ReadHead();
  EXPECT_TRUE(head.starts_with(kServed)) << head;
  EXPECT_NE(head.find("Connection: close"), std::string::npos) << head;
}

INSTANTIATE_TEST_SUITE_P(connections,
                         server_stop_test,
                         testing::Values(stop_case{"just_opened", false}, stop_case{"kept", true}),
                         [](const auto& info) { return std::string(info.param.name); });

struct endless_request_case {
  const char* name;
  std::string head;
  std::string more;
};

class endless_request_test : public testing::TestWithParam<endless_request_case> {};

// Guards against a client that takes the memory of the host.
TEST_P(endless_request_test, IsBounded) {
  constexpr std::size_t kMostTaken = std::size_t{16} * 1024 * 1024;
  fiber_thread thread("server");
  http_limits limits;
  limits.read_timeout = seconds(20);
  limits.body_bytes = std::uint64_t{1} * 1024 * 1024;
  const auto server = http_server::Listen(
                          {&thread}, {"127.0.0.1", 0}, [](http_exchange&) {}, limits)
                          .value();
  raw_client client(server->address());
  client.Send(GetParam().head);
  EXPECT_LT(client.SendWithoutEnd(GetParam().more, 4 * kMostTaken), kMostTaken);
}

INSTANTIATE_TEST_SUITE_P(
    requests,
    endless_request_test,
    testing::Values(
        endless_request_case{"head", "GET / HTTP/1.1\r\n", std::string(4'096, 'x')},
        endless_request_case{"body", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                             "1000\r\n" + std::string(4'096, 'x') + "\r\n"},
        endless_request_case{
            "chunk_extension",
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", std::string(8'192, 'x')},
        endless_request_case{"trailer",
                             "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                             "X-More: " + std::string(500, 'y') + "\r\n"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace quincebank
