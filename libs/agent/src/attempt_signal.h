#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstdint>

#include "quincebank/base/ref_counted.h"
#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Wakes the fibers that pass on the answer of one attempt.
class attempt_signal : public ref_counted<attempt_signal> {
 public:
  void Notify() {
    ++changes_;
    changed_.notify_all();
  }

  /// \brief Suspends the fiber until something has changed since `seen`, at most `duration`.
  /// \returns The present count of changes.
  std::uint64_t WaitFor(std::uint64_t seen, milliseconds duration) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, duration, [&] { return changes_ != seen; });
    return changes_;
  }

 private:
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
  std::uint64_t changes_ = 0;  // Only fibers of one thread touch it.
};

}  // namespace quincebank
