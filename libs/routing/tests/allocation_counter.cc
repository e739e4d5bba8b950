#include "allocation_counter.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> allocations{0};

}  // namespace

namespace quincebank {

std::uint64_t AllocationCount() noexcept {
  return allocations.load(std::memory_order_relaxed);
}

}  // namespace quincebank

// Replaces the global allocation function, so that every allocation of the program is counted.
void* operator new(std::size_t size) {
  allocations.fetch_add(1, std::memory_order_relaxed);
  if (void* const memory = std::malloc(size == 0 ? 1 : size))
    return memory;
  throw std::bad_alloc();
}

void operator delete(void* memory) noexcept {
  std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
  std::free(memory);
}
