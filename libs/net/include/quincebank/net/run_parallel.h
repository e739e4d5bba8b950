#pragma once

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>
#include <cstddef>
#include <memory>
#include <vector>

#include "quincebank/net/fiber_thread.h"

namespace quincebank {

/// \brief Runs `call(0)` to `call(count - 1)` in fibers of this thread and waits for all. An
/// exception ends the call that throws it, and no other.
template <typename Call>
void RunParallel(std::size_t count, const Call& call) {
  constexpr std::size_t kStackBytes = std::size_t{128} * 1024;
  // A stack from the heap costs two calls to the kernel and its page faults each time.
  static thread_local boost::fibers::pooled_fixedsize_stack stacks(kStackBytes);
  std::vector<boost::fibers::fiber> fibers;
  fibers.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    fibers.emplace_back(boost::fibers::launch::post, std::allocator_arg, stacks,
                        [&call, i] { RunGuarded("parallel call", [&] { call(i); }); });
  }
  for (boost::fibers::fiber& fiber : fibers)
    fiber.join();
}

}  // namespace quincebank
