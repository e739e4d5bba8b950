#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace quincebank {

/// \brief One structured log line: a JSON object whose members are added in order.
///
/// \example
///   log.Write(event_line("upstream.rest").Add("upstream", id).Add("rest_ms", rest));
class event_line {
 public:
  explicit event_line(std::string_view event);

  event_line& Add(std::string_view key, std::string_view value);
  event_line& Add(std::string_view key, const char* value) {
    return Add(key, std::string_view(value));
  }
  event_line& Add(std::string_view key, std::int64_t value);
  event_line& Add(std::string_view key, std::uint64_t value);
  event_line& Add(std::string_view key, int value) {
    return Add(key, static_cast<std::int64_t>(value));
  }
  event_line& Add(std::string_view key, double value);
  event_line& Add(std::string_view key, bool value);
  template <typename Rep, typename Period>
  event_line& Add(std::string_view key, std::chrono::duration<Rep, Period> value) {
    return Add(key, static_cast<std::int64_t>(
                        std::chrono::duration_cast<std::chrono::milliseconds>(value).count()));
  }

  [[nodiscard]] std::string Finish() &&;

 private:
  void Key(std::string_view key);

  std::string text_;
};

/// \brief Writes structured lines to standard output from a thread of its own.
///
/// `Write` never waits for the reader of the output: when the bounded queue is full, lines are
/// dropped, and the next line that is written counts them. Safe for use by several threads.
class event_log {
 public:
  /// \param capacity  most lines that wait.
  explicit event_log(std::size_t capacity, int descriptor = 1);
  ~event_log();
  event_log(const event_log&) = delete;
  event_log& operator=(const event_log&) = delete;

  void Write(event_line line);
  /// \brief Waits until all lines are written, at most `limit`.
  void Flush(std::chrono::milliseconds limit);
  [[nodiscard]] std::uint64_t dropped() const;

 private:
  void Run();

  const std::size_t capacity_;
  const int descriptor_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::condition_variable written_;
  std::deque<std::string> lines_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_ = 0;
  bool stop_ = false;
  bool writing_ = false;
  std::thread thread_;
};

}  // namespace quincebank
