#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace quincebank {
namespace impl {

/// \brief Lets the kernel find out within some seconds that a connection has gone silent for good.
///
/// Something on the way may have lost track of the connection. A call that waits on it, such as a
/// watch, sends nothing that would be missed.
inline void KeepAlive(int socket) noexcept {
  // Seconds without a byte before the first probe, and between probes; probes without an answer.
  constexpr int kIdleSeconds = 1;
  constexpr int kIntervalSeconds = 1;
  constexpr int kProbes = 2;
  const int on = 1;
  // Without these options the connection only ends later, which is no error.
  (void)::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  (void)::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kIdleSeconds, sizeof kIdleSeconds);
  (void)::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kIntervalSeconds,
                     sizeof kIntervalSeconds);
  (void)::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof kProbes);
}

}  // namespace impl
}  // namespace quincebank
