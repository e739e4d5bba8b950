#pragma once

#include <boost/fiber/future/promise.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

namespace quincebank::impl {

struct io_outcome {
  boost::system::error_code ec;
  std::size_t bytes = 0;
};

/// \brief Starts an asynchronous operation and suspends the fiber until its handler runs.
///
/// \param start  called with the handler; must start exactly one operation of this thread's loop.
template <typename Start>
io_outcome Await(Start&& start) {
  boost::fibers::promise<io_outcome> promise;
  auto future = promise.get_future();
  start([&promise](boost::system::error_code ec, std::size_t bytes = 0) {
    promise.set_value({ec, bytes});
  });
  return future.get();
}

}  // namespace quincebank::impl
