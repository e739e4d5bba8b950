#pragma once

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <string>
#include <utility>

#include "quincebank/net/http_message.h"

namespace quincebank::impl {

/// \brief Parser of a message whose body is read piece by piece.
///
/// Keeps the fields of the head itself, of any length, since Beast's container throws for names and
/// values from 65,534 bytes on. Fields of a trailer are discarded (RFC 9110, 6.5.1).
template <bool IsRequest>
class message_parser final
    : public boost::beast::http::parser<IsRequest, boost::beast::http::buffer_body> {
 public:
  /// \brief Fields of the complete head, in their order.
  [[nodiscard]] http_headers TakeHeaders() noexcept { return std::move(headers_); }

 private:
  void on_field_impl(boost::beast::http::field /*known*/,
                     boost::beast::string_view name,
                     boost::beast::string_view value,
                     boost::beast::error_code& /*ec*/) override {
    if (this->is_header_done())
      return;
    const std::size_t first = value.find_first_not_of(kBlanks);
    const std::size_t last = value.find_last_not_of(kBlanks);
    headers_.Add(std::string(name), first == value.npos
                                        ? std::string()
                                        : std::string(value.substr(first, last + 1 - first)));
  }

  static constexpr const char* kBlanks = " \t";

  http_headers headers_;
};

}  // namespace quincebank::impl
