// Upstreams that stop in the middle of an answer's head and close the connection.

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

#include "quincebank/net/net.h"

namespace quincebank {
namespace {

using boost::asio::ip::tcp;

struct head_case {
  const char* name;
  const char* head;
  bool reset = false;  ///< The connection is reset instead of closed.
};

class cut_head_test : public testing::TestWithParam<head_case> {
 protected:
  ~cut_head_test() override { server_.join(); }

  /// Answers one connection after the other with the first bytes of the head: none of them, one of
  /// them, and so on.
  void Serve() {
    const std::string head = GetParam().head;
    for (std::size_t sent = 0; sent < head.size(); ++sent) {
      boost::system::error_code ec;
      tcp::socket socket(io_);
      acceptor_.accept(socket, ec);
      std::string request;
      boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ec);
      boost::asio::write(socket, boost::asio::buffer(head.data(), sent), ec);
      if (GetParam().reset)
        socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    }
  }

  boost::asio::io_context io_;
  tcp::acceptor acceptor_{io_, {boost::asio::ip::address_v4::loopback(), 0}};
  std::thread server_{[this] { Serve(); }};
};

// Guards against a success with an empty or short body for an answer whose head broke off.
TEST_P(cut_head_test, IsNoAnswer) {
  const endpoint address{"127.0.0.1", acceptor_.local_endpoint().port()};
  fiber_thread thread("client");
  thread.RunAndWait([&] {
    http_client client(thread);
    for (std::size_t sent = 0; sent < std::string_view(GetParam().head).size(); ++sent) {
      const auto answer = client.Call({address, {"GET", "/", {}, {}}});
      EXPECT_FALSE(answer) << "after " << sent << " bytes";
      EXPECT_TRUE(answer || answer.error().outcome == verdict::kMayHaveRun)
          << "after " << sent << " bytes";
    }
  });
}

INSTANTIATE_TEST_SUITE_P(
    heads,
    cut_head_test,
    testing::Values(
        head_case{"with_length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"},
        head_case{"until_the_end", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"},
        head_case{"old_version", "HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\n"},
        head_case{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
        head_case{"no_body", "HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n"},
        head_case{"continue_first",
                  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
        head_case{"reset", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n", true}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a client that gets an interim answer, which has no body, for the final one.
TEST(interim_answer, IsNotTakenForTheFinalOne) {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
  std::thread server([&] {
    boost::system::error_code ec;
    tcp::socket socket(io);
    acceptor.accept(socket, ec);
    std::string request;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ec);
    constexpr std::string_view kAnswers =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    boost::asio::write(socket, boost::asio::buffer(kAnswers), ec);
  });
  fiber_thread thread("client");
  thread.RunAndWait([&] {
    http_client client(thread);
    const http_call call{{"127.0.0.1", acceptor.local_endpoint().port()}, {"GET", "/", {}, {}}};
    const auto answer = client.Call(call);
    EXPECT_TRUE(answer && answer.value().status == 200 && answer.value().body == "body");
  });
  server.join();
}

}  // namespace
}  // namespace quincebank
