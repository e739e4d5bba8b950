#include "quincebank/net/http_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/intrusive/list.hpp>
#include <utility>

#include "message_parser.h"
#include "quincebank/base/clock.h"
#include "quincebank/base/log.h"
#include "quincebank/base/random.h"
#include "quincebank/net/fiber_thread.h"
#include "quincebank/net/impl/await.h"
#include "quincebank/net/memory_budget.h"

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
constexpr std::size_t kMostBuffered = std::size_t{32} * 1024;
// Pause after a failed accept (such as no file descriptors left), so that the loop doesn't spin.
constexpr milliseconds kAcceptRetryDelay{50};

using body_parser = impl::message_parser<true>;

enum class connection_state : std::uint8_t {
  kIdle,       ///< Between two requests.
  kReading,    ///< A request is incomplete.
  kAnswering,  ///< The handler runs.
};

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
  connection_state state = connection_state::kIdle;
  time_point last_progress{};
  bool evicted = false;  ///< It is being closed early.
};

memory_budget& BudgetOf(const http_limits& limits) noexcept {
  return limits.memory == nullptr ? memory_budget::OfProcess() : *limits.memory;
}

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
    // Held until the client has read it. A small one is only counted.
    memory_reservation memory(BudgetOf(limits_));
    if (response.body.size() <= memory_budget::kSmallBytes) {
      memory.Set(response.body.size());
    } else if (!memory.TryGrowTo(response.body.size())) {
      // The handler may have run, so this is no rejection.
      broken_ = true;
      return false;
    }
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

void TakeHead(body_parser& parser, http_request& request) {
  request.method = std::string(parser.get().method_string());
  request.target = std::string(parser.get().target());
  request.headers = parser.TakeHeaders();
}

/// Response to a request that was not passed to the handler, so it has not run.
http_response MakeRefusal(int status, std::string_view code, const std::string& message) {
  http_response response{status, {{"Content-Type", "application/json"}}, {}};
  response.headers.Set("Quincebank-Verdict", std::string(ToString(verdict::kNotRun)));
  response.body = R"({"error":{"code":")" + std::string(code) + R"(","message":")" + message +
                  R"(","verdict":"not-run"}})";
  return response;
}

http_response RefuseParse(const boost::system::error_code& ec) {
  const bool too_large = ec == http::error::body_limit;
  const bool header_limit = ec == http::error::header_limit;
  const int status = too_large ? 413 : header_limit ? 431 : 400;
  return MakeRefusal(status, "invalid-argument", ec.message());
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
    // Accepted sockets take these over.
    const int buffer_bytes = static_cast<int>(server_.limits_().socket_buffer_bytes);
    if (!ec && buffer_bytes > 0)
      acceptor_.set_option(asio::socket_base::receive_buffer_size(buffer_bytes), ec);
    if (!ec && buffer_bytes > 0)
      acceptor_.set_option(asio::socket_base::send_buffer_size(buffer_bytes), ec);
    if (!ec)
      acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    return ec;
  }

  [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  void Start() {
    ++fibers_;
    thread_.Spawn([self = shared_from_this()] {
      while (!RunGuarded("accept", [&] { self->Accept(); }))
        boost::this_fiber::sleep_for(kAcceptRetryDelay);
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
        if (peer.state != connection_state::kIdle || peer.HasInput())
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
    if (!MakeRoom()) {
      ++server_.closed_connections_;
      return;
    }
    ++server_.open_;
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    ++fibers_;
    thread_.Spawn(
        [self = shared_from_this(), shared = std::make_shared<tcp::socket>(std::move(socket))] {
          RunGuarded("connection", [&] { self->Serve(std::move(*shared)); });
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
    if (!peer.evicted)
      --server_.open_;
    boost::system::error_code ignored;
    peer.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  }

  bool ServeOne(connection& peer) {
    const http_limits limits = server_.limits_();
    if (peer.buffer.size() == 0)
      peer.buffer.shrink_to_fit();
    Enter(peer, connection_state::kIdle);
    if (peer.buffer.size() == 0) {
      const io_outcome first = Await([&](auto handler) {
        peer.stream.expires_after(limits.idle_timeout);
        peer.stream.async_read_some(peer.buffer.prepare(kReadBytes), std::move(handler));
      });
      if (first.ec || peer.evicted)
        return false;
      peer.buffer.commit(first.bytes);
    }
    Enter(peer, connection_state::kReading);
    ++server_.running_;
    bool again = false;
    RunGuarded("request", [&] { again = Answer(peer, limits); });
    --server_.running_;
    return again;
  }

  bool Answer(connection& peer, const http_limits& limits) {
    body_parser parser;
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    memory_reservation memory(BudgetOf(limits));
    http_request request;
    boost::system::error_code ec = ReadHead(peer, parser, limits);
    if (!ec && !parser.is_done())
      ec = ReadBody(peer, parser, limits, request.body, memory);
    const bool keep_alive = !ec && parser.keep_alive() && !closing_ && !server_.announce_close_;
    if (!ec)
      TakeHead(parser, request);
    beast_exchange exchange(peer, request, limits, keep_alive);
    if (ec) {
      Refuse(peer, exchange, ec, limits);
      return false;
    }
    Enter(peer, connection_state::kAnswering);
    if (!RunGuarded("handler", [&] { server_.handler_(exchange); }) && !exchange.started())
      exchange.Respond({500, {}, {}});
    return exchange.finished() && keep_alive;
  }

  static boost::system::error_code ReadHead(connection& peer,
                                            body_parser& parser,
                                            const http_limits& limits) {
    return Await([&](auto handler) {
             peer.stream.expires_after(limits.header_timeout);
             http::async_read_header(peer.stream, peer.buffer, parser, std::move(handler));
           })
        .ec;
  }

  /// Reads the body piece by piece, each after its memory is reserved.
  /// \param memory  receives the reservation of a complete body.
  boost::system::error_code ReadBody(connection& peer,
                                     body_parser& parser,
                                     const http_limits& limits,
                                     std::string& body,
                                     memory_reservation& memory) {
    // The order to evict may come from another thread, and later than the body is complete.
    const auto evicted_peer = std::make_shared<connection*>(&peer);
    unfinished_body unfinished(
        BudgetOf(limits),
        [this, weak = std::weak_ptr(evicted_peer)] {
          asio::post(thread_.io(), [weak, self = weak_from_this()] {
            const auto to_evict = weak.lock();
            const auto owner = self.lock();
            if (to_evict && owner)
              owner->Evict(**to_evict);
          });
        },
        Now());
    const boost::system::error_code ec = ReadPieces(peer, parser, limits, body, unfinished);
    if (!ec) {
      memory = std::move(unfinished.memory());
      return ec;
    }
    // A refused body must not take memory while its connection lingers.
    std::string().swap(body);
    return ec;
  }

  boost::system::error_code ReadPieces(connection& peer,
                                       body_parser& parser,
                                       const http_limits& limits,
                                       std::string& body,
                                       unfinished_body& unfinished) {
    const boost::system::error_code no_memory =
        boost::system::errc::make_error_code(boost::system::errc::not_enough_memory);
    const time_point until = Now() + limits.read_timeout;
    const auto length = parser.content_length();
    std::size_t capacity = length ? static_cast<std::size_t>(*length) : kFirstPiece;
    if (!Hold(peer, limits, capacity, body, unfinished))
      return no_memory;
    while (!parser.is_done()) {
      if (peer.evicted)
        return asio::error::operation_aborted;
      if (body.size() == capacity) {
        // One byte more than is allowed, so that the parser always has room to detect the end.
        capacity = std::min(2 * capacity, static_cast<std::size_t>(limits.body_bytes) + 1);
        if (!Hold(peer, limits, capacity, body, unfinished))
          return no_memory;
      }
      const std::size_t held = body.size();
      body.resize(held + std::min(kPieceBytes, capacity - held));
      parser.get().body().data = body.data() + held;
      parser.get().body().size = body.size() - held;
      parser.get().body().more = true;
      const io_outcome read = Await([&](auto handler) {
        peer.stream.expires_at(until);
        http::async_read(peer.stream, peer.buffer, parser, std::move(handler));
      });
      body.resize(body.size() - parser.get().body().size);
      if (read.ec && read.ec != http::error::need_buffer)
        return read.ec;
      unfinished.OnProgress(Now());
      Enter(peer, connection_state::kReading);
    }
    return {};
  }

  /// Gives a body more capacity if the budget has room for it, or gets room by an eviction.
  static bool Hold(const connection& peer,
                   const http_limits& limits,
                   std::size_t capacity,
                   std::string& body,
                   unfinished_body& unfinished) {
    const std::size_t bytes = capacity * limits.body_copies;
    // While the body moves, the memory of both places is in use.
    const std::size_t moving = unfinished.memory().bytes() + bytes;
    memory_budget& budget = BudgetOf(limits);
    bool reserved = unfinished.memory().TryGrowTo(moving);
    if (!reserved && budget.EvictStalled(bytes, Now())) {
      for (time_point until = Now() + kEvictionTime; !reserved && !peer.evicted && Now() < until;) {
        boost::this_fiber::sleep_for(kEvictionPoll);
        reserved = unfinished.memory().TryGrowTo(moving);
      }
    }
    if (!reserved) {
      budget.CountRejection();
      return false;
    }
    body.reserve(capacity);
    unfinished.memory().Set(bytes);
    return true;
  }

  void Refuse(connection& peer,
              beast_exchange& exchange,
              const boost::system::error_code& ec,
              const http_limits& limits) {
    if (peer.evicted) {
      exchange.Respond(MakeRefusal(408, "unavailable", "no progress while memory is short"));
    } else if (ec == boost::system::errc::not_enough_memory) {
      http_response response = MakeRefusal(503, "overloaded", "no memory for the body");
      // Clients that were rejected at the same time must not all retry at the same time.
      response.headers.Set("Retry-After", std::to_string(1 + random_.Below(kMaxRetrySeconds)));
      exchange.Respond(std::move(response));
      // Enough for the client to see the response, although it may first send the whole body.
      DiscardRest(peer, limits.body_bytes);
    } else if (ec.category() == http::make_error_code(http::error::body_limit).category()) {
      exchange.Respond(RefuseParse(ec));
      DiscardRest(peer, kDiscardedBodies * limits.body_bytes);
    }
  }

  // Closing while the peer still sends resets the connection, and the peer loses the refusal.
  static void DiscardRest(connection& peer, std::uint64_t most) {
    boost::system::error_code ignored;
    peer.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    peer.stream.expires_after(kDiscardLimit);
    io_outcome read;
    for (std::uint64_t discarded = 0; !read.ec && !peer.evicted && discarded < most;
         discarded += read.bytes) {
      peer.buffer.clear();
      read = Await([&](auto handler) {
        peer.stream.async_read_some(peer.buffer.prepare(kReadBytes), std::move(handler));
      });
    }
  }

  /// Notes that a connection has made progress. The list is in the order of these moments.
  void Enter(connection& peer, connection_state state) {
    peer.state = state;
    peer.last_progress = Now();
    connections_.splice(connections_.end(), connections_, connections_.iterator_to(peer));
  }

  /// Makes room for another connection by closing one that waits for its client.
  /// \returns False if there is none.
  bool MakeRoom() {
    const std::size_t most = server_.limits_().connections;
    if (most == 0 || server_.open_ < most)
      return true;
    // Connections that are being closed have their descriptors for some moments more.
    if (static_cast<std::size_t>(fibers_) > most + most / kClosingDivisor + kMinClosing)
      return false;
    for (connection& peer : connections_) {
      if (peer.state == connection_state::kIdle && !peer.evicted && !peer.HasInput())
        return Evict(peer);
    }
    for (connection& peer : connections_) {
      if (peer.last_progress + memory_budget::kStallTime > Now())
        return false;
      if (peer.state == connection_state::kReading && !peer.evicted)
        return Evict(peer);
    }
    return false;
  }

  bool Evict(connection& peer) {
    if (peer.evicted)
      return true;
    peer.evicted = true;
    --server_.open_;
    ++server_.closed_connections_;
    peer.stream.cancel();
    return true;
  }

  static constexpr milliseconds kDiscardLimit{2'000};
  static constexpr std::uint64_t kDiscardedBodies = 2;  ///< In the largest that are allowed.
  static constexpr std::size_t kReadBytes = 4096;
  static constexpr std::size_t kFirstPiece = 4096;  ///< Of a body whose length is unknown.
  static constexpr std::size_t kPieceBytes = std::size_t{16} * 1024;
  /// Time in which evicted connections give back their memory.
  static constexpr milliseconds kEvictionTime{100};
  static constexpr milliseconds kEvictionPoll{5};
  static constexpr std::uint64_t kMaxRetrySeconds = 4;
  static constexpr std::size_t kClosingDivisor = 8;  ///< Of connections that are being closed.
  static constexpr std::size_t kMinClosing = 8;

  http_server& server_;
  fiber_thread& thread_;
  tcp::acceptor acceptor_;
  bool closing_ = false;
  std::atomic<int> fibers_{0};  ///< That accept, and one for each connection.
  boost::intrusive::list<connection> connections_;
  random_source random_ = random_source::FromSystem();
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
