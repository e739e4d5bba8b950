#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Parses JSON that may hold comments and trailing commas.
///
/// \returns The value, or an error whose path is `line:column` of the syntax error.
[[nodiscard]] result<boost::json::value> ParseJson(std::string_view text);

/// \brief Replaces what stands for a value in a JSON text, but is none, by `null`.
///
/// A template that composes figures from text may yield `0000`, `true000`, `1e1000` or nothing at
/// all. One of them would make the whole text unreadable.
///
/// \param invalid  receives an error for each, whose path is `line:column`.
[[nodiscard]] std::string ReplaceInvalidValues(std::string_view text, std::vector<error>& invalid);

/// \brief Inclusive range of a number in a document.
struct int_range {
  std::int64_t min = 0;
  std::int64_t max = std::numeric_limits<std::int64_t>::max();
};

/// \brief Inclusive range of a duration in a document.
struct duration_range {
  milliseconds min;
  milliseconds max;
};

/// \brief Reads one JSON object and reports every wrong, missing or unknown key by its path.
///
/// Each read names one key. `Finish` refuses the keys that no read named.
///
/// \example
///   std::vector<error> errors;
///   json_reader reader(value, "", errors);
///   const std::string host = reader.String("host");
///   const auto port = reader.Int("port", {1, 65535});
///   reader.Finish();
class json_reader {
 public:
  json_reader(const boost::json::value& value, std::string path, std::vector<error>& errors);

  [[nodiscard]] bool Has(std::string_view key) const noexcept;
  /// \brief Reads a required string that must not be empty.
  [[nodiscard]] std::string String(std::string_view key);
  /// \brief Reads a required string that may be empty.
  [[nodiscard]] std::string Text(std::string_view key);
  [[nodiscard]] std::string String(std::string_view key, std::string_view fallback);
  [[nodiscard]] std::int64_t Int(std::string_view key, int_range range);
  [[nodiscard]] std::int64_t Int(std::string_view key, int_range range, std::int64_t fallback);
  [[nodiscard]] double Number(std::string_view key, double min, double max, double fallback);
  [[nodiscard]] bool Bool(std::string_view key, bool fallback);
  /// \brief Reads a count of milliseconds; the key should end in `_ms`.
  [[nodiscard]] milliseconds Millis(std::string_view key, int_range range, milliseconds fallback);
  /// \brief Reads a number that may have a fraction, rounded down to a whole one.
  [[nodiscard]] std::int64_t RoundedInt(std::string_view key,
                                        int_range range,
                                        std::int64_t fallback);
  /// \brief Reads a duration that may have a fraction, rounded down to milliseconds. A positive one
  /// below a millisecond counts as one millisecond.
  /// \param unit  of the number in the document.
  [[nodiscard]] milliseconds Duration(std::string_view key,
                                      milliseconds unit,
                                      duration_range range,
                                      milliseconds fallback);
  [[nodiscard]] std::vector<std::string> Strings(std::string_view key);

  /// \brief Calls `visit` with a reader for each object of the array `key`, if it is present.
  void Each(std::string_view key, const std::function<void(json_reader&)>& visit);
  /// \brief Calls `visit` with the name and a reader for each member of the object `key`.
  void EachMember(std::string_view key,
                  const std::function<void(std::string_view, json_reader&)>& visit);
  /// \brief Calls `visit` with a reader for the object `key`, if it is present.
  void Child(std::string_view key, const std::function<void(json_reader&)>& visit);

  /// \brief Adds an error at a key of this object.
  void Fail(std::string_view key, std::string message);
  /// \brief Refuses the keys that were not read.
  void Finish();

  [[nodiscard]] const std::string& path() const noexcept { return path_; }

 private:
  const boost::json::value* Find(std::string_view key, bool required);
  [[nodiscard]] std::string PathOf(std::string_view key) const;

  const boost::json::object* object_ = nullptr;
  std::string path_;
  std::vector<error>& errors_;
  std::set<std::string, std::less<>> seen_;
};

/// \brief Joins all errors into one, a line each; its path is that of the first.
[[nodiscard]] error JoinErrors(const std::vector<error>& errors);

}  // namespace quincebank
