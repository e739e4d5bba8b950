#include "quincebank/net/http_message.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace quincebank {
namespace {

bool SameName(std::string_view a, std::string_view b) noexcept {
  return boost::beast::iequals(a, b);
}

constexpr std::array<std::string_view, 8> kHopByHop{
    "connection", "keep-alive",        "proxy-connection", "te",
    "trailer",    "transfer-encoding", "upgrade",          "content-length",
};

}  // namespace

std::optional<std::string_view> http_headers::Find(std::string_view name) const noexcept {
  for (const http_header& field : fields_) {
    if (SameName(field.name, name))
      return field.value;
  }
  return std::nullopt;
}

std::string_view http_headers::Get(std::string_view name) const noexcept {
  return Find(name).value_or(std::string_view());
}

void http_headers::Set(std::string_view name, std::string value) {
  Remove(name);
  fields_.push_back({std::string(name), std::move(value)});
}

void http_headers::Add(std::string name, std::string value) {
  fields_.push_back({std::move(name), std::move(value)});
}

void http_headers::Remove(std::string_view name) {
  std::erase_if(fields_, [&](const http_header& field) { return SameName(field.name, name); });
}

bool IsHopByHop(std::string_view name) noexcept {
  return std::any_of(kHopByHop.begin(), kHopByHop.end(),
                     [&](std::string_view hop) { return SameName(hop, name); });
}

std::optional<std::string_view> parsed_target::Query(std::string_view name) const noexcept {
  for (const auto& [key, value] : query) {
    if (key == name)
      return value;
  }
  return std::nullopt;
}

std::optional<parsed_target> ParseTarget(std::string_view target) {
  const auto url = boost::urls::parse_origin_form(target);
  if (url.has_error())
    return std::nullopt;
  parsed_target parsed;
  parsed.path = url->path();
  for (const auto parameter : url->params())
    parsed.query.emplace_back(parameter.key, parameter.value);
  return parsed;
}

}  // namespace quincebank
