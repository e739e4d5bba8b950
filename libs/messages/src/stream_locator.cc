#include "quincebank/messages/stream_locator.h"

#include <charconv>

namespace quincebank {
namespace {

constexpr char kSeparator = '_';

std::string_view NextField(std::string_view& text) {
  const std::size_t end = text.find(kSeparator);
  const std::string_view field = text.substr(0, end);
  text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
  return field;
}

}  // namespace

std::string Encode(const stream_locator& locator) {
  return ToString(locator.attempt) + kSeparator + ToString(locator.life) + kSeparator +
         std::to_string(locator.offset) + kSeparator + ToString(locator.agent);
}

std::optional<stream_locator> ParseStreamLocator(std::string_view text) {
  const auto attempt = ParseAttemptId(NextField(text));
  const auto life = ParseIncarnation(NextField(text));
  const std::string_view digits = NextField(text);
  std::uint64_t offset = 0;
  const char* const last = digits.data() + digits.size();
  const auto [end, ec] = std::from_chars(digits.data(), last, offset);
  const auto agent = ParseEndpoint(text);
  if (!attempt || !life || digits.empty() || ec != std::errc() || end != last || !agent)
    return std::nullopt;
  return stream_locator{agent.value(), *life, *attempt, offset};
}

}  // namespace quincebank
