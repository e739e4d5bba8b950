#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/net/call_cancellation.h"
#include "quincebank/net/endpoint.h"
#include "quincebank/net/http_message.h"
#include "quincebank/net/net_fwd.h"

namespace quincebank {

/// \brief Asked when a call has sent or received nothing for its timeout.
///
/// Runs in the event loop and must not suspend.
/// \returns How much longer to wait; nothing to end the call with the error `kTimeout`.
using silence_handler = std::function<std::optional<milliseconds>()>;

struct http_call {
  endpoint peer;
  http_request request;
  /// Body that is sent instead of that of `request`; must outlive the call's opening.
  std::optional<std::string_view> body;
  milliseconds connect_timeout{1'000};
  milliseconds response_timeout{10'000};  ///< From the last byte sent to the answer's header.
  milliseconds idle_timeout{3'000};       ///< Between two reads of the answer's body.
  silence_handler on_silence;             ///< Empty: these timeouts and deadlines end the call.
  /// Idle connections that have not answered since then are closed instead of used.
  time_point reuse_after{};
  ref_ptr<call_cancellation> cancellation;  ///< Null if the call is never cancelled.
  /// Whether the answer belongs to this request; others are read and discarded. Empty: all do. A
  /// faulty server may send an answer twice, and the second one then meets the next request.
  std::function<bool(const http_headers&)> belongs;
  /// Idle connections kept for the peer after the call.
  std::size_t most_idle = 64;
  /// Longest body of an answer that is read as a whole.
  std::size_t most_body = std::size_t{16} * 1024 * 1024;
  bool fresh_connection = false;  ///< Never uses an idle connection, which may close meanwhile.
};

/// \brief Answer whose body is read piece by piece.
///
/// The connection is used again only after the whole body was read; otherwise it is closed.
class http_stream {
 public:
  virtual ~http_stream() = default;

  /// \brief Changes the limit of the next reads.
  virtual void SetIdleTimeout(milliseconds timeout) = 0;
  /// \brief Ends reads at a moment, however many bytes come before.
  virtual void SetDeadline(time_point deadline) = 0;

  [[nodiscard]] virtual int status() const noexcept = 0;
  [[nodiscard]] virtual const http_headers& headers() const noexcept = 0;
  /// \brief Whether the connection had served other requests before.
  [[nodiscard]] virtual bool is_on_kept_connection() const noexcept = 0;
  /// \brief Suspends the fiber until bytes have come.
  /// \returns The bytes, nothing at the end of the body, or an error: `kTimeout` after silence,
  ///          `kTruncated` if the connection ended before the body did.
  [[nodiscard]] virtual result<std::optional<std::string>> ReadSome() = 0;
};

/// \brief HTTP/1.1 client with a pool of idle connections. Used by the fibers of one thread.
///
/// A call that times out closes the idle connections to its peer that have not answered since.
class http_client {
 public:
  /// \param source  IP address that connections come from; empty lets the system choose.
  explicit http_client(fiber_thread& thread, const std::string& source = {});
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// \brief Sends the request and reads the answer's header.
  /// \returns The open answer, or an error whose verdict is "not run" only if no byte of the
  ///          request can have reached the peer.
  [[nodiscard]] result<std::unique_ptr<http_stream>> Open(const http_call& call);

  /// \brief Sends the request and reads the whole answer. The body may take four idle timeouts.
  [[nodiscard]] result<http_response> Call(const http_call& call);

  /// \brief Opens a connection and closes it again.
  /// \returns The error `kTimeout` if the peer is silent, or `kUnavailable` if it refuses.
  [[nodiscard]] result<void> CheckReachable(const endpoint& peer, milliseconds timeout);

  /// \brief Bytes sent and received so far, headers included. May be called from any thread.
  [[nodiscard]] std::uint64_t bytes_moved() const noexcept;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace quincebank
