#include "quincebank/base/ids.h"

#include <charconv>

#include "quincebank/base/random.h"

namespace quincebank {
namespace {

constexpr std::size_t kHexDigits = 16;

std::string Hex(std::uint64_t value) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(kHexDigits, '0');
  for (std::size_t i = 0; i < kHexDigits; ++i)
    text[kHexDigits - 1 - i] = kDigits[(value >> (4 * i)) & 0xfU];
  return text;
}

std::optional<std::uint64_t> ParseHex(std::string_view text) noexcept {
  if (text.size() != kHexDigits)
    return std::nullopt;
  std::uint64_t value = 0;
  const char* const last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data(), last, value, 16);
  if (ec != std::errc() || end != last)
    return std::nullopt;
  return value;
}

}  // namespace

std::string ToString(attempt_id id) {
  return Hex(id.high) + Hex(id.low);
}

std::string ToString(incarnation id) {
  return Hex(id.value);
}

std::optional<attempt_id> ParseAttemptId(std::string_view text) noexcept {
  if (text.size() != 2 * kHexDigits)
    return std::nullopt;
  const auto high = ParseHex(text.substr(0, kHexDigits));
  const auto low = ParseHex(text.substr(kHexDigits));
  if (!high || !low)
    return std::nullopt;
  return attempt_id{*high, *low};
}

std::optional<incarnation> ParseIncarnation(std::string_view text) noexcept {
  const auto value = ParseHex(text);
  if (!value)
    return std::nullopt;
  return incarnation{*value};
}

attempt_id NewAttemptId(random_source& random) noexcept {
  const std::uint64_t high = random.Next();
  return attempt_id{high, random.Next()};
}

incarnation NewIncarnation(random_source& random) noexcept {
  return incarnation{random.Next()};
}

}  // namespace quincebank
