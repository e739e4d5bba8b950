// Bodies beyond the memory budget, and connections beyond their limit.

#include "quincebank/net/memory_budget.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <string>
#include <thread>

#include "quincebank/base/clock.h"
#include "quincebank/net/net.h"
#include "quincebank/net/process_limits.h"

namespace quincebank {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
constexpr time_point kStart{seconds(100)};

TEST(memory_budget, GivesBackOnDestructionAndMove) {
  memory_budget budget(kMegabyte);
  {
    memory_reservation first(budget);
    ASSERT_TRUE(first.TryGrowTo(1'000));
    memory_reservation second(budget);
    second.Set(500);
    second = std::move(first);
    EXPECT_EQ(budget.used(), 1'000U);
  }
  EXPECT_EQ(budget.used(), 0U);
}

// Guards against large bodies that block small requests.
TEST(memory_budget, KeepsAQuarterForSmallRequests) {
  memory_budget budget(kMegabyte);
  memory_reservation large(budget);
  EXPECT_FALSE(large.TryGrowTo(kMegabyte * 3 / 4 + 1));
  EXPECT_TRUE(large.TryGrowTo(kMegabyte * 3 / 4));
  memory_reservation other(budget);
  EXPECT_FALSE(other.TryGrowTo(memory_budget::kSmallBytes + 1));
  EXPECT_TRUE(other.TryGrowTo(memory_budget::kSmallBytes));
}

TEST(memory_budget, EvictsOnlyBodiesWithoutProgressTheStalestFirst) {
  memory_budget budget(kMegabyte);
  std::string evicted;
  unfinished_body a(
      budget, [&] { evicted += 'a'; }, kStart);
  unfinished_body b(
      budget, [&] { evicted += 'b'; }, kStart);
  unfinished_body c(
      budget, [&] { evicted += 'c'; }, kStart);
  for (unfinished_body* const body : {&a, &b, &c})
    ASSERT_TRUE(body->memory().TryGrowTo(1'000));
  a.OnProgress(kStart + milliseconds(1));
  c.OnProgress(kStart + milliseconds(500));
  EXPECT_FALSE(budget.EvictStalled(1, kStart + memory_budget::kStallTime - milliseconds(1)));
  EXPECT_TRUE(budget.EvictStalled(1, kStart + memory_budget::kStallTime + milliseconds(1)));
  EXPECT_EQ(evicted, "b");
  EXPECT_TRUE(budget.EvictStalled(5'000, kStart + memory_budget::kStallTime + milliseconds(1)));
  EXPECT_EQ(evicted, "ba");
  EXPECT_EQ(budget.evictions(), 2U);
}

// Guards against limits that ordinary clients of the smallest host reach: 300 connections at the
// clients' address, which has half of them, and one chunked body of 4 MiB.
TEST(process_limits, LeaveRoomForOrdinaryClients) {
  const process_limits smallest{112, 2'870};
  EXPECT_GE(MaxConnections(smallest) / 2, 300U);
  memory_budget& budget = memory_budget::OfProcess();
  const std::size_t before = budget.limit();
  ApplyMemoryLimit(smallest);
  EXPECT_EQ(budget.limit(), 24 * kMegabyte);
  memory_reservation moving(budget);
  EXPECT_TRUE(moving.TryGrowTo(6 * kMegabyte));
  budget.SetLimit(before);
}

class raw_client {
 public:
  raw_client(const endpoint& server, std::string_view text) {
    socket_.connect({boost::asio::ip::make_address(server.address), server.port});
    boost::asio::write(socket_, boost::asio::buffer(text));
  }
  /// \returns The head of the next answer, or what came of it before the connection ended.
  std::string ReadHead() {
    std::string head;
    boost::system::error_code ec;
    boost::asio::read_until(socket_, boost::asio::dynamic_buffer(head), "\r\n\r\n", ec);
    return head;
  }

 private:
  boost::asio::io_context io_;
  tcp::socket socket_{io_};
};

std::string Announced(std::size_t length) {
  return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string Chunked(std::size_t length) {
  return "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n" +
         std::string(std::min(length, std::size_t{0x10000}), 'x');
}

class bounded_server_test : public testing::Test {
 protected:
  static constexpr std::size_t kConnections = 4;

  bounded_server_test() {
    http_limits limits;
    limits.memory = &budget_;
    limits.connections = kConnections;
    server_ = http_server::Listen(
                  {&thread_}, {"127.0.0.1", 0},
                  [this](http_exchange& exchange) {
                    held_ = budget_.used();
                    const http_request& request = exchange.request();
                    if (request.target == "/large")
                      responded_ = exchange.Respond({200, {}, std::string(kMegabyte, 'x')});
                    else
                      exchange.Respond({200, {}, std::to_string(request.body.size())});
                  },
                  limits)
                  .value();
  }

  void AwaitUse(std::size_t least) const {
    const time_point until = Now() + seconds(5);
    while (budget_.used() < least && Now() < until)
      std::this_thread::sleep_for(milliseconds(1));
  }

  memory_budget budget_{kMegabyte};
  std::size_t held_ = 0;
  bool responded_ = true;
  fiber_thread thread_{"server"};
  std::unique_ptr<http_server> server_;
};

struct body_case {
  const char* name;
  std::string request;
  std::string_view head;
};

class body_test : public bounded_server_test, public testing::WithParamInterface<body_case> {};

// Guards against a body that is read although there is no memory for it, and against a reservation
// that outlives its request.
TEST_P(body_test, IsAnsweredWithinTheBudget) {
  {
    raw_client client(server_->address(), GetParam().request);
    const std::string head = client.ReadHead();
    EXPECT_TRUE(head.starts_with(GetParam().head)) << head;
    EXPECT_EQ(head.find("Connection: close") == std::string::npos,
              head.find(" 200 ") != std::string::npos);
    EXPECT_EQ(head.find("Retry-After") != std::string::npos,
              head.find(" 503 ") != std::string::npos);
  }
  EXPECT_LE(held_, kMegabyte);
  server_.reset();
  EXPECT_EQ(budget_.used(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    bodies,
    body_test,
    testing::Values(body_case{"whole", Announced(100'000) + std::string(100'000, 'x'),
                              "HTTP/1.1 200"},
                    body_case{"pieces", Chunked(0x10000) + "\r\n0\r\n\r\n", "HTTP/1.1 200"},
                    body_case{"no_memory", Announced(kMegabyte), "HTTP/1.1 503"},
                    body_case{"over_the_limit", Announced(100 * kMegabyte), "HTTP/1.1 413"}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against stalled bodies that take the memory of all others until their time is over.
TEST_F(bounded_server_test, EvictsAStalledBody) {
  constexpr std::size_t kLarge = 600'000;
  raw_client stalled(server_->address(), Announced(kLarge));
  AwaitUse(kLarge);
  std::this_thread::sleep_for(memory_budget::kStallTime + milliseconds(50));
  raw_client other(server_->address(), Announced(kLarge) + std::string(kLarge, 'x'));
  const std::string head = other.ReadHead();
  EXPECT_TRUE(head.starts_with("HTTP/1.1 200")) << head;
  const std::string evicted = stalled.ReadHead();
  EXPECT_TRUE(evicted.starts_with("HTTP/1.1 408")) << evicted;
  EXPECT_NE(evicted.find("not-run"), std::string::npos) << evicted;
}

// Guards against responses for slow readers that are held beyond the budget.
TEST_F(bounded_server_test, ClosesTheConnectionIfAResponseDoesNotFit) {
  raw_client client(server_->address(), "GET /large HTTP/1.1\r\n\r\n");
  EXPECT_EQ(client.ReadHead(), "");
  server_.reset();
  EXPECT_FALSE(responded_);
  EXPECT_EQ(budget_.used(), 0U);
}

// Guards against idle connections that keep all others out.
TEST_F(bounded_server_test, ClosesTheOldestIdleConnection) {
  std::deque<raw_client> clients;
  for (std::size_t i = 0; i <= kConnections; ++i) {
    clients.emplace_back(server_->address(), "GET / HTTP/1.1\r\n\r\n");
    const std::string head = clients.back().ReadHead();
    EXPECT_TRUE(head.starts_with("HTTP/1.1 200")) << head;
  }
  EXPECT_EQ(clients.front().ReadHead(), "");
  EXPECT_EQ(server_->closed_connections(), 1U);
}

}  // namespace
}  // namespace quincebank
