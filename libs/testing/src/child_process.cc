#include "quincebank/testing/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <thread>

namespace quincebank {
namespace {

constexpr int kSignalBase = 128;
constexpr int kExecFailed = 127;
constexpr milliseconds kPollInterval{5};

}  // namespace

child_process::child_process(const std::vector<std::string>& arguments,
                             const std::string& log_path) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments)
    argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  pid_ = ::fork();
  if (pid_ < 0) {
    exit_code_ = -1;
    return;
  }
  if (pid_ != 0)
    return;
  // In the child: only calls that are safe after a fork of a process with threads. The signal ends
  // the child with the test that started it, however that ends.
  constexpr int kLogMode = 0644;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  ::execv(argv[0], argv.data());
  ::_exit(kExecFailed);
}

child_process::~child_process() {
  Kill();
}

void child_process::Signal(int number) const {
  if (!exit_code_)
    ::kill(pid_, number);
}

void child_process::Kill() {
  Signal(SIGKILL);
  (void)Reap(true);
}

bool child_process::Reap(bool block) {
  if (exit_code_)
    return true;
  int status = 0;
  if (waitpid(pid_, &status, block ? 0 : WNOHANG) != pid_)
    return false;
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
  return true;
}

bool child_process::running() {
  return !Reap(false);
}

std::optional<int> child_process::WaitFor(milliseconds duration) {
  const time_point until = std::chrono::steady_clock::now() + duration;
  while (!Reap(false)) {
    if (std::chrono::steady_clock::now() >= until)
      return std::nullopt;
    std::this_thread::sleep_for(kPollInterval);
  }
  return exit_code_;
}

}  // namespace quincebank
