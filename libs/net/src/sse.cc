#include "quincebank/net/sse.h"

#include <algorithm>

namespace quincebank {

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

}  // namespace quincebank
