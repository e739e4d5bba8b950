#include "quincebank/idempotency/request_key.h"

#include <array>
#include <charconv>
#include <string>

#include "quincebank/base/digest.h"

namespace quincebank {
namespace {

constexpr std::size_t kMaxKeyBytes = 255;
constexpr std::size_t kUuidLength = 36;

bool IsHex(char c) noexcept {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

std::uint64_t HexValue(std::string_view digits) noexcept {
  std::uint64_t value = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
  return value;
}

// Prefixes the length, so that no two lists of parts give the same text.
void AppendPart(std::string& text, std::string_view part) {
  text += std::to_string(part.size());
  text += ':';
  text += part;
}

}  // namespace

std::optional<wall_time> UuidV7Time(std::string_view text) noexcept {
  if (text.size() != kUuidLength)
    return std::nullopt;
  for (std::size_t i = 0; i < kUuidLength; ++i) {
    const bool hyphen = i == 8 || i == 13 || i == 18 || i == 23;
    if (hyphen ? text[i] != '-' : !IsHex(text[i]))
      return std::nullopt;
  }
  if (text[14] != '7' || std::string_view("89abAB").find(text[19]) == std::string_view::npos)
    return std::nullopt;
  const std::uint64_t ms = (HexValue(text.substr(0, 8)) << 16U) | HexValue(text.substr(9, 4));
  return wall_time(milliseconds(ms));
}

result<request_key> ParseRequestKey(std::string_view service,
                                    std::string_view workspace,
                                    std::string_view key,
                                    wall_time now,
                                    seconds retention) {
  if (key.empty() || key.size() > kMaxKeyBytes)
    return MakeError(error_code::kInvalidArgument, "Idempotency-Key must have 1 to 255 characters");
  const std::optional<wall_time> issued = UuidV7Time(key);
  if (issued && *issued > now + kClockMargin)
    return MakeError(error_code::kInvalidArgument,
                     "Idempotency-Key carries a time in the future; check the caller's clock");
  if (issued && *issued < now - retention)
    return MakeError(error_code::kStale,
                     "Idempotency-Key is older than the claim retention of the service; an earlier "
                     "request with this key may have run and is no longer on record",
                     verdict::kMayHaveRun);
  std::string text;
  AppendPart(text, service);
  AppendPart(text, workspace);
  AppendPart(text, key);
  const std::string digest = Sha256Hex(text);
  const std::string_view digits(digest);
  return request_key{{HexValue(digits.substr(0, 16)), HexValue(digits.substr(16, 16))}, issued};
}

std::uint64_t RequestDigest(std::string_view method,
                            std::string_view path,
                            std::string_view body) noexcept {
  return StableHash64(body, StableHash64(path, StableHash64(method)));
}

}  // namespace quincebank
