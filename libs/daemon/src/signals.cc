#include "quincebank/daemon/signals.h"

#include <csignal>
#include <ctime>

namespace quincebank {
namespace {

sigset_t ShutdownSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

}  // namespace

void BlockShutdownSignals() {
  const sigset_t signals = ShutdownSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

int WaitForShutdown() {
  const sigset_t signals = ShutdownSignals();
  int number = 0;
  sigwait(&signals, &number);
  return number;
}

int WaitForShutdown(milliseconds duration) {
  const sigset_t signals = ShutdownSignals();
  const auto whole = std::chrono::duration_cast<seconds>(duration);
  timespec limit{};
  limit.tv_sec = whole.count();
  limit.tv_nsec = nanoseconds(duration - whole).count();
  const int number = sigtimedwait(&signals, nullptr, &limit);
  return number < 0 ? 0 : number;
}

}  // namespace quincebank
