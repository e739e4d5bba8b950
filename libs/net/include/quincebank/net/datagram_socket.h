#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/net/endpoint.h"
#include "quincebank/net/fiber_thread.h"

namespace quincebank {

struct datagram {
  endpoint sender;
  std::string payload;
};

/// \brief UDP socket for small messages that may be lost. Used by the fibers of one thread.
///
/// \example
///   auto socket = datagram_socket::Bind(thread, {"127.0.0.1", 0}).value();
///   socket->Send({"127.0.0.1", 7000}, "hello");
class datagram_socket {
 public:
  /// \returns The bound socket, or an error if the address is taken.
  [[nodiscard]] static result<std::unique_ptr<datagram_socket>> Bind(fiber_thread& thread,
                                                                     const endpoint& address);
  ~datagram_socket();
  datagram_socket(const datagram_socket&) = delete;
  datagram_socket& operator=(const datagram_socket&) = delete;

  /// \brief The bound address; its port is set even if port 0 was asked for.
  [[nodiscard]] const endpoint& address() const noexcept;
  /// \brief Sends without waiting; a full send buffer loses the datagram.
  /// \returns Whether the datagram was handed to the network.
  bool Send(const endpoint& receiver, std::string_view payload);
  /// \brief Suspends the fiber until a datagram has come.
  /// \returns The datagram, or an error once the socket is closed.
  [[nodiscard]] result<datagram> Receive();
  /// \brief Ends a waiting `Receive`. May be called from any thread.
  void Close();

 private:
  struct impl;
  explicit datagram_socket(std::shared_ptr<impl> impl);
  std::shared_ptr<impl> impl_;
};

}  // namespace quincebank
