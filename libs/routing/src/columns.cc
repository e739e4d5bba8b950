#include "columns.h"

#include <array>
#include <charconv>

namespace quincebank {
namespace {

template <typename Number>
void AppendNumber(std::string& text, Number value, int base) {
  std::array<char, 24> buffer{};
  const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, base).ptr;
  text.append(buffer.data(), end);
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text, int base) {
  Number value{};
  const char* const last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data(), last, value, base);
  if (ec != std::errc() || end != last)
    return std::nullopt;
  return value;
}

/// Cuts the text up to the next comma off its front.
std::string_view NextField(std::string_view& rest) {
  const std::size_t comma = rest.find(',');
  const std::string_view field = rest.substr(0, comma);
  rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
  return field;
}

}  // namespace

std::string PackColumn(std::span<const std::int64_t> values) {
  std::string text;
  for (std::size_t i = 0; i < values.size();) {
    std::size_t run = 1;
    while (i + run < values.size() && values[i + run] == values[i])
      ++run;
    if (!text.empty())
      text += ',';
    AppendNumber(text, values[i], 10);
    if (run > 1) {
      text += '*';
      AppendNumber(text, run, 10);
    }
    i += run;
  }
  return text;
}

std::optional<std::vector<std::int64_t>> UnpackColumn(std::string_view text, std::size_t count) {
  std::vector<std::int64_t> values;
  values.reserve(count);
  while (!text.empty()) {
    const std::string_view field = NextField(text);
    const std::size_t star = field.find('*');
    const auto value = ParseNumber<std::int64_t>(field.substr(0, star), 10);
    const auto run = star == std::string_view::npos
                         ? std::optional<std::size_t>(1)
                         : ParseNumber<std::size_t>(field.substr(star + 1), 10);
    if (!value || !run || *run > count - values.size())
      return std::nullopt;
    values.insert(values.end(), *run, *value);
  }
  if (values.size() != count)
    return std::nullopt;
  return values;
}

std::string PackHex(std::span<const std::uint64_t> values) {
  std::string text;
  for (const std::uint64_t value : values) {
    if (!text.empty())
      text += ',';
    AppendNumber(text, value, 16);
  }
  return text;
}

std::optional<std::vector<std::uint64_t>> UnpackHex(std::string_view text) {
  std::vector<std::uint64_t> values;
  while (!text.empty()) {
    const auto value = ParseNumber<std::uint64_t>(NextField(text), 16);
    if (!value)
      return std::nullopt;
    values.push_back(*value);
  }
  return values;
}

}  // namespace quincebank
