#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"

namespace quincebank::scenario {

/// \brief Word of a script and where it stands.
struct script_word {
  std::string text;
  std::size_t column = 1;
};

/// \brief One line of a script.
struct script_command {
  std::size_t line = 1;
  script_word verb;
  std::vector<script_word> words;                           ///< Words without `=`, in order.
  std::map<std::string, script_word, std::less<>> options;  ///< Words `name=value`.

  [[nodiscard]] bool Has(std::string_view option) const { return options.contains(option); }
};

/// \brief Parses a script: one command a line, `#` starts a comment.
///
/// \returns The commands, or an error whose path is `line:column`.
[[nodiscard]] result<std::vector<script_command>> ParseScript(std::string_view text);

/// \brief Parses a duration such as `250ms` or `5s`.
[[nodiscard]] result<milliseconds> ParseDuration(const script_command& command,
                                                 const script_word& word);
/// \brief Parses a count.
[[nodiscard]] result<std::size_t> ParseCount(const script_command& command,
                                             const script_word& word);

/// \brief Makes an error at a word of a script.
[[nodiscard]] error ScriptError(const script_command& command,
                                const script_word& word,
                                std::string message);

}  // namespace quincebank::scenario
