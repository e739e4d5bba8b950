#pragma once

#include <boost/fiber/future/promise.hpp>
#include <memory>
#include <type_traits>
#include <utility>

#include "quincebank/net/fiber_thread.h"

namespace quincebank {

/// \brief Runs a function in a fiber of another thread and suspends the calling fiber until it has
/// returned.
///
/// \returns What the function returned.
template <typename Function>
auto RunOn(fiber_thread& thread, Function&& function) {
  using value_type = std::invoke_result_t<Function>;
  // The shared owner keeps the promise alive until `set_value` has returned on the other thread.
  auto promise = std::make_shared<boost::fibers::promise<value_type>>();
  auto future = promise->get_future();
  thread.Spawn([promise, &function] {
    if constexpr (std::is_void_v<value_type>) {
      function();
      promise->set_value();
    } else {
      promise->set_value(function());
    }
  });
  return future.get();
}

}  // namespace quincebank
