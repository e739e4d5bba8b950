#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <string_view>

#include "quincebank/base/error.h"

namespace quincebank {

/// \brief Serializes a value with sorted keys and without white space.
[[nodiscard]] std::string CanonicalJson(const boost::json::value& value);

/// \brief Returns a JSON pointer with one more step.
[[nodiscard]] std::string PointerTo(std::string_view path, std::string_view key);

/// \brief Rejects objects that hold one key twice; the path is `line:column` of the end of the
/// second.
///
/// The text must be valid JSON with comments. The JSON library itself keeps the last of two equal
/// keys, which would silently drop a section.
[[nodiscard]] result<void> CheckDuplicateKeys(std::string_view text);

}  // namespace quincebank
