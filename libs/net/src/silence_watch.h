#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "quincebank/net/fiber_thread.h"
#include "quincebank/net/http_client.h"
#include "quincebank/net/impl/await.h"

namespace quincebank::impl {

/// \brief Asks a handler, instead of closing the connection, when an operation takes too long.
///
/// The timeouts of a Beast stream cannot be extended while an operation is under way.
class silence_watch : public std::enable_shared_from_this<silence_watch> {
 public:
  silence_watch(boost::beast::tcp_stream& stream, silence_handler on_silence)
      : stream_(stream), timer_(stream.get_executor()), on_silence_(std::move(on_silence)) {}

  /// \brief Suspends the fiber until the operation has ended. It ends with the error `timeout` if
  /// the handler gives it no more time.
  /// \param start  called with the handler of the operation; must start exactly one.
  template <typename Start>
  io_outcome Await(time_point until, Start start) {
    stream_.expires_never();
    active_ = true;
    expired_ = false;
    Arm(until);
    io_outcome outcome = impl::Await([&](auto handler) {
      start([self = shared_from_this(), handler = std::move(handler)](boost::system::error_code ec,
                                                                      std::size_t bytes) mutable {
        self->active_ = false;
        self->timer_.cancel();
        handler(ec, bytes);
      });
    });
    // An operation that an exception has ended did not call its handler.
    active_ = false;
    timer_.cancel();
    if (expired_)
      outcome.ec = boost::beast::error::timeout;
    return outcome;
  }

 private:
  void Arm(time_point until) {
    until_ = until;
    timer_.expires_at(until);
    timer_.async_wait([self = shared_from_this()](boost::system::error_code ec) {
      if (!ec && self->active_ && std::chrono::steady_clock::now() >= self->until_)
        self->OnSilence();
    });
  }

  void OnSilence() {
    // A handler that fails gives no more time.
    std::optional<milliseconds> more;
    RunGuarded("silence", [&] { more = on_silence_(); });
    if (more) {
      Arm(std::chrono::steady_clock::now() + *more);
      return;
    }
    expired_ = true;
    stream_.close();
  }

  boost::beast::tcp_stream& stream_;  // Used only while an operation is under way.
  boost::asio::steady_timer timer_;
  const silence_handler on_silence_;
  time_point until_{};
  bool active_ = false;
  bool expired_ = false;
};

}  // namespace quincebank::impl
