#include "quincebank/base/event_log.h"

#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <utility>

#include "quincebank/base/clock.h"

namespace quincebank {
namespace {

void AppendNumber(std::string& text, auto value) {
  std::array<char, 32> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value);
  text.append(digits.data(), end.ptr);
}

void AppendQuoted(std::string& text, std::string_view value) {
  constexpr std::string_view kHex = "0123456789abcdef";
  text.push_back('"');
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      text.push_back('\\');
      text.push_back(c);
    } else if (byte < 0x20 || byte >= 0x7f) {
      // Bytes above ASCII come from clients and need not be valid UTF-8.
      text.append("\\u00");
      text.push_back(kHex[byte >> 4U]);
      text.push_back(kHex[byte & 0xfU]);
    } else {
      text.push_back(c);
    }
  }
  text.push_back('"');
}

}  // namespace

event_line::event_line(std::string_view event) {
  const auto at =
      std::chrono::duration_cast<std::chrono::milliseconds>(WallNow().time_since_epoch());
  text_ = R"({"at_ms":)";
  AppendNumber(text_, at.count());
  Add("event", event);
}

void event_line::Key(std::string_view key) {
  text_.push_back(',');
  AppendQuoted(text_, key);
  text_.push_back(':');
}

event_line& event_line::Add(std::string_view key, std::string_view value) {
  Key(key);
  AppendQuoted(text_, value);
  return *this;
}

event_line& event_line::Add(std::string_view key, std::int64_t value) {
  Key(key);
  AppendNumber(text_, value);
  return *this;
}

event_line& event_line::Add(std::string_view key, std::uint64_t value) {
  Key(key);
  AppendNumber(text_, value);
  return *this;
}

event_line& event_line::Add(std::string_view key, double value) {
  Key(key);
  AppendNumber(text_, value);
  return *this;
}

event_line& event_line::Add(std::string_view key, bool value) {
  Key(key);
  text_.append(value ? "true" : "false");
  return *this;
}

std::string event_line::Finish() && {
  text_.append("}\n");
  return std::move(text_);
}

event_log::event_log(std::size_t capacity, int descriptor)
    : capacity_(capacity), descriptor_(descriptor), thread_([this] { Run(); }) {}

event_log::~event_log() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
  }
  changed_.notify_one();
  thread_.join();
}

void event_log::Write(event_line line) {
  {
    const std::lock_guard lock(mutex_);
    if (lines_.size() >= capacity_) {
      ++dropped_;
      return;
    }
    lines_.push_back(std::move(line).Finish());
    if (lines_.size() > 1)
      return;
  }
  changed_.notify_one();
}

void event_log::Flush(std::chrono::milliseconds limit) {
  std::unique_lock lock(mutex_);
  written_.wait_for(lock, limit, [this] { return lines_.empty() && !writing_; });
}

std::uint64_t event_log::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

void event_log::Run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    changed_.wait(lock, [this] { return stop_ || !lines_.empty(); });
    if (lines_.empty())
      return;
    std::string batch;
    if (dropped_ != reported_) {
      event_line line("log.dropped");
      line.Add("lines", dropped_ - reported_);
      batch = std::move(line).Finish();
      reported_ = dropped_;
    }
    for (const std::string& line : lines_)
      batch += line;
    lines_.clear();
    writing_ = true;
    lock.unlock();
    std::string_view left = batch;
    while (!left.empty()) {
      const auto written = ::write(descriptor_, left.data(), left.size());
      if (written < 0 && errno != EINTR)
        break;  // Nobody reads the log any more; there is no other place to report that.
      if (written > 0)
        left.remove_prefix(static_cast<std::size_t>(written));
    }
    lock.lock();
    writing_ = false;
    written_.notify_all();
  }
}

}  // namespace quincebank
