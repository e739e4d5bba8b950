// Requests that arrive at a program while its planned stop ends.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "process_test.h"

namespace quincebank {
namespace {

using boost::asio::ip::tcp;

constexpr std::string_view kRequest = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::string_view kServed = "HTTP/1.1 200 OK\r\n";
// The program takes requests for this long after the signal.
constexpr milliseconds kTaken{1'500};
// By then the program waits for the end of that time.
constexpr milliseconds kBegun{200};
// Shorter than the time for which an idle connection is kept.
constexpr milliseconds kLongestEnd{20'000};
// So many that the program cannot have read them all by the time that it looks for the first one.
constexpr int kConnections = 200;

struct stopped_program {
  const char* name;
  const char* process;
};

class stops_process_test : public process_test,
                           public testing::WithParamInterface<stopped_program> {
 protected:
  void SetUp() override {
    deployment_plan plan;
    plan.entries = 1;
    plan.drafts = 1;
    plan.orders = 1;
    // A second thread would go on reading while the first one is asked to close.
    plan.traffic_threads = 1;
    plan.lookup_ttl_ms = static_cast<int>(kTaken.count());
    plan.shutdown_linger_ms = plan.lookup_ttl_ms;
    StartSystem(plan);
  }

  [[nodiscard]] tcp::socket Connect() {
    const endpoint address = system().AddressOf(GetParam().process);
    tcp::socket socket(io_);
    socket.connect({boost::asio::ip::make_address(address.address), address.port});
    return socket;
  }

  [[nodiscard]] bool IsReady() {
    const auto ready = system().Call(GetParam().process, {"GET", "/readyz", {}, {}});
    return ready && ready.value().status == 200;
  }

  /// \returns The head of the answer, or what came of it before the connection ended.
  static std::string ReadHead(tcp::socket& socket) {
    std::string head;
    boost::system::error_code ec;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(head), "\r\n\r\n", ec);
    return head;
  }

  void StopWithArrivals() {
    child_process& program = system().Process(GetParam().process);
    // A connection that stays open without a request must not delay the stop.
    tcp::socket idle = Connect();
    boost::asio::write(idle, boost::asio::buffer(kRequest));
    ASSERT_TRUE(ReadHead(idle).starts_with(kServed));
    program.Signal(SIGTERM);
    ASSERT_TRUE(deployment::WaitUntil([&] { return !IsReady(); }, kPatience));
    // The program stands still until its time is over, and finds the requests when it goes on.
    std::this_thread::sleep_for(kBegun);
    program.Signal(SIGSTOP);
    std::vector<tcp::socket> sockets;
    for (int i = 0; i < kConnections; ++i) {
      sockets.push_back(Connect());
      boost::asio::write(sockets.back(), boost::asio::buffer(kRequest));
    }
    std::this_thread::sleep_for(kTaken);
    program.Signal(SIGCONT);
    int served = 0;
    for (tcp::socket& socket : sockets)
      served += ReadHead(socket).starts_with(kServed) ? 1 : 0;
    EXPECT_EQ(served, kConnections);
    EXPECT_EQ(program.WaitFor(kLongestEnd), 0);
  }

 private:
  boost::asio::io_context io_;
};

// Guards against a planned stop that cuts off requests which have just arrived.
TEST_P(stops_process_test, AnswersWhatHasArrived) {
  // Whether the program looks too early depends on its threads; one stop may not show it.
  constexpr int kStops = 4;
  for (int i = 0; i < kStops; ++i) {
    SCOPED_TRACE(i);
    ASSERT_NO_FATAL_FAILURE(StopWithArrivals());
    system().Restart(GetParam().process);
    ASSERT_TRUE(deployment::WaitUntil([&] { return IsReady(); }, kPatience));
  }
}

INSTANTIATE_TEST_SUITE_P(Programs,
                         stops_process_test,
                         testing::Values(stopped_program{"entry", "entry-0"},
                                         stopped_program{"agent", "agent-orders-0"}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace quincebank
