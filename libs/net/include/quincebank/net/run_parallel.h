#pragma once

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/fixedsize_stack.hpp>
#include <cstddef>
#include <memory>
#include <vector>

namespace quincebank {

/// \brief Runs `call(0)` to `call(count - 1)` in fibers of this thread and waits for all.
template <typename Call>
void RunParallel(std::size_t count, const Call& call) {
  constexpr std::size_t kStackBytes = std::size_t{128} * 1024;
  std::vector<boost::fibers::fiber> fibers;
  fibers.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    fibers.emplace_back(boost::fibers::launch::post, std::allocator_arg,
                        boost::fibers::fixedsize_stack(kStackBytes), [&call, i] { call(i); });
  }
  for (boost::fibers::fiber& fiber : fibers)
    fiber.join();
}

}  // namespace quincebank
