#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <mutex>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Wakes a fiber that waits for something to happen. Safe for use by several threads.
class fiber_event {
 public:
  void Set() {
    {
      const std::lock_guard lock(mutex_);
      set_ = true;
    }
    changed_.notify_one();
  }
  /// \brief Suspends the calling fiber until the event is set, and resets it.
  /// \returns False if the time had passed before.
  bool WaitFor(milliseconds duration) {
    std::unique_lock lock(mutex_);
    const bool set = changed_.wait_for(lock, duration, [this] { return set_; });
    set_ = false;
    return set;
  }

 private:
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
  bool set_ = false;
};

/// \brief Wakes all fibers of one thread that wait for something to change.
class fiber_broadcast {
 public:
  void NotifyAll() noexcept { changed_.notify_all(); }
  /// \brief Suspends the calling fiber until the next call of `NotifyAll`, or for the duration.
  void WaitFor(milliseconds duration) {
    std::unique_lock lock(mutex_);
    (void)changed_.wait_for(lock, duration);
  }

 private:
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
};

}  // namespace quincebank
