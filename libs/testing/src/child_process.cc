#include "quincebank/testing/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <thread>

namespace quincebank {
namespace {

constexpr int kSignalBase = 128;
constexpr milliseconds kPollInterval{5};

}  // namespace

child_process::child_process(const std::vector<std::string>& arguments,
                             const std::string& log_path) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments)
    argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ) != 0)
    exit_code_ = -1;
  posix_spawn_file_actions_destroy(&actions);
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
