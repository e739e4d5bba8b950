#include "quincebank/net/http_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/intrusive/list.hpp>
#include <utility>

#include "quincebank/base/log.h"
#include "quincebank/net/fiber_thread.h"
#include "quincebank/net/impl/await.h"

namespace quincebank {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using impl::Await;
using impl::io_outcome;
using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr logger kLog{"http"};
// Bytes held between reads, beside the limit of a head. A chunk's extension or a trailer is held
// until it is complete, and the parser itself sets no limit to them.
constexpr std::size_t kMostBuffered = std::size_t{128} * 1024;
// Pause after a failed accept (such as no file descriptors left), so that the loop doesn't spin.
constexpr milliseconds kAcceptRetryDelay{50};

struct connection : boost::intrusive::list_base_hook<> {
  connection(tcp::socket socket, std::size_t most_buffered)
      : stream(std::move(socket)), buffer(most_buffered) {}

  /// \brief Whether bytes of a request have come that are not read yet.
  [[nodiscard]] bool HasInput() {
    char byte = 0;
    return buffer.size() > 0 ||
           ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  bool idle = true;
};

class beast_exchange final : public http_exchange {
 public:
  beast_exchange(connection& peer,
                 const http_request& request,
                 const http_limits& limits,
                 bool keep_alive)
      : peer_(peer), request_(request), limits_(limits), keep_alive_(keep_alive) {}

  [[nodiscard]] const http_request& request() const noexcept override { return request_; }

  bool Respond(http_response response) override {
    started_ = true;
    http::response<http::string_body> message{static_cast<http::status>(response.status), 11};
    CopyHeaders(response.headers, message);
    message.body() = std::move(response.body);
    message.keep_alive(keep_alive_);
    message.prepare_payload();
    finished_ = Completed(Await([&](auto handler) {
      peer_.stream.expires_after(limits_.write_timeout);
      http::async_write(peer_.stream, message, std::move(handler));
    }));
    return finished_;
  }

  bool StartStream(int status, const http_headers& headers) override {
    started_ = true;
    http::response<http::empty_body> message{static_cast<http::status>(status), 11};
    CopyHeaders(headers, message);
    message.chunked(true);
    message.keep_alive(keep_alive_);
    http::response_serializer<http::empty_body> serializer{message};
    return Completed(Await([&](auto handler) {
      peer_.stream.expires_after(limits_.write_timeout);
      http::async_write_header(peer_.stream, serializer, std::move(handler));
    }));
  }

  bool Write(std::string_view chunk) override {
    if (chunk.empty())
      return !broken_;
    return Completed(Await([&](auto handler) {
      peer_.stream.expires_after(limits_.write_timeout);
      asio::async_write(peer_.stream,
                        http::make_chunk(asio::const_buffer(chunk.data(), chunk.size())),
                        std::move(handler));
    }));
  }

  bool Finish() override {
    finished_ = Completed(Await([&](auto handler) {
      peer_.stream.expires_after(limits_.write_timeout);
      asio::async_write(peer_.stream, http::make_chunk_last(), std::move(handler));
    }));
    return finished_;
  }

  [[nodiscard]] bool PeerGone() override {
    char byte = 0;
    const auto received =
        ::recv(peer_.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void WatchPeer(std::function<void()> on_gone) override {
    watch_ = std::make_shared<std::function<void()>>(std::move(on_gone));
    peer_.stream.socket().async_wait(tcp::socket::wait_read, [this, watch = std::weak_ptr(watch_)](
                                                                 boost::system::error_code ec) {
      const auto call = watch.lock();
      // Readable without a close means that the peer sent its next request early.
      if (call && !ec && PeerGone())
        (*call)();
    });
  }

  [[nodiscard]] bool finished() const noexcept { return finished_; }
  [[nodiscard]] bool started() const noexcept { return started_; }

 private:
  template <typename Message>
  static void CopyHeaders(const http_headers& headers, Message& message) {
    for (const http_header& field : headers) {
      if (IsHopByHop(field.name))
        continue;
      message.insert(field.name, field.value);
    }
  }

  bool Completed(const io_outcome& outcome) {
    broken_ = broken_ || outcome.ec.failed();
    return !broken_;
  }

  connection& peer_;
  const http_request& request_;
  const http_limits& limits_;
  const bool keep_alive_;
  bool started_ = false;
  bool finished_ = false;
  bool broken_ = false;
  std::shared_ptr<std::function<void()>> watch_;
};

// With SO_REUSEPORT a second process could bind the same address and take a part of its
// connections, so an address that another process listens on is found without it.
boost::system::error_code CheckUnused(const tcp::endpoint& address) {
  boost::system::error_code ec;
  asio::io_context io;
  tcp::acceptor probe(io);
  probe.open(address.protocol(), ec);
  if (!ec)
    probe.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    probe.bind(address, ec);
  if (!ec)
    probe.listen(1, ec);
  return ec;
}

http_request ToRequest(http::request<http::string_body>&& message) {
  http_request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message)
    request.headers.Add(std::string(field.name_string()), std::string(field.value()));
  request.body = std::move(message.body());
  return request;
}

http_response RefuseParse(const boost::system::error_code& ec) {
  const bool too_large = ec == http::error::body_limit;
  const bool header_limit = ec == http::error::header_limit;
  const int status = too_large ? 413 : header_limit ? 431 : 400;
  http_response response{status, {{"Content-Type", "application/json"}}, {}};
  response.headers.Set("Quincebank-Verdict", std::string(ToString(verdict::kNotRun)));
  response.body = R"({"error":{"code":"invalid-argument","message":")" + ec.message() +
                  R"(","verdict":"not-run"}})";
  return response;
}

}  // namespace

/// Accepts on one thread and owns that thread's connections.
class http_server::listener : public std::enable_shared_from_this<http_server::listener> {
 public:
  listener(http_server& server, fiber_thread& thread)
      : server_(server), thread_(thread), acceptor_(thread.io()) {}

  boost::system::error_code Bind(const tcp::endpoint& address) {
    boost::system::error_code ec;
    acceptor_.open(address.protocol(), ec);
    if (!ec)
      acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
      acceptor_.set_option(reuse_port(true), ec);
    if (!ec)
      acceptor_.bind(address, ec);
    if (!ec)
      acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    return ec;
  }

  [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  void Start() {
    ++fibers_;
    thread_.Spawn([self = shared_from_this()] {
      self->Accept();
      --self->fibers_;
    });
  }

  void Close() {
    thread_.RunAndWait([this] {
      closing_ = true;
      AcceptWaiting();
      boost::system::error_code ignored;
      acceptor_.close(ignored);
      for (connection& peer : connections_) {
        if (!peer.idle || peer.HasInput())
          continue;
        peer.stream.cancel();
      }
    });
  }

  /// Ends all connections at once; the server's owner has waited long enough.
  void Abort() {
    thread_.RunAndWait([this] {
      for (connection& peer : connections_)
        peer.stream.close();
    });
  }

  [[nodiscard]] int fibers() const noexcept { return fibers_; }

 private:
  /// Takes the connections that the system has opened already: their clients have sent, or are
  /// about to, and closing the acceptor would reset them.
  void AcceptWaiting() {
    boost::system::error_code ec;
    acceptor_.non_blocking(true, ec);
    while (!ec) {
      tcp::socket socket(thread_.io());
      acceptor_.accept(socket, ec);
      if (!ec)
        Take(std::move(socket));
    }
  }

  void Accept() {
    while (!closing_) {
      tcp::socket socket(thread_.io());
      const io_outcome accepted =
          Await([&](auto handler) { acceptor_.async_accept(socket, std::move(handler)); });
      if (accepted.ec && closing_)
        break;
      if (accepted.ec) {
        kLog.Warning("accept failed: ", accepted.ec.message());
        boost::this_fiber::sleep_for(kAcceptRetryDelay);
        continue;
      }
      Take(std::move(socket));
    }
  }

  void Take(tcp::socket socket) {
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    ++fibers_;
    thread_.Spawn(
        [self = shared_from_this(), shared = std::make_shared<tcp::socket>(std::move(socket))] {
          self->Serve(std::move(*shared));
          --self->fibers_;
        });
  }

  void Serve(tcp::socket socket) {
    connection peer(std::move(socket), kMostBuffered + server_.limits_().header_bytes);
    connections_.push_back(peer);
    // Whatever ends the loop, the list must not keep the connection.
    RunGuarded("connection", [&] {
      while ((!closing_ || peer.HasInput()) && ServeOne(peer)) {
      }
    });
    connections_.erase(connections_.iterator_to(peer));
    boost::system::error_code ignored;
    peer.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  }

  bool ServeOne(connection& peer) {
    http::request_parser<http::string_body> parser;
    const http_limits limits = server_.limits_();
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    peer.idle = true;
    if (peer.buffer.size() == 0) {
      const io_outcome first = Await([&](auto handler) {
        peer.stream.expires_after(limits.idle_timeout);
        peer.stream.async_read_some(peer.buffer.prepare(kReadBytes), std::move(handler));
      });
      if (first.ec)
        return false;
      peer.buffer.commit(first.bytes);
    }
    peer.idle = false;
    ++server_.running_;
    bool again = false;
    RunGuarded("request", [&] { again = Answer(peer, parser, limits); });
    --server_.running_;
    return again;
  }

  bool Answer(connection& peer,
              http::request_parser<http::string_body>& parser,
              const http_limits& limits) {
    io_outcome read = Await([&](auto handler) {
      peer.stream.expires_after(limits.header_timeout);
      http::async_read_header(peer.stream, peer.buffer, parser, std::move(handler));
    });
    if (!read.ec && !parser.is_done()) {
      read = Await([&](auto handler) {
        peer.stream.expires_after(limits.read_timeout);
        http::async_read(peer.stream, peer.buffer, parser, std::move(handler));
      });
    }
    const bool keep_alive =
        !read.ec && parser.keep_alive() && !closing_ && !server_.announce_close_;
    const http_request request = read.ec ? http_request{} : ToRequest(parser.release());
    beast_exchange exchange(peer, request, limits, keep_alive);
    if (read.ec) {
      if (read.ec.category() == http::make_error_code(http::error::body_limit).category()) {
        exchange.Respond(RefuseParse(read.ec));
        DiscardRest(peer, kDiscardedBodies * limits.body_bytes);
      }
      return false;
    }
    if (!RunGuarded("handler", [&] { server_.handler_(exchange); }) && !exchange.started())
      exchange.Respond({500, {}, {}});
    return exchange.finished() && keep_alive;
  }

  // Closing while the peer still sends resets the connection, and the peer loses the refusal.
  static void DiscardRest(connection& peer, std::uint64_t most) {
    boost::system::error_code ignored;
    peer.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    peer.stream.expires_after(kDiscardLimit);
    io_outcome read;
    for (std::uint64_t discarded = 0; !read.ec && discarded < most; discarded += read.bytes) {
      peer.buffer.clear();
      read = Await([&](auto handler) {
        peer.stream.async_read_some(peer.buffer.prepare(kDiscardBytes), std::move(handler));
      });
    }
  }

  static constexpr milliseconds kDiscardLimit{2'000};
  static constexpr std::size_t kDiscardBytes = std::size_t{64} * 1024;
  static constexpr std::uint64_t kDiscardedBodies = 2;  ///< In the largest that are allowed.
  static constexpr std::size_t kReadBytes = 4096;

  http_server& server_;
  fiber_thread& thread_;
  tcp::acceptor acceptor_;
  bool closing_ = false;
  std::atomic<int> fibers_{0};  ///< That accept, and one for each connection.
  boost::intrusive::list<connection> connections_;
};

http_server::http_server(endpoint address, http_handler handler, http_limits_source limits)
    : address_(std::move(address)), handler_(std::move(handler)), limits_(std::move(limits)) {}

result<std::unique_ptr<http_server>> http_server::Listen(const std::vector<fiber_thread*>& threads,
                                                         const endpoint& address,
                                                         http_handler handler,
                                                         const http_limits& limits) {
  return Listen(threads, address, std::move(handler),
                http_limits_source([limits] { return limits; }));
}

result<std::unique_ptr<http_server>> http_server::Listen(const std::vector<fiber_thread*>& threads,
                                                         const endpoint& address,
                                                         http_handler handler,
                                                         http_limits_source limits) {
  boost::system::error_code ec;
  const auto ip = asio::ip::make_address(address.address, ec);
  if (ec) {
    return MakeError(error_code::kInvalidArgument, address.address + " is not an IP address");
  }
  ec = CheckUnused({ip, address.port});
  if (ec) {
    return MakeError(error_code::kUnavailable,
                     "can't listen on " + ToString(address) + ": " + ec.message());
  }
  std::unique_ptr<http_server> server(
      new http_server(address, std::move(handler), std::move(limits)));
  for (fiber_thread* const thread : threads) {
    auto accepting = std::make_shared<listener>(*server, *thread);
    ec = accepting->Bind({ip, server->address_.port});
    if (ec) {
      return MakeError(error_code::kUnavailable,
                       "can't listen on " + ToString(address) + ": " + ec.message());
    }
    server->address_.port = accepting->port();
    server->listeners_.push_back(std::move(accepting));
  }
  for (const auto& accepting : server->listeners_)
    accepting->Start();
  return server;
}

http_server::~http_server() {
  Close();
  for (const auto& accepting : listeners_) {
    accepting->Abort();
    while (accepting->fibers() > 0)
      std::this_thread::sleep_for(milliseconds(1));
  }
}

void http_server::AnnounceClose() noexcept {
  announce_close_ = true;
}

void http_server::Close() {
  for (const auto& accepting : listeners_)
    accepting->Close();
}

int http_server::running() const noexcept {
  return running_;
}

bool http_server::Drained() const noexcept {
  return std::all_of(listeners_.begin(), listeners_.end(),
                     [](const auto& accepting) { return accepting->fibers() == 0; });
}

}  // namespace quincebank
