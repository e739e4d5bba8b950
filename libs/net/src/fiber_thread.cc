#include "quincebank/net/fiber_thread.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <exception>
#include <future>
#include <memory>
#include <utility>

#include "quincebank/base/log.h"
#include "quincebank/net/impl/asio_scheduler.h"

namespace quincebank {
namespace {

// Beast's parsers and the JSON codecs need more than the default of a few pages.
constexpr std::size_t kFiberStackBytes = std::size_t{128} * 1024;
// Pause before a loop that an exception has ended begins anew.
constexpr milliseconds kLoopRestart{200};
constexpr logger kLog{"fiber"};

}  // namespace

bool RunGuarded(std::string_view what, const std::function<void()>& task) {
  // Only standard exceptions: Boost.Context unwinds fibers by one of its own.
  try {
    task();
    return true;
  } catch (const std::exception& failure) {
    kLog.Error(what, ": unexpected error: ", failure.what());
    return false;
  }
}

void stop_signal::Set() {
  {
    const std::lock_guard lock(mutex_);
    set_ = true;
  }
  changed_.notify_all();
}

bool stop_signal::IsSet() const {
  const std::lock_guard lock(mutex_);
  return set_;
}

bool stop_signal::WaitFor(milliseconds duration) {
  std::unique_lock lock(mutex_);
  return changed_.wait_for(lock, duration, [this] { return set_; });
}

fiber_thread::fiber_thread(std::string name) : name_(std::move(name)), thread_([this] { Run(); }) {}

fiber_thread::~fiber_thread() {
  stop_.Set();
  thread_.join();
}

void fiber_thread::Spawn(std::function<void()> task) {
  boost::asio::post(io_, [this, task = std::move(task)] {
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
                         boost::fibers::fixedsize_stack(kFiberStackBytes),
                         [this, task] { RunGuarded(name_, task); })
        .detach();
  });
}

void fiber_thread::SpawnLoop(std::string what,
                             std::function<void()> task,
                             stop_signal& stop,
                             std::function<void()> ended) {
  Spawn([what = std::move(what), task = std::move(task), &stop, ended = std::move(ended)] {
    while (!RunGuarded(what, task) && !stop.WaitFor(kLoopRestart)) {
    }
    ended();
  });
}

void fiber_thread::RunAndWait(const std::function<void()>& task) {
  // The shared owner keeps the promise alive until `set_value` has returned.
  const auto done = std::make_shared<std::promise<void>>();
  Spawn([done, &task] {
    RunGuarded("task", task);
    done->set_value();
  });
  done->get_future().wait();
}

void fiber_thread::Run() {
  boost::fibers::use_scheduling_algorithm<impl::asio_scheduler>(io_);
  const auto work = boost::asio::make_work_guard(io_);
  constexpr milliseconds kLongTime = std::chrono::hours(24);
  while (!stop_.WaitFor(kLongTime)) {
  }
}

}  // namespace quincebank
