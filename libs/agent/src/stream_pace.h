#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string_view>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Measures the time between the events of a running stream, a few times a second.
class stream_pace {
 public:
  /// \brief Counts the events that end in these bytes.
  void Take(std::string_view bytes, time_point now) {
    if (since_ == time_point())
      since_ = now;
    for (const char byte : bytes) {
      events_ += byte == '\n' && last_ == '\n' ? 1 : 0;
      last_ = byte;
    }
  }

  /// \brief Returns the mean time between events since the last report; nothing if a report is not
  /// due, or if the stream has not begun. While no event comes, the time grows with the silence.
  [[nodiscard]] std::optional<milliseconds> Report(time_point now) {
    if (since_ == time_point() || now - since_ < kWindow)
      return std::nullopt;
    const auto window = std::chrono::duration_cast<milliseconds>(now - since_);
    // One event shorter than its interval in a window says nothing about a slower stream.
    const milliseconds interval = window / static_cast<int>(std::max<std::size_t>(events_, 1));
    if (events_ > 0)
      since_ = now;
    events_ = 0;
    return interval;
  }

 private:
  static constexpr milliseconds kWindow{250};

  time_point since_;
  std::size_t events_ = 0;
  char last_ = 0;
};

}  // namespace quincebank
