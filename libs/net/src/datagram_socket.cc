#include "quincebank/net/datagram_socket.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "quincebank/net/impl/await.h"

namespace quincebank {
namespace {

namespace asio = boost::asio;
using udp = asio::ip::udp;

// Datagrams stay within one Ethernet frame.
constexpr std::size_t kMostBytes = 1'472;

result<udp::endpoint> Resolve(const endpoint& peer) {
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(peer.address, ec);
  if (ec)
    return MakeError(error_code::kInvalidArgument, peer.address + ": " + ec.message());
  return udp::endpoint(address, peer.port);
}

}  // namespace

struct datagram_socket::impl {
  explicit impl(asio::io_context& io) : socket(io) {}

  udp::socket socket;
  endpoint address;
};

datagram_socket::datagram_socket(std::shared_ptr<impl> impl) : impl_(std::move(impl)) {}

datagram_socket::~datagram_socket() {
  Close();
}

result<std::unique_ptr<datagram_socket>> datagram_socket::Bind(fiber_thread& thread,
                                                               const endpoint& address) {
  BOOST_OUTCOME_TRY(const udp::endpoint local, Resolve(address));
  auto bound = std::make_shared<impl>(thread.io());
  boost::system::error_code ec;
  bound->socket.open(local.protocol(), ec);
  if (!ec)
    bound->socket.bind(local, ec);
  if (!ec)
    bound->socket.non_blocking(true, ec);
  if (ec)
    return MakeError(error_code::kUnavailable, ToString(address) + ": " + ec.message());
  bound->address = {address.address, bound->socket.local_endpoint(ec).port()};
  return std::unique_ptr<datagram_socket>(new datagram_socket(std::move(bound)));
}

const endpoint& datagram_socket::address() const noexcept {
  return impl_->address;
}

bool datagram_socket::Send(const endpoint& receiver, std::string_view payload) {
  const auto peer = Resolve(receiver);
  if (!peer)
    return false;
  boost::system::error_code ec;
  impl_->socket.send_to(asio::buffer(payload.data(), payload.size()), peer.value(), 0, ec);
  return !ec;
}

result<datagram> datagram_socket::Receive() {
  const auto held = impl_;
  std::array<char, kMostBytes> buffer{};
  udp::endpoint sender;
  const auto outcome = quincebank::impl::Await([&](auto handler) {
    held->socket.async_receive_from(asio::buffer(buffer), sender, std::move(handler));
  });
  if (outcome.ec)
    return MakeError(error_code::kUnavailable, outcome.ec.message());
  return datagram{{sender.address().to_string(), sender.port()}, {buffer.data(), outcome.bytes}};
}

void datagram_socket::Close() {
  asio::post(impl_->socket.get_executor(), [held = impl_] {
    boost::system::error_code ignored;  // Closing twice is no failure.
    held->socket.close(ignored);
  });
}

}  // namespace quincebank
