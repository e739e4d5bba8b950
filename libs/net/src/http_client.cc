#include "quincebank/net/http_client.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <map>
#include <utility>
#include <vector>

#include "message_parser.h"
#include "quincebank/base/time.h"
#include "quincebank/net/fiber_thread.h"
#include "quincebank/net/impl/await.h"
#include "quincebank/net/impl/keepalive.h"
#include "silence_watch.h"

namespace quincebank {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using impl::Await;
using impl::io_outcome;

constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
// Bytes held between reads. A chunk's extension or a trailer is held until it is complete, and the
// parser itself sets no limit to them.
constexpr std::size_t kMostBuffered = std::size_t{128} * 1024;
constexpr int kFirstInterimStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
// Foreign and interim answers that are skipped before a connection is given up.
constexpr int kForeignAnswers = 3;
// Bytes of one such answer that are skipped.
constexpr std::size_t kMostSkippedBytes = std::size_t{1024} * 1024;
// Time for the body of an answer that is read as a whole, in idle timeouts.
constexpr int kBodyTimeouts = 4;
// A server that states when it closes idle connections may do so this much earlier by its clock.
constexpr milliseconds kKeepAliveMargin{500};

struct connection {
  explicit connection(asio::io_context& io) : stream(io) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMostBuffered};
  time_point answered{};                   ///< When its last answer ended.
  time_point expires = time_point::max();  ///< The server may close it from then on.
};

/// Lets a cancellation close a connection for as long as the call uses it.
class cancellation_scope {
 public:
  cancellation_scope(ref_ptr<call_cancellation> cancellation, connection& used)
      : cancellation_(std::move(cancellation)) {
    if (cancellation_)
      cancellation_->SetClose([&used] { used.stream.close(); });
  }
  ~cancellation_scope() { Release(); }
  cancellation_scope(const cancellation_scope&) = delete;
  cancellation_scope& operator=(const cancellation_scope&) = delete;

  void Release() {
    if (cancellation_)
      cancellation_->SetClose({});
    cancellation_.reset();
  }

 private:
  ref_ptr<call_cancellation> cancellation_;
};

// A peer that closed or sent bytes unasked has made the connection useless; a request written to
// it could not be told from one that ran.
bool IsReusable(connection& idle) {
  char byte = 0;
  const auto received =
      ::recv(idle.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Reads `timeout=N` of a Keep-Alive field.
std::optional<seconds> KeepAliveTimeout(std::string_view field) {
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = field.find(kName);
  if (at == std::string_view::npos)
    return std::nullopt;
  int value = 0;
  const char* const first = field.data() + at + kName.size();
  const auto parsed = std::from_chars(first, field.data() + field.size(), value);
  if (parsed.ec != std::errc())
    return std::nullopt;
  return seconds(value);
}

/// Waits for an operation on the connection until a moment, or longer if the call's handler wants
/// so.
template <typename Start>
io_outcome AwaitUntil(beast::tcp_stream& stream,
                      impl::silence_watch* watch,
                      time_point until,
                      Start start) {
  if (watch != nullptr)
    return watch->Await(until, std::move(start));
  stream.expires_at(until);
  return Await(std::move(start));
}

/// Head of a request. Beast's container of fields holds no names or values over 64 KB.
std::string MakeHead(const http_request& request, const endpoint& peer, std::size_t body_bytes) {
  std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
  const auto add = [&head](std::string_view name, std::string_view value) {
    head.append(name).append(": ").append(value).append("\r\n");
  };
  for (const http_header& field : request.headers) {
    if (IsHopByHop(field.name))
      continue;
    add(field.name, field.value);
  }
  if (!request.headers.Find("Host"))
    add("Host", ToString(peer));
  // RFC 9110, 8.6: methods that give a body a meaning state the length of an empty one too.
  const bool expects_body =
      request.method == "POST" || request.method == "PUT" || request.method == "OPTIONS";
  if (body_bytes > 0 || expects_body)
    add("Content-Length", std::to_string(body_bytes));
  return head + "\r\n";
}

error ToError(const boost::system::error_code& ec, std::string what, verdict outcome) {
  const bool timeout = ec == beast::error::timeout;
  return MakeError(timeout ? error_code::kTimeout : error_code::kUnavailable,
                   std::move(what) + ": " + ec.message(), outcome);
}

}  // namespace

class http_client::impl {
 public:
  impl(fiber_thread& thread, std::string source) : thread_(thread), source_(std::move(source)) {}

  result<std::unique_ptr<connection>> Connect(const http_call& call) {
    auto& idle = idle_[call.peer];
    while (!call.fresh_connection && !idle.empty()) {
      std::unique_ptr<connection> kept = std::move(idle.back());
      idle.pop_back();
      if (kept->answered > call.reuse_after && std::chrono::steady_clock::now() < kept->expires &&
          IsReusable(*kept))
        return kept;
    }
    boost::system::error_code ec;
    const auto ip = asio::ip::make_address(call.peer.address, ec);
    if (ec)
      return MakeError(error_code::kInvalidArgument, call.peer.address + " is not an IP address");
    auto fresh = std::make_unique<connection>(thread_.io());
    if (!source_.empty())
      Bind(fresh->stream.socket(), ip.is_v6() ? tcp::v6() : tcp::v4(), ec);
    if (ec)
      return ToError(ec, "bind to " + source_, verdict::kNotRun);
    const io_outcome connected = Await([&](auto handler) {
      fresh->stream.expires_after(call.connect_timeout);
      fresh->stream.async_connect(tcp::endpoint(ip, call.peer.port), std::move(handler));
    });
    if (connected.ec)
      return ToError(connected.ec, "connect to " + ToString(call.peer), verdict::kNotRun);
    fresh->stream.socket().set_option(tcp::no_delay(true), ec);
    quincebank::impl::KeepAlive(fresh->stream.socket().native_handle());
    return fresh;
  }

  void Keep(const endpoint& peer, std::size_t most_idle, std::unique_ptr<connection> finished) {
    auto& idle = idle_[peer];
    finished->answered = std::chrono::steady_clock::now();
    if (idle.size() < most_idle && finished->buffer.size() == 0)
      idle.push_back(std::move(finished));
  }

  /// Closes the idle connections that have not answered since the peer went silent. What forgets
  /// one connection on the way often forgets them all, and each would cost a timeout of its own.
  void DropIdle(const endpoint& peer, time_point silent_since) {
    std::erase_if(idle_[peer], [&](const auto& idle) { return idle->answered <= silent_since; });
  }

  void CountBytes(std::size_t bytes) noexcept { bytes_moved_ += bytes; }
  [[nodiscard]] std::uint64_t bytes_moved() const noexcept { return bytes_moved_; }

 private:
  void Bind(tcp::socket& socket, tcp protocol, boost::system::error_code& ec) const {
    const auto address = asio::ip::make_address(source_, ec);
    if (!ec)
      socket.open(protocol, ec);
    if (ec)
      return;
    // The port is chosen when the peer is known, so that one port serves many peers. Without the
    // option the number of connections is smaller, which is no error.
    const int on = 1;
    (void)::setsockopt(socket.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
    socket.bind(tcp::endpoint(address, 0), ec);
  }

  fiber_thread& thread_;
  const std::string source_;
  std::atomic<std::uint64_t> bytes_moved_{0};
  std::map<endpoint, std::vector<std::unique_ptr<connection>>> idle_;
};

namespace {

template <typename Pool>
class beast_stream final : public http_stream {
 public:
  beast_stream(std::shared_ptr<Pool> pool,
               const http_call& call,
               std::unique_ptr<connection> connected,
               std::shared_ptr<impl::silence_watch> watch)
      : pool_(std::move(pool)),
        peer_(call.peer),
        connection_(std::move(connected)),
        kept_connection_(connection_->answered != time_point{}),
        watch_(std::move(watch)),
        cancellation_(call.cancellation, *connection_),
        idle_timeout_(call.idle_timeout),
        most_idle_(call.most_idle) {
    StartParser();
  }

  /// Reads headers until that of an answer that belongs to the call.
  result<void> ReadHeader(const http_call& call) {
    const time_point until = std::chrono::steady_clock::now() + call.response_timeout;
    for (int skipped = 0; skipped < kForeignAnswers; ++skipped) {
      BOOST_OUTCOME_TRY(ReadOneHeader(until));
      if (IsInterim()) {
        StartParser();
        headers_ = {};
        continue;
      }
      if (!IsFinal()) {
        const std::string odd_status = std::to_string(status());
        Drop();
        return MakeError(error_code::kTruncated,
                         ToString(peer_) + " answers with status " + odd_status,
                         verdict::kMayHaveRun);
      }
      if (!call.belongs || call.belongs(headers_)) {
        KeepIfDone();
        return outcome_success();
      }
      BOOST_OUTCOME_TRY(SkipBody(until));
    }
    Drop();
    return MakeError(error_code::kTruncated,
                     ToString(peer_) + " answers other requests on this connection",
                     verdict::kMayHaveRun);
  }

  result<void> ReadOneHeader(time_point until) {
    const time_point asked = std::chrono::steady_clock::now();
    const io_outcome read = AwaitUntil(connection_->stream, watch_.get(), until, [&](auto handler) {
      http::async_read_header(connection_->stream, connection_->buffer, *parser_,
                              std::move(handler));
    });
    pool_->CountBytes(read.bytes);
    if (read.ec) {
      Drop();
      if (read.ec == beast::error::timeout)
        pool_->DropIdle(peer_, asked);
      return ToError(read.ec, "no answer from " + ToString(peer_), verdict::kMayHaveRun);
    }
    headers_ = parser_->TakeHeaders();
    return outcome_success();
  }

  /// Discards the rest of an answer and gets ready for the next one on the connection. A body
  /// without end must neither hold the call nor keep it reading.
  result<void> SkipBody(time_point until) {
    std::string scratch(kReadBytes, '\0');
    std::size_t skipped = 0;
    while (!parser_->is_done()) {
      parser_->get().body().data = scratch.data();
      parser_->get().body().size = scratch.size();
      const time_point limit = std::min(until, std::chrono::steady_clock::now() + idle_timeout_);
      const io_outcome read =
          AwaitUntil(connection_->stream, watch_.get(), limit, [&](auto handler) {
            http::async_read_some(connection_->stream, connection_->buffer, *parser_,
                                  std::move(handler));
          });
      skipped += read.bytes;
      const bool failed = read.ec && read.ec != http::error::need_buffer;
      if (!failed && skipped <= kMostSkippedBytes)
        continue;
      Drop();
      if (failed)
        return ToError(read.ec, "no answer from " + ToString(peer_), verdict::kMayHaveRun);
      return MakeError(error_code::kTruncated,
                       ToString(peer_) + " sends another request's answer without end",
                       verdict::kMayHaveRun);
    }
    StartParser();
    headers_ = {};
    return outcome_success();
  }

  void SetIdleTimeout(milliseconds timeout) override { idle_timeout_ = timeout; }
  void SetDeadline(time_point deadline) override { deadline_ = deadline; }
  [[nodiscard]] int status() const noexcept override { return parser_->get().result_int(); }
  [[nodiscard]] const http_headers& headers() const noexcept override { return headers_; }
  [[nodiscard]] bool is_on_kept_connection() const noexcept override { return kept_connection_; }

  result<std::optional<std::string>> ReadSome() override {
    std::string bytes;
    while (bytes.empty()) {
      if (parser_->is_done()) {
        KeepIfDone();
        return std::optional<std::string>();
      }
      if (!connection_)
        return MakeError(error_code::kTruncated, "answer ended early", verdict::kMayHaveRun);
      const time_point asked = std::chrono::steady_clock::now();
      bytes.resize(kReadBytes);
      parser_->get().body().data = bytes.data();
      parser_->get().body().size = bytes.size();
      const time_point until = std::min(deadline_, asked + idle_timeout_);
      const io_outcome read =
          AwaitUntil(connection_->stream, watch_.get(), until, [&](auto handler) {
            http::async_read_some(connection_->stream, connection_->buffer, *parser_,
                                  std::move(handler));
          });
      pool_->CountBytes(read.bytes);
      bytes.resize(bytes.size() - parser_->get().body().size);
      if (read.ec && read.ec != http::error::need_buffer) {
        Drop();
        if (read.ec == beast::error::timeout) {
          pool_->DropIdle(peer_, asked);
          return ToError(read.ec, "no bytes from " + ToString(peer_), verdict::kMayHaveRun);
        }
        return MakeError(error_code::kTruncated,
                         "answer of " + ToString(peer_) + " ended early: " + read.ec.message(),
                         verdict::kMayHaveRun);
      }
    }
    return std::optional<std::string>(std::move(bytes));
  }

 private:
  /// Whether the header is that of an interim answer, which has no body and precedes the final one.
  [[nodiscard]] bool IsInterim() const noexcept {
    return status() >= kFirstInterimStatus && status() < kFirstFinalStatus &&
           status() != kSwitchingProtocols;
  }

  /// Whether the status is one of a final answer. No request asks for another protocol, so that 101
  /// is none either.
  [[nodiscard]] bool IsFinal() const noexcept {
    return status() >= kFirstFinalStatus && status() <= kLastStatus;
  }

  void StartParser() {
    parser_.emplace();
    parser_->body_limit(boost::none);
  }

  static result<void> outcome_success() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

  void Drop() {
    cancellation_.Release();
    connection_.reset();
  }

  void KeepIfDone() {
    if (!connection_ || !parser_->is_done())
      return;
    cancellation_.Release();
    if (parser_->keep_alive()) {
      const auto timeout = KeepAliveTimeout(headers_.Get("Keep-Alive"));
      if (timeout)
        connection_->expires = std::chrono::steady_clock::now() + *timeout - kKeepAliveMargin;
      pool_->Keep(peer_, most_idle_, std::move(connection_));
    }
    connection_.reset();
  }

  std::shared_ptr<Pool> pool_;
  endpoint peer_;
  std::unique_ptr<connection> connection_;
  const bool kept_connection_;
  std::shared_ptr<impl::silence_watch> watch_;  ///< Null if the call has no handler of silences.
  cancellation_scope cancellation_;             // After `connection_`, which it refers to.
  milliseconds idle_timeout_;
  time_point deadline_ = time_point::max();
  std::size_t most_idle_;
  std::optional<impl::message_parser<false>> parser_;
  http_headers headers_;
};

}  // namespace

http_client::http_client(fiber_thread& thread, const std::string& source)
    : impl_(std::make_shared<impl>(thread, source)) {}

http_client::~http_client() = default;

result<std::unique_ptr<http_stream>> http_client::Open(const http_call& call) {
  BOOST_OUTCOME_TRY(std::unique_ptr<connection> connected, impl_->Connect(call));
  if (call.cancellation && call.cancellation->cancelled())
    return MakeError(error_code::kUnavailable, "the call was cancelled", verdict::kNotRun);
  const std::string_view body = call.body.value_or(call.request.body);
  const std::string head = MakeHead(call.request, call.peer, body.size());
  const std::array message{asio::buffer(head), asio::buffer(body.data(), body.size())};
  cancellation_scope writing(call.cancellation, *connected);
  std::shared_ptr<quincebank::impl::silence_watch> watch;
  if (call.on_silence)
    watch = std::make_shared<quincebank::impl::silence_watch>(connected->stream, call.on_silence);
  const time_point until = std::chrono::steady_clock::now() + call.response_timeout;
  const io_outcome written = AwaitUntil(connected->stream, watch.get(), until, [&](auto handler) {
    asio::async_write(connected->stream, message, std::move(handler));
  });
  writing.Release();
  impl_->CountBytes(written.bytes);
  if (written.ec)
    return ToError(written.ec, "send to " + ToString(call.peer), verdict::kMayHaveRun);
  auto stream =
      std::make_unique<beast_stream<impl>>(impl_, call, std::move(connected), std::move(watch));
  BOOST_OUTCOME_TRY(stream->ReadHeader(call));
  return std::unique_ptr<http_stream>(std::move(stream));
}

result<void> http_client::CheckReachable(const endpoint& peer, milliseconds timeout) {
  http_call call;
  call.peer = peer;
  call.connect_timeout = timeout;
  call.fresh_connection = true;
  BOOST_OUTCOME_TRY(impl_->Connect(call));
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::uint64_t http_client::bytes_moved() const noexcept {
  return impl_->bytes_moved();
}

result<http_response> http_client::Call(const http_call& call) {
  BOOST_OUTCOME_TRY(const std::unique_ptr<http_stream> stream, Open(call));
  stream->SetDeadline(std::chrono::steady_clock::now() + kBodyTimeouts * call.idle_timeout);
  http_response response{stream->status(), stream->headers(), {}};
  for (;;) {
    BOOST_OUTCOME_TRY(const std::optional<std::string> piece, stream->ReadSome());
    if (!piece)
      return response;
    response.body += *piece;
    if (response.body.size() > call.most_body)
      return MakeError(error_code::kTruncated, "answer of " + ToString(call.peer) + " is too large",
                       verdict::kMayHaveRun);
  }
}

}  // namespace quincebank
