#include "quincebank/base/json_reader.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/stream_parser.hpp>
#include <cmath>
#include <utility>

namespace quincebank {
namespace {

namespace json = boost::json;

std::string LineAndColumn(std::string_view text, std::size_t offset) {
  const std::string_view before = text.substr(0, std::min(offset, text.size()));
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const std::size_t newline = before.rfind('\n');
  const std::size_t column =
      newline == std::string_view::npos ? before.size() + 1 : before.size() - newline;
  return std::to_string(line) + ":" + std::to_string(column);
}

std::string EscapePointer(std::string_view key) {
  std::string escaped;
  for (const char c : key) {
    if (c == '~') {
      escaped += "~0";
    } else if (c == '/') {
      escaped += "~1";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

bool IsJsonValue(std::string_view word) {
  boost::system::error_code ec;
  const json::value value = json::parse(word, ec);
  return !ec && (!value.is_double() || std::isfinite(value.get_double()));
}

/// Returns the position behind the string or comment that begins at `start`; `start` if there is
/// none.
std::size_t SkipStringOrComment(std::string_view text, std::size_t start) {
  const std::string_view rest = text.substr(start);
  if (rest.starts_with("//"))
    return std::min(text.find('\n', start), text.size());
  if (rest.starts_with("/*")) {
    const std::size_t end = text.find("*/", start + 2);
    return end == std::string_view::npos ? text.size() : end + 2;
  }
  if (!rest.starts_with('"'))
    return start;
  for (std::size_t at = start + 1; at < text.size(); ++at) {
    if (text[at] == '"')
      return at + 1;
    if (text[at] == '\\')
      ++at;
  }
  return text.size();
}

}  // namespace

std::string ReplaceInvalidValues(std::string_view text, std::vector<error>& invalid) {
  constexpr std::string_view kPunctuation = "{}[]:,";
  constexpr std::string_view kBlank = " \t\r\n";
  constexpr std::string_view kWordEnd = "{}[]:,\"/ \t\r\n";
  constexpr std::size_t kMaxShown = 40;
  std::string replaced;
  bool value_expected = false;
  const auto replace = [&](std::size_t at, std::string_view word) {
    replaced += "null";
    invalid.push_back({error_code::kInvalidArgument,
                       "not a value: '" + std::string(word.substr(0, kMaxShown)) + "'",
                       verdict::kNotRun, LineAndColumn(text, at)});
  };
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t skipped = SkipStringOrComment(text, at);
    if (skipped != at) {
      value_expected = value_expected && text[at] == '/';
      replaced += text.substr(at, skipped - at);
      at = skipped;
      continue;
    }
    const char next = text[at];
    if (kBlank.find(next) != std::string_view::npos) {
      replaced += next;
      ++at;
      continue;
    }
    if (kPunctuation.find(next) != std::string_view::npos) {
      if (value_expected && (next == ',' || next == '}'))
        replace(at, {});
      value_expected = next == ':';
      replaced += next;
      ++at;
      continue;
    }
    const std::size_t end = std::min(text.find_first_of(kWordEnd, at + 1), text.size());
    const std::string_view word = text.substr(at, end - at);
    if (IsJsonValue(word))
      replaced += word;
    else
      replace(at, word);
    value_expected = false;
    at = end;
  }
  return replaced;
}

result<json::value> ParseJson(std::string_view text) {
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  json::stream_parser parser({}, options);
  boost::system::error_code ec;
  const std::size_t consumed = parser.write_some(text.data(), text.size(), ec);
  if (!ec && consumed < text.size())
    ec = json::make_error_code(json::error::extra_data);
  if (!ec)
    parser.finish(ec);
  if (ec) {
    return error{error_code::kInvalidArgument, "JSON syntax error: " + ec.message(),
                 verdict::kNotRun, LineAndColumn(text, consumed)};
  }
  return parser.release();
}

json_reader::json_reader(const json::value& value, std::string path, std::vector<error>& errors)
    : object_(value.if_object()), path_(std::move(path)), errors_(errors) {
  if (object_ == nullptr) {
    errors_.push_back({error_code::kInvalidArgument, "expected an object", verdict::kNotRun,
                       path_.empty() ? "/" : path_});
  }
}

std::string json_reader::PathOf(std::string_view key) const {
  return path_ + "/" + EscapePointer(key);
}

void json_reader::Fail(std::string_view key, std::string message) {
  errors_.push_back(
      {error_code::kInvalidArgument, std::move(message), verdict::kNotRun, PathOf(key)});
}

const json::value* json_reader::Find(std::string_view key, bool required) {
  seen_.emplace(key);
  if (object_ == nullptr)
    return nullptr;
  const json::value* const value = object_->if_contains(key);
  if (value == nullptr && required)
    Fail(key, "missing");
  return value;
}

bool json_reader::Has(std::string_view key) const noexcept {
  return object_ != nullptr && object_->if_contains(key) != nullptr;
}

std::string json_reader::String(std::string_view key) {
  const json::value* const value = Find(key, true);
  if (value == nullptr)
    return {};
  if (!value->is_string() || value->get_string().empty()) {
    Fail(key, "expected a non-empty string");
    return {};
  }
  return std::string(value->get_string());
}

std::string json_reader::Text(std::string_view key) {
  return Find(key, true) == nullptr ? std::string() : String(key, "");
}

std::string json_reader::String(std::string_view key, std::string_view fallback) {
  const json::value* const value = Find(key, false);
  if (value == nullptr)
    return std::string(fallback);
  if (!value->is_string()) {
    Fail(key, "expected a string");
    return std::string(fallback);
  }
  return std::string(value->get_string());
}

std::int64_t json_reader::Int(std::string_view key, int_range range) {
  if (Find(key, true) == nullptr)
    return range.min;
  return Int(key, range, range.min);
}

std::int64_t json_reader::Int(std::string_view key, int_range range, std::int64_t fallback) {
  const json::value* const value = Find(key, false);
  if (value == nullptr)
    return fallback;
  boost::system::error_code ec;
  const auto number = value->to_number<std::int64_t>(ec);
  if (ec || value->is_double() || number < range.min || number > range.max) {
    Fail(key, "expected a whole number from " + std::to_string(range.min) + " to " +
                  std::to_string(range.max));
    return fallback;
  }
  return number;
}

double json_reader::Number(std::string_view key, double min, double max, double fallback) {
  const json::value* const value = Find(key, false);
  if (value == nullptr)
    return fallback;
  boost::system::error_code ec;
  const auto number = value->to_number<double>(ec);
  if (ec || !(number >= min && number <= max)) {
    Fail(key, "expected a number from " + std::to_string(min) + " to " + std::to_string(max));
    return fallback;
  }
  return number;
}

bool json_reader::Bool(std::string_view key, bool fallback) {
  const json::value* const value = Find(key, false);
  if (value == nullptr)
    return fallback;
  if (!value->is_bool()) {
    Fail(key, "expected true or false");
    return fallback;
  }
  return value->get_bool();
}

milliseconds json_reader::Millis(std::string_view key, int_range range, milliseconds fallback) {
  return milliseconds(Int(key, range, fallback.count()));
}

std::int64_t json_reader::RoundedInt(std::string_view key, int_range range, std::int64_t fallback) {
  const json::value* const value = Find(key, false);
  if (value == nullptr || !value->is_double())
    return Int(key, range, fallback);
  const double rounded = std::floor(value->get_double());
  if (rounded >= static_cast<double>(range.min) && rounded < static_cast<double>(range.max) + 1)
    return static_cast<std::int64_t>(rounded);
  Fail(key,
       "expected a number from " + std::to_string(range.min) + " to " + std::to_string(range.max));
  return fallback;
}

milliseconds json_reader::Duration(std::string_view key,
                                   milliseconds unit,
                                   duration_range range,
                                   milliseconds fallback) {
  const auto scale = static_cast<double>(unit.count());
  const std::size_t errors_before = errors_.size();
  const double in_units = Number(key, 0, static_cast<double>(range.max.count()) / scale, 0);
  if (errors_.size() != errors_before || !Has(key))
    return fallback;
  const milliseconds duration(std::max<std::int64_t>(
      static_cast<std::int64_t>(std::floor(in_units * scale)), in_units > 0 ? 1 : 0));
  if (duration >= range.min)
    return duration;
  Fail(key, "expected at least " + std::to_string(range.min.count()) + " ms");
  return fallback;
}

std::vector<std::string> json_reader::Strings(std::string_view key) {
  std::vector<std::string> strings;
  const json::value* const value = Find(key, false);
  if (value == nullptr)
    return strings;
  if (!value->is_array()) {
    Fail(key, "expected an array of strings");
    return strings;
  }
  for (const json::value& element : value->get_array()) {
    if (!element.is_string()) {
      Fail(key, "expected an array of strings");
      return strings;
    }
    strings.emplace_back(element.get_string());
  }
  return strings;
}

void json_reader::Each(std::string_view key, const std::function<void(json_reader&)>& visit) {
  const json::value* const value = Find(key, false);
  if (value == nullptr)
    return;
  if (!value->is_array()) {
    Fail(key, "expected an array");
    return;
  }
  std::size_t index = 0;
  for (const json::value& element : value->get_array()) {
    json_reader child(element, PathOf(key) + "/" + std::to_string(index++), errors_);
    if (!element.is_object())
      continue;
    visit(child);
  }
}

void json_reader::EachMember(std::string_view key,
                             const std::function<void(std::string_view, json_reader&)>& visit) {
  const json::value* const value = Find(key, false);
  if (value == nullptr)
    return;
  if (!value->is_object()) {
    Fail(key, "expected an object");
    return;
  }
  for (const json::key_value_pair& member : value->get_object()) {
    json_reader child(member.value(), PathOf(key) + "/" + EscapePointer(member.key()), errors_);
    if (!member.value().is_object())
      continue;
    visit(member.key(), child);
  }
}

void json_reader::Child(std::string_view key, const std::function<void(json_reader&)>& visit) {
  const json::value* const value = Find(key, false);
  if (value == nullptr)
    return;
  json_reader child(*value, PathOf(key), errors_);
  if (value->is_object())
    visit(child);
}

void json_reader::Finish() {
  if (object_ == nullptr)
    return;
  for (const json::key_value_pair& member : *object_) {
    if (seen_.contains(std::string_view(member.key())))
      continue;
    Fail(member.key(), "unknown key");
  }
}

error JoinErrors(const std::vector<error>& errors) {
  error joined{error_code::kInvalidArgument, {}, verdict::kNotRun, {}};
  for (const error& failure : errors) {
    if (joined.message.empty()) {
      joined.path = failure.path;
      joined.message = failure.message;
      continue;
    }
    joined.message += "\n" + Describe(failure);
  }
  return joined;
}

}  // namespace quincebank
