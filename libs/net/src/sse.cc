#include "quincebank/net/sse.h"

#include <algorithm>
#include <charconv>

namespace quincebank {
namespace {

/// Calls `visit` with each line of an event, without its end. The blank line behind the event is
/// left out.
template <typename Visitor>
void ForEachLine(std::string_view event, Visitor visit) {
  std::size_t start = 0;
  while (start + 1 < event.size()) {
    const std::size_t end = std::min(event.find('\n', start), event.size());
    std::string_view line = event.substr(start, end - start);
    start = end + 1;
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    visit(line);
  }
}

std::string_view FieldName(std::string_view line) noexcept {
  return line.substr(0, line.find(':'));
}

}  // namespace

void sse_splitter::Feed(std::string_view bytes,
                        const std::function<void(std::string_view)>& visit) {
  // The blank line may span the old rest and the new bytes.
  std::size_t scan = rest_.empty() ? 0 : rest_.size() - 1;
  rest_.append(bytes);
  std::size_t start = 0;
  for (std::size_t end = rest_.find("\n\n", scan); end != std::string::npos;
       end = rest_.find("\n\n", scan)) {
    visit(std::string_view(rest_).substr(start, end + 2 - start));
    start = end + 2;
    scan = start;
  }
  rest_.erase(0, start);
}

bool IsSseComment(std::string_view event) noexcept {
  bool line_start = true;
  for (const char c : event) {
    if (line_start && c != ':' && c != '\n')
      return false;
    line_start = c == '\n';
  }
  return true;
}

std::optional<std::uint64_t> SseEventId(std::string_view event) noexcept {
  constexpr std::string_view kField = "id";
  std::optional<std::uint64_t> id;
  bool is_number = true;
  ForEachLine(event, [&](std::string_view line) {
    if (FieldName(line) != kField)
      return;
    line.remove_prefix(std::min(kField.size() + 1, line.size()));
    if (line.starts_with(' '))
      line.remove_prefix(1);
    std::uint64_t number = 0;
    const auto [rest, status] = std::from_chars(line.data(), line.data() + line.size(), number);
    is_number = is_number && !id && status == std::errc() && rest == line.data() + line.size();
    id = number;
  });
  return is_number ? id : std::nullopt;
}

std::string SseFieldNames(std::string_view event) {
  std::string names;
  std::optional<std::string_view> previous;
  ForEachLine(event, [&](std::string_view line) {
    const std::string_view name = FieldName(line);
    if (name != previous)
      names.append(name).append(",");
    previous = name;
  });
  return names;
}

}  // namespace quincebank
