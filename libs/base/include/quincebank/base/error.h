#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/try.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "quincebank/base/verdict.h"

namespace quincebank {

/// \brief Reason of a failure, independent of the part that reports it.
enum class error_code : std::uint8_t {
  kInvalidArgument,  ///< The caller's input is wrong; a repeat fails again.
  kNotFound,
  kConflict,     ///< Another writer was faster.
  kUnavailable,  ///< The peer or service can't be reached.
  kTimeout,
  kOverloaded,  ///< Refused to protect capacity; a later repeat may succeed.
  kDraining,    ///< The node or failure domain takes no new work.
  kStale,       ///< Incarnation or version is out of date.
  kTruncated,   ///< The answer ended early.
  kInternal,
};

/// \brief Returns the wire form, such as `invalid-argument`.
[[nodiscard]] std::string_view ToString(error_code code) noexcept;
/// \brief Parses the wire form.
[[nodiscard]] std::optional<error_code> ParseErrorCode(std::string_view text) noexcept;

/// \brief Failure with its reason and whether the request may have run.
struct error {
  error_code code = error_code::kInternal;
  std::string message;
  verdict outcome = verdict::kNotRun;
  /// JSON pointer (`/upstreams/3/port`) or `line:column` of the wrong value; empty if none.
  std::string path;
};

/// \brief Returns `path: message`, or the message alone if the error has no path.
[[nodiscard]] std::string Describe(const error& failure);

/// \brief Value or `error`. Reading the wrong side is undefined; check `has_value()` first.
template <typename T>
using result = BOOST_OUTCOME_V2_NAMESPACE::
    basic_result<T, error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// \brief Makes an error that provably did not run.
[[nodiscard]] inline error MakeError(error_code code, std::string message) {
  return error{code, std::move(message), verdict::kNotRun, {}};
}

/// \brief Makes an error with an explicit verdict.
[[nodiscard]] inline error MakeError(error_code code, std::string message, verdict outcome) {
  return error{code, std::move(message), outcome, {}};
}

}  // namespace quincebank
