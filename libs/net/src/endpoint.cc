#include "quincebank/net/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace quincebank {

std::string ToString(const endpoint& peer) {
  const bool v6 = peer.address.find(':') != std::string::npos;
  return (v6 ? "[" + peer.address + "]" : peer.address) + ":" + std::to_string(peer.port);
}

result<endpoint> ParseEndpoint(std::string_view text) {
  const auto wrong = [&](std::string_view why) {
    return MakeError(error_code::kInvalidArgument,
                     "'" + std::string(text) + "' is not ip:port: " + std::string(why));
  };
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return wrong("no port");
  std::string_view address = text.substr(0, colon);
  if (address.size() > 2 && address.front() == '[' && address.back() == ']')
    address = address.substr(1, address.size() - 2);
  boost::system::error_code ec;
  (void)boost::asio::ip::make_address(std::string(address), ec);
  if (ec)
    return wrong("no IP address");
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (status != std::errc() || end != digits.data() + digits.size() || port == 0)
    return wrong("no port from 1 to 65535");
  return endpoint{std::string(address), port};
}

}  // namespace quincebank
