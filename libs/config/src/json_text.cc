#include "json_text.h"

#include <algorithm>
#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/serialize.hpp>
#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

namespace quincebank {
namespace {

namespace json = boost::json;

json::value Sorted(const json::value& value) {
  if (const json::array* const array = value.if_array()) {
    json::array sorted;
    sorted.reserve(array->size());
    for (const json::value& element : *array)
      sorted.push_back(Sorted(element));
    return sorted;
  }
  const json::object* const object = value.if_object();
  if (object == nullptr)
    return value;
  std::vector<const json::key_value_pair*> members;
  members.reserve(object->size());
  for (const json::key_value_pair& member : *object)
    members.push_back(&member);
  std::sort(members.begin(), members.end(),
            [](const auto* a, const auto* b) { return a->key() < b->key(); });
  json::object sorted;
  sorted.reserve(members.size());
  for (const json::key_value_pair* const member : members)
    sorted.emplace(member->key(), Sorted(member->value()));
  return sorted;
}

/// Parse handler that only remembers the keys of the open objects.
struct duplicate_key_handler {
  static constexpr std::size_t max_object_size = SIZE_MAX;  // NOLINT(readability-identifier-naming)
  static constexpr std::size_t max_array_size = SIZE_MAX;   // NOLINT(readability-identifier-naming)
  static constexpr std::size_t max_key_size = SIZE_MAX;     // NOLINT(readability-identifier-naming)
  static constexpr std::size_t max_string_size = SIZE_MAX;  // NOLINT(readability-identifier-naming)
  using error_type = boost::system::error_code;

  // NOLINTBEGIN(readability-identifier-naming): the names that the parser calls.
  bool on_document_begin(error_type&) { return true; }
  bool on_document_end(error_type&) { return true; }
  bool on_object_begin(error_type&) {
    open.emplace_back();
    return true;
  }
  bool on_object_end(std::size_t, error_type&) {
    open.pop_back();
    return true;
  }
  bool on_array_begin(error_type&) { return true; }
  bool on_array_end(std::size_t, error_type&) { return true; }
  bool on_key_part(json::string_view part, std::size_t, error_type&) {
    key += std::string_view(part.data(), part.size());
    return true;
  }
  bool on_key(json::string_view part, std::size_t, error_type& ec) {
    key += std::string_view(part.data(), part.size());
    if (!open.back().insert(std::exchange(key, {})).second) {
      ec = json::make_error_code(json::error::syntax);
      return false;
    }
    return true;
  }
  bool on_string_part(json::string_view, std::size_t, error_type&) { return true; }
  bool on_string(json::string_view, std::size_t, error_type&) { return true; }
  bool on_number_part(json::string_view, error_type&) { return true; }
  bool on_int64(std::int64_t, json::string_view, error_type&) { return true; }
  bool on_uint64(std::uint64_t, json::string_view, error_type&) { return true; }
  bool on_double(double, json::string_view, error_type&) { return true; }
  bool on_bool(bool, error_type&) { return true; }
  bool on_null(error_type&) { return true; }
  bool on_comment_part(json::string_view, error_type&) { return true; }
  bool on_comment(json::string_view, error_type&) { return true; }
  // NOLINTEND(readability-identifier-naming)

  std::vector<std::set<std::string>> open;
  std::string key;
};

}  // namespace

std::string CanonicalJson(const json::value& value) {
  return json::serialize(Sorted(value));
}

std::string PointerTo(std::string_view path, std::string_view key) {
  std::string pointer(path);
  pointer += '/';
  for (const char c : key) {
    if (c == '~') {
      pointer += "~0";
    } else if (c == '/') {
      pointer += "~1";
    } else {
      pointer += c;
    }
  }
  return pointer;
}

result<void> CheckDuplicateKeys(std::string_view text) {
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  json::basic_parser<duplicate_key_handler> parser(options);
  boost::system::error_code ec;
  const std::size_t consumed = parser.write_some(false, text.data(), text.size(), ec);
  if (!ec)
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  const std::string_view before = text.substr(0, std::min(consumed, text.size()));
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const std::size_t column = before.size() - (before.rfind('\n') + 1) + 1;
  return error{error_code::kInvalidArgument, "duplicate key", verdict::kNotRun,
               std::to_string(line) + ":" + std::to_string(column)};
}

}  // namespace quincebank
