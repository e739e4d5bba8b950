#include "quincebank/standins/relay.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <string>
#include <utility>
#include <vector>

#include "http_reply.h"
#include "quincebank/net/fiber_thread.h"
#include "quincebank/net/impl/await.h"

namespace quincebank {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using impl::Await;
using impl::io_outcome;

struct relayed_pair {
  explicit relayed_pair(asio::io_context& io) : caller(io), target(io) {}

  void Close() {
    boost::system::error_code ignored;
    caller.close(ignored);
    target.close(ignored);
  }

  tcp::socket caller;
  tcp::socket target;
  std::string source;  ///< IP address of the caller.
  bool silent = false;
};

class relay final : public standin {
 public:
  relay(fiber_thread& thread, const endpoint& target)
      : thread_(thread),
        acceptor_(thread.io()),
        target_(asio::ip::make_address(target.address), target.port) {}

  boost::system::error_code Listen(const endpoint& address) {
    boost::system::error_code ec;
    const tcp::endpoint local(asio::ip::make_address(address.address, ec), address.port);
    if (!ec)
      acceptor_.open(local.protocol(), ec);
    if (!ec)
      acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
      acceptor_.bind(local, ec);
    if (!ec)
      acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    if (!ec)
      thread_.Spawn([this] { Accept(); });
    return ec;
  }

  void Handle(http_exchange& exchange) override {
    ReadControl(exchange, [&](json_reader& reader) {
      partition_ = reader.Bool("partition", partition_);
      if (reader.Has("partition_from"))
        cut_sources_ = reader.Strings("partition_from");
      const bool silence = reader.Bool("silence", false);
      const bool cut = reader.Bool("cut", false);
      for (const std::shared_ptr<relayed_pair>& pair : pairs_) {
        pair->silent = pair->silent || silence || IsCut(*pair);
        if (cut)
          pair->Close();
      }
    });
  }

 private:
  void Accept() {
    for (;;) {
      auto pair = std::make_shared<relayed_pair>(thread_.io());
      const io_outcome accepted =
          Await([&](auto handler) { acceptor_.async_accept(pair->caller, std::move(handler)); });
      if (accepted.ec)
        return;
      boost::system::error_code ec;
      const tcp::endpoint source = pair->caller.remote_endpoint(ec);
      if (!ec)
        pair->source = source.address().to_string();
      pair->silent = IsCut(*pair);
      pairs_.push_back(pair);
      thread_.Spawn([this, pair] { Serve(pair); });
    }
  }

  void Serve(const std::shared_ptr<relayed_pair>& pair) {
    const io_outcome connected =
        Await([&](auto handler) { pair->target.async_connect(target_, std::move(handler)); });
    if (connected.ec) {
      pair->Close();
      pairs_.remove(pair);
      return;
    }
    thread_.Spawn([pair] { Pump(*pair, pair->target, pair->caller); });
    Pump(*pair, pair->caller, pair->target);
    pairs_.remove(pair);
  }

  static void Pump(relayed_pair& pair, tcp::socket& from, tcp::socket& to) {
    std::array<char, 16384> bytes{};
    for (;;) {
      const io_outcome read = Await(
          [&](auto handler) { from.async_read_some(asio::buffer(bytes), std::move(handler)); });
      if (read.ec)
        break;
      // The bytes vanish, as behind a firewall that has forgotten the connection.
      if (pair.silent)
        continue;
      const io_outcome written = Await([&](auto handler) {
        asio::async_write(to, asio::buffer(bytes.data(), read.bytes), std::move(handler));
      });
      if (written.ec)
        break;
    }
    if (!pair.silent)
      pair.Close();
  }

  fiber_thread& thread_;
  tcp::acceptor acceptor_;
  const tcp::endpoint target_;
  [[nodiscard]] bool IsCut(const relayed_pair& pair) const {
    return partition_ ||
           std::find(cut_sources_.begin(), cut_sources_.end(), pair.source) != cut_sources_.end();
  }

  std::list<std::shared_ptr<relayed_pair>> pairs_;
  bool partition_ = false;
  std::vector<std::string> cut_sources_;  ///< Callers whose bytes pass in neither direction.
};

}  // namespace

result<std::unique_ptr<standin>> MakeRelay(fiber_thread& thread,
                                           const endpoint& listen,
                                           const endpoint& target) {
  auto made = std::make_unique<relay>(thread, target);
  const boost::system::error_code ec = made->Listen(listen);
  if (ec) {
    return MakeError(error_code::kUnavailable,
                     "can't listen on " + ToString(listen) + ": " + ec.message());
  }
  return std::unique_ptr<standin>(std::move(made));
}

}  // namespace quincebank
