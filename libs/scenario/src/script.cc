#include "quincebank/scenario/script.h"

#include <array>
#include <charconv>

namespace quincebank::scenario {
namespace {

constexpr std::size_t kMany = 99;

/// Words and options that a verb takes.
struct verb_shape {
  std::string_view verb;
  std::size_t min_words;
  std::size_t max_words;
  std::string_view options;  ///< Names with a space after each.
};

constexpr std::array<verb_shape, 23> kVerbs{{
    {"entry", 1, kMany, ""},
    {"agent", 1, kMany, ""},
    {"kill", 1, 1, ""},
    {"retention", 2, kMany, ""},
    {"sweep", 1, 1, ""},
    {"start", 1, 1, ""},
    {"pause", 2, 2, ""},
    {"cut", 2, 2, ""},
    {"heal", 2, 2, ""},
    {"drain", 1, 1, ""},
    {"undrain", 1, 1, ""},
    {"refuse", 2, 3, ""},
    {"crash-upstream", 1, 1, ""},
    {"evict", 1, 1, ""},
    {"kv", 1, 4, ""},
    {"late", 2, 2, ""},
    {"retries", 1, 1, ""},
    {"forwarding", 1, 1, ""},
    {"order", 2, 3, "key deadline as "},
    {"retry", 2, 2, "key deadline as "},
    {"run", 1, 1, ""},
    {"settle", 0, 0, ""},
    {"expect", 3, 6, ""},
}};

const verb_shape* FindShape(std::string_view verb) {
  for (const verb_shape& shape : kVerbs) {
    if (shape.verb == verb)
      return &shape;
  }
  return nullptr;
}

bool IsOption(std::string_view word) {
  const std::size_t equals = word.find('=');
  return equals != std::string_view::npos && equals > 0 && word[0] >= 'a' && word[0] <= 'z';
}

result<void> AddWord(script_command& command, script_word word) {
  if (command.verb.text.empty()) {
    command.verb = std::move(word);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  if (!IsOption(word.text)) {
    command.words.push_back(std::move(word));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  const std::size_t equals = word.text.find('=');
  const std::string name = word.text.substr(0, equals);
  const script_word value{word.text.substr(equals + 1), word.column + equals + 1};
  if (value.text.empty())
    return ScriptError(command, value, "'" + name + "=' has no value");
  if (!command.options.emplace(name, value).second)
    return ScriptError(command, word, "'" + name + "' is given twice");
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> CheckShape(const script_command& command, std::size_t end_column) {
  const verb_shape* const shape = FindShape(command.verb.text);
  if (shape == nullptr)
    return ScriptError(command, command.verb, "unknown command '" + command.verb.text + "'");
  for (const auto& [name, value] : command.options) {
    if (shape->options.find(name + " ") == std::string_view::npos)
      return ScriptError(command, {name, value.column - name.size() - 1},
                         "'" + command.verb.text + "' has no option '" + name + "'");
  }
  if (command.words.size() < shape->min_words)
    return ScriptError(command, {"", end_column},
                       "'" + command.verb.text + "' needs at least " +
                           std::to_string(shape->min_words) + " words");
  if (command.words.size() > shape->max_words)
    return ScriptError(command, command.words[shape->max_words],
                       "'" + command.verb.text + "' takes no more words here");
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<script_command> ParseLine(std::string_view line, std::size_t number) {
  script_command command;
  command.line = number;
  std::size_t at = 0;
  while (at < line.size()) {
    if (line[at] == ' ' || line[at] == '\t' || line[at] == '\r') {
      ++at;
      continue;
    }
    std::size_t end = line.find_first_of(" \t\r", at);
    if (end == std::string_view::npos)
      end = line.size();
    BOOST_OUTCOME_TRYV(AddWord(command, {std::string(line.substr(at, end - at)), at + 1}));
    at = end;
  }
  if (!command.verb.text.empty()) {
    BOOST_OUTCOME_TRYV(CheckShape(command, line.size() + 1));
  }
  return command;
}

}  // namespace

error ScriptError(const script_command& command, const script_word& word, std::string message) {
  error failure = MakeError(error_code::kInvalidArgument, std::move(message));
  failure.path = std::to_string(command.line) + ":" + std::to_string(word.column);
  return failure;
}

result<std::vector<script_command>> ParseScript(std::string_view text) {
  std::vector<script_command> commands;
  std::size_t number = 0;
  while (!text.empty()) {
    ++number;
    const std::size_t end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    line = line.substr(0, line.find('#'));
    BOOST_OUTCOME_TRY(auto command, ParseLine(line, number));
    if (!command.verb.text.empty())
      commands.push_back(std::move(command));
  }
  return commands;
}

result<milliseconds> ParseDuration(const script_command& command, const script_word& word) {
  std::int64_t count = 0;
  const char* const last = word.text.data() + word.text.size();
  const auto [unit, ec] = std::from_chars(word.text.data(), last, count);
  const std::string_view suffix(unit, static_cast<std::size_t>(last - unit));
  if (ec != std::errc() || count < 0 || (suffix != "ms" && suffix != "s"))
    return ScriptError(command, word, "'" + word.text + "' is not a duration such as 250ms or 5s");
  return suffix == "s" ? milliseconds(seconds(count)) : milliseconds(count);
}

result<std::size_t> ParseCount(const script_command& command, const script_word& word) {
  std::size_t count = 0;
  const char* const last = word.text.data() + word.text.size();
  const auto [end, ec] = std::from_chars(word.text.data(), last, count);
  if (ec != std::errc() || end != last)
    return ScriptError(command, word, "'" + word.text + "' is not a count");
  return count;
}

}  // namespace quincebank::scenario
