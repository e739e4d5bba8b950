#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Event that ends periodic fibers. Safe for use by several threads.
class stop_signal {
 public:
  void Set();
  [[nodiscard]] bool IsSet() const;
  /// \brief Suspends the calling fiber.
  /// \returns True if the signal was set before the time had passed.
  bool WaitFor(milliseconds duration);

 private:
  mutable boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
  bool set_ = false;
};

/// \brief Runs a task and keeps an exception from ending the process; writes it to the log.
/// \returns Whether the task has returned normally.
bool RunGuarded(std::string_view what, const std::function<void()>& task);

/// \brief Thread that runs fibers over one Asio event loop.
///
/// All fibers must have returned before the object is destroyed; `stop_signal` ends the periodic
/// ones.
///
/// \example
///   fiber_thread control("control");
///   control.Spawn([] { ... });
class fiber_thread {
 public:
  explicit fiber_thread(std::string name);
  ~fiber_thread();
  fiber_thread(const fiber_thread&) = delete;
  fiber_thread& operator=(const fiber_thread&) = delete;

  /// \brief Runs the task in a new fiber of this thread. May be called from any thread. An
  /// exception ends the fiber, not the process.
  void Spawn(std::function<void()> task);
  /// \brief Runs a task that is meant to go on until the signal is set; begins it anew, after a
  /// pause, if an exception ends it.
  /// \param stop  must outlive the fiber.
  /// \param ended  called when the task has ended for good.
  void SpawnLoop(std::string what,
                 std::function<void()> task,
                 stop_signal& stop,
                 std::function<void()> ended);
  /// \brief Runs the task in a fiber of this thread and blocks the calling thread until it is done.
  void RunAndWait(const std::function<void()>& task);

  [[nodiscard]] boost::asio::io_context& io() noexcept { return io_; }
  [[nodiscard]] const std::string& name() const noexcept { return name_; }

 private:
  void Run();

  std::string name_;
  boost::asio::io_context io_{1};
  stop_signal stop_;
  std::thread thread_;
};

}  // namespace quincebank
