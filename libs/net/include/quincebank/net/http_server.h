#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/net/endpoint.h"
#include "quincebank/net/http_message.h"
#include "quincebank/net/net_fwd.h"

namespace quincebank {

/// \brief One request and the way to answer it. Used by one fiber only.
///
/// A handler answers either by `Respond` or by `StartStream`, any number of `Write` and `Finish`.
/// If it returns without having finished, the connection is closed, so that the peer sees a
/// truncated answer and never takes a part for the whole.
class http_exchange {
 public:
  virtual ~http_exchange() = default;

  [[nodiscard]] virtual const http_request& request() const noexcept = 0;
  /// \returns False if the peer is gone.
  virtual bool Respond(http_response response) = 0;
  virtual bool StartStream(int status, const http_headers& headers) = 0;
  virtual bool Write(std::string_view chunk) = 0;
  virtual bool Finish() = 0;
  /// \returns Whether the peer has closed the connection, as a look at the socket shows.
  [[nodiscard]] virtual bool PeerGone() = 0;
  /// \brief Calls `on_gone` once, from the event loop, if the peer closes the connection before the
  /// exchange has ended.
  virtual void WatchPeer(std::function<void()> on_gone) = 0;
};

using http_handler = std::function<void(http_exchange&)>;

struct http_limits {
  std::uint32_t header_bytes = 16U * 1024U;
  std::uint64_t body_bytes = 8ULL * 1024U * 1024U;
  milliseconds idle_timeout{60'000};    ///< Between requests of one connection.
  milliseconds header_timeout{10'000};  ///< For a request's head, from its first byte.
  milliseconds read_timeout{10'000};    ///< For the rest of a request, from the end of its head.
  milliseconds write_timeout{10'000};   ///< For each write of an answer.
  /// Bodies are counted there; null stands for the budget of the process.
  memory_budget* memory = nullptr;
  /// How often the handler and the server together hold a body.
  std::size_t body_copies = 1;
  /// Of the server; 0 sets no limit. Beyond it, connections that wait for their client are closed,
  /// those without progress for the longest time first.
  std::size_t connections = 0;
  std::size_t socket_buffer_bytes = 0;  ///< Of each connection; 0 leaves it to the system.
};

/// \brief Tells the limits in force; asked for each request by the thread of its connection.
using http_limits_source = std::function<http_limits()>;

/// \brief HTTP/1.1 server that runs a fiber for each connection.
///
/// Each thread accepts on a socket of its own (SO_REUSEPORT), so that connections stay on one
/// thread.
class http_server {
 public:
  /// \param threads  must outlive the server.
  /// \returns The listening server, or an error if the address can't be bound.
  [[nodiscard]] static result<std::unique_ptr<http_server>> Listen(
      const std::vector<fiber_thread*>& threads,
      const endpoint& address,
      http_handler handler,
      const http_limits& limits = {});
  /// \brief The same with limits that may change while the server runs.
  [[nodiscard]] static result<std::unique_ptr<http_server>> Listen(
      const std::vector<fiber_thread*>& threads,
      const endpoint& address,
      http_handler handler,
      http_limits_source limits);

  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// \brief The bound address; its port is set even if port 0 was asked for.
  [[nodiscard]] const endpoint& address() const noexcept { return address_; }

  /// \brief Answers with `Connection: close` from now on, so that peers open no further request on
  /// connections that are about to end.
  void AnnounceClose() noexcept;
  /// \brief Stops accepting and closes idle connections. Running requests go on.
  void Close();
  /// \brief Number of requests that are being read or answered.
  [[nodiscard]] int running() const noexcept;
  /// \brief Whether, after `Close`, no connection is left and none can come any more. A count of
  /// running requests misses those that have arrived and are about to be read.
  [[nodiscard]] bool Drained() const noexcept;
  /// \brief Number of connections that were closed to keep within the limit.
  [[nodiscard]] std::uint64_t closed_connections() const noexcept { return closed_connections_; }

 private:
  class listener;
  friend class listener;
  http_server(endpoint address, http_handler handler, http_limits_source limits);

  endpoint address_;
  http_handler handler_;
  http_limits_source limits_;
  std::atomic<bool> announce_close_{false};
  std::atomic<int> running_{0};
  std::atomic<std::size_t> open_{0};  ///< Connections, without those that are being closed.
  std::atomic<std::uint64_t> closed_connections_{0};
  std::vector<std::shared_ptr<listener>> listeners_;
};

}  // namespace quincebank
