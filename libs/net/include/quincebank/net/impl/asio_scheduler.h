#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>
#include <chrono>

#include "quincebank/net/fiber_thread.h"

namespace quincebank::impl {

/// \brief Fiber scheduler that runs the event loop whenever no fiber is ready.
///
/// The loop runs in `suspend_until` only. Run from `pick_next`, a handler could wake a fiber that
/// still holds the lock of the future it is about to wait for.
class asio_scheduler final : public boost::fibers::algo::algorithm {
 public:
  explicit asio_scheduler(boost::asio::io_context& io) : io_(io) {}

  void awakened(boost::fibers::context* context) noexcept override { context->ready_link(ready_); }

  boost::fibers::context* pick_next() noexcept override {
    if (ready_.empty())
      return nullptr;
    boost::fibers::context* const next = &ready_.front();
    ready_.pop_front();
    return next;
  }

  [[nodiscard]] bool has_ready_fibers() const noexcept override { return !ready_.empty(); }

  void suspend_until(const std::chrono::steady_clock::time_point& until) noexcept override {
    io_.restart();
    // An exception here would end the process, with the requests of all other connections. The
    // operation it belongs to is gone; `completion_handler` tells the fiber that waits for it.
    RunGuarded("event loop", [&] {
      if (until == std::chrono::steady_clock::time_point::max()) {
        io_.run_one();
      } else {
        io_.run_one_until(until);
      }
    });
  }

  void notify() noexcept override {
    boost::asio::post(io_, [] {});
  }

 private:
  boost::asio::io_context& io_;
  boost::fibers::scheduler::ready_queue_type ready_;
};

}  // namespace quincebank::impl
