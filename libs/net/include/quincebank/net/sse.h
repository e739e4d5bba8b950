#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace quincebank {

/// \brief Splits a stream of server-sent events at the blank lines between events.
///
/// Events that are cut by the boundaries of reads come out whole.
class sse_splitter {
 public:
  /// \param most_bytes  of one event.
  explicit sse_splitter(std::size_t most_bytes = kMostEventBytes) : most_bytes_(most_bytes) {}

  /// \brief Adds bytes and calls `visit` with each completed event, its blank line included.
  void Feed(std::string_view bytes, const std::function<void(std::string_view)>& visit);
  /// \brief Whether an event is longer than any may be: what comes is no stream of events.
  [[nodiscard]] bool overflowed() const noexcept { return rest_.size() > most_bytes_; }
  /// \brief Bytes of an event that has not ended yet.
  [[nodiscard]] const std::string& rest() const noexcept { return rest_; }

 private:
  static constexpr std::size_t kMostEventBytes = std::size_t{1024} * 1024;

  std::size_t most_bytes_;
  std::string rest_;
};

/// \brief Whether an event holds only comment lines, such as a heartbeat.
[[nodiscard]] bool IsSseComment(std::string_view event) noexcept;

/// \brief Returns the number in the `id` field of an event.
///
/// \returns Nothing if there is no such field, if there are several, or if its value is anything
/// but the digits of an unsigned 64-bit number.
[[nodiscard]] std::optional<std::uint64_t> SseEventId(std::string_view event) noexcept;

/// \brief Returns the names of an event's fields in their order, each with a comma behind it.
///
/// Several lines of one field count once. Events of one stream mostly have the same names, and a
/// damaged line end changes them.
[[nodiscard]] std::string SseFieldNames(std::string_view event);

}  // namespace quincebank
