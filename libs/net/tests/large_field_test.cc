// Field names, field values and chunk extensions around 64 KB, which no container of Beast holds.

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "quincebank/net/net.h"

namespace quincebank {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

enum class field_place : std::uint8_t {
  kHeadName,
  kHeadValue,
  kTrailerName,
  kTrailerValue,
  kChunk
};

struct field_case {
  const char* name;
  field_place place;
  std::size_t bytes;
};

constexpr std::size_t kMostHead = std::size_t{128} * 1024;

/// Fields of a chunked message, and the chunks behind its head.
std::pair<std::string, std::string> MakeFields(const field_case& given) {
  const std::string text(given.bytes, 'a');
  std::string field;
  switch (given.place) {
    case field_place::kHeadName:
    case field_place::kTrailerName:
      field = text + ": value\r\n";
      break;
    case field_place::kHeadValue:
    case field_place::kTrailerValue:
      field = "X-Field: " + text + "\r\n";
      break;
    case field_place::kChunk:
      return {{}, "4;x=" + text + "\r\nbody\r\n0\r\n\r\n"};
  }
  const bool in_head =
      given.place == field_place::kHeadName || given.place == field_place::kHeadValue;
  return {in_head ? field : std::string(),
          "4\r\nbody\r\n0\r\n" + (in_head ? std::string() : field) + "\r\n"};
}

class large_field_test : public testing::TestWithParam<field_case> {};

// Guards against a client that ends its process for a field of 64 KB in an answer. What is behind
// the last chunk belongs to no answer.
TEST_P(large_field_test, EndsNoClient) {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  std::thread upstream([&] {
    const auto [head, rest] = MakeFields(GetParam());
    tcp::socket caller = acceptor.accept();
    boost::system::error_code ec;
    std::string request;
    asio::read_until(caller, asio::dynamic_buffer(request), "\r\n\r\n", ec);
    asio::write(caller,
                asio::buffer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + head + "\r\n"),
                ec);
    // The body comes by itself, so that it is parsed by the event loop.
    std::this_thread::sleep_for(milliseconds(20));
    asio::write(caller, asio::buffer(rest), ec);
  });
  fiber_thread thread("client");
  http_client client(thread);
  std::optional<result<http_response>> answer;
  thread.RunAndWait([&] {
    answer = client.Call({{"127.0.0.1", acceptor.local_endpoint().port()}, {"GET", "/", {}, {}}});
  });
  upstream.join();
  const bool in_head =
      GetParam().place == field_place::kHeadName || GetParam().place == field_place::kHeadValue;
  EXPECT_EQ(answer->has_value(), !in_head);
  if (answer->has_value()) {
    EXPECT_EQ(answer->value().body, "body");
    EXPECT_EQ(answer->value().headers.Get("X-Field"), "");
  }
}

// Guards against a server that ends its process, or rejects, for a field of 64 KB in a request
// whose head is within the limit; and against one that takes a trailer for a field of the head.
TEST_P(large_field_test, IsReadByServersAndSentOn) {
  std::string seen;
  std::string name_seen;
  const auto handle = [&](http_exchange& exchange) {
    for (const http_header& field : exchange.request().headers) {
      if (field.value == "value")
        name_seen = field.name;
    }
    seen = exchange.request().headers.Get("X-Field");
    exchange.Respond({200, {}, exchange.request().body});
  };
  fiber_thread thread("server");
  http_limits limits;
  limits.header_bytes = kMostHead;
  const auto server = http_server::Listen({&thread}, {"127.0.0.1", 0}, handle, limits).value();
  http_client client(thread);
  const auto relay = http_server::Listen(
                         {&thread}, {"127.0.0.1", 0},
                         [&](http_exchange& exchange) {
                           const auto answer = client.Call({server->address(), exchange.request()});
                           exchange.Respond(answer ? answer.value() : http_response{502, {}, {}});
                         },
                         limits)
                         .value();
  asio::io_context io;
  tcp::socket caller(io);
  caller.connect({asio::ip::address_v4::loopback(), relay->address().port});
  const auto [head, rest] = MakeFields(GetParam());
  boost::system::error_code ec;
  asio::write(caller,
              asio::buffer("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n" + head +
                           "\r\n" + rest),
              ec);
  std::string answer;
  asio::read_until(caller, asio::dynamic_buffer(answer), "body", ec);
  EXPECT_EQ(answer.substr(0, 15), "HTTP/1.1 200 OK") << ec.message();
  EXPECT_EQ(seen.size(), GetParam().place == field_place::kHeadValue ? GetParam().bytes : 0);
  EXPECT_EQ(name_seen.size(), GetParam().place == field_place::kHeadName ? GetParam().bytes : 0);
}

INSTANTIATE_TEST_SUITE_P(fields,
                         large_field_test,
                         testing::ValuesIn([] {
                           static constexpr std::array kPlaces{
                               std::pair{"head_name", field_place::kHeadName},
                               std::pair{"head_value", field_place::kHeadValue},
                               std::pair{"trailer_name", field_place::kTrailerName},
                               std::pair{"trailer_value", field_place::kTrailerValue},
                               std::pair{"chunk_extension", field_place::kChunk}};
                           std::vector<field_case> cases;
                           for (const auto& [name, place] : kPlaces) {
                             for (const std::size_t bytes :
                                  {std::size_t{65'533}, std::size_t{65'534}, std::size_t{70'000}})
                               cases.push_back({name, place, bytes});
                           }
                           return cases;
                         }()),
                         [](const auto& info) {
                           return info.param.name + ("_" + std::to_string(info.param.bytes));
                         });

}  // namespace
}  // namespace quincebank
