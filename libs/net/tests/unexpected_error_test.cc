// Exceptions that leave a callback of the event loop or a fiber.

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

#include "quincebank/net/impl/await.h"
#include "quincebank/net/net.h"
#include "quincebank/net/run_parallel.h"

namespace quincebank {
namespace {

namespace asio = boost::asio;

[[noreturn]] void Throw() {
  throw std::runtime_error("unexpected");
}

struct callback_case {
  const char* name;
  void (*start)(asio::io_context& io);
};

class event_loop_test : public testing::TestWithParam<callback_case> {};

// Guards against a process that ends since a callback of the event loop throws.
TEST_P(event_loop_test, GoesOnAfterACallbackThatThrows) {
  fiber_thread thread("loop");
  for (int i = 0; i < 3; ++i)
    thread.RunAndWait([&] { GetParam().start(thread.io()); });
  std::this_thread::sleep_for(milliseconds(20));
  bool run = false;
  thread.RunAndWait([&] { run = true; });
  EXPECT_TRUE(run);
}

INSTANTIATE_TEST_SUITE_P(
    callbacks,
    event_loop_test,
    testing::Values(callback_case{"posted", [](asio::io_context& io) { asio::post(io, Throw); }},
                    callback_case{"timer",
                                  [](asio::io_context& io) {
                                    const auto timer =
                                        std::make_shared<asio::steady_timer>(io, milliseconds(1));
                                    timer->async_wait(
                                        [timer](boost::system::error_code) { Throw(); });
                                  }}),
    [](const auto& info) { return std::string(info.param.name); });

struct operation_case {
  const char* name;
  bool throws_at_start;
  bool has_handler;  ///< The handler belongs to an operation when the exception is thrown.
};

class broken_operation_test : public testing::TestWithParam<operation_case> {};

// Guards against a fiber that waits for ever for an operation which an exception has ended.
TEST_P(broken_operation_test, EndsWithAnError) {
  const operation_case& given = GetParam();
  fiber_thread thread("loop");
  impl::io_outcome outcome;
  thread.RunAndWait([&] {
    outcome = impl::Await([&](auto handler) {
      if (given.has_handler)
        asio::post(thread.io(), [handler = std::move(handler)] { Throw(); });
      if (given.throws_at_start)
        Throw();
    });
  });
  EXPECT_TRUE(outcome.ec.failed());
}

INSTANTIATE_TEST_SUITE_P(operations,
                         broken_operation_test,
                         testing::Values(operation_case{"at_its_start", true, false},
                                         operation_case{"later", false, true},
                                         operation_case{"at_its_start_and_later", true, true}),
                         [](const auto& info) { return std::string(info.param.name); });

// Guards against a process that ends since one of several calls at the same time throws.
TEST(run_parallel, EndsOnlyTheCallThatThrows) {
  fiber_thread thread("loop");
  std::array<int, 3> done{};
  thread.RunAndWait([&] {
    RunParallel(done.size(), [&](std::size_t i) {
      if (i == 1)
        Throw();
      done[i] = 1;
    });
  });
  EXPECT_EQ(done, (std::array<int, 3>{1, 0, 1}));
}

}  // namespace
}  // namespace quincebank
