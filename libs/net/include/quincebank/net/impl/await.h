#pragma once

#include <boost/asio/error.hpp>
#include <boost/fiber/future/promise.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <utility>

#include "quincebank/net/fiber_thread.h"

namespace quincebank::impl {

struct io_outcome {
  boost::system::error_code ec;
  std::size_t bytes = 0;
};

/// \brief Handler that reports the end of one operation to the fiber that waits for it.
///
/// An exception destroys the handler of its operation without a call, which counts as an operation
/// that was aborted: the fiber must not wait for ever.
class completion_handler {
 public:
  /// \param outcome  must live until the handler has been called or destroyed.
  explicit completion_handler(boost::fibers::promise<io_outcome>& outcome) noexcept
      : outcome_(&outcome) {}
  completion_handler(completion_handler&& other) noexcept
      : outcome_(std::exchange(other.outcome_, nullptr)) {}
  completion_handler(const completion_handler&) = delete;
  completion_handler& operator=(const completion_handler&) = delete;
  completion_handler& operator=(completion_handler&&) = delete;
  ~completion_handler() {
    if (outcome_ != nullptr)
      (*this)(boost::asio::error::operation_aborted);
  }

  void operator()(boost::system::error_code ec, std::size_t bytes = 0) {
    std::exchange(outcome_, nullptr)->set_value({ec, bytes});
  }

 private:
  boost::fibers::promise<io_outcome>* outcome_;
};

/// \brief Starts an asynchronous operation and suspends the fiber until it has ended.
///
/// An exception at its start or in the event loop ends it with the error `operation_aborted`.
/// \param start  called with the handler; must start exactly one operation of this thread's loop.
template <typename Start>
io_outcome Await(Start&& start) {
  boost::fibers::promise<io_outcome> promise;
  auto future = promise.get_future();
  RunGuarded("start of an operation", [&] { start(completion_handler(promise)); });
  return future.get();
}

}  // namespace quincebank::impl
