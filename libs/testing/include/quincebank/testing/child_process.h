#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Process started by a test. It is killed when the object is destroyed.
class child_process {
 public:
  /// \param arguments  program and its arguments.
  /// \param log_path  file that gets its standard output and error.
  child_process(const std::vector<std::string>& arguments, const std::string& log_path);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void Signal(int number) const;
  /// \brief Kills it with SIGKILL and waits.
  void Kill();
  /// \brief Waits for its end.
  /// \returns The exit code (128 plus the signal's number after a signal), or nothing if it still
  ///          runs after the duration.
  [[nodiscard]] std::optional<int> WaitFor(milliseconds duration);
  [[nodiscard]] pid_t pid() const noexcept { return pid_; }
  [[nodiscard]] bool running();

 private:
  [[nodiscard]] bool Reap(bool block);

  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

}  // namespace quincebank
