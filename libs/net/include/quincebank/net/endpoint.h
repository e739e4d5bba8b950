#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "quincebank/base/error.h"

namespace quincebank {

/// \brief IP address and TCP port of a process.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the defaulted operator.
  [[nodiscard]] auto operator<=>(const endpoint&) const = default;
};

/// \brief Returns `address:port`, with brackets around an IPv6 address.
[[nodiscard]] std::string ToString(const endpoint& peer);

/// \brief Parses `ip:port`. Host names are refused: processes talk by IP numbers.
[[nodiscard]] result<endpoint> ParseEndpoint(std::string_view text);

}  // namespace quincebank
