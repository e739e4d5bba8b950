#include "quincebank/expert_control/count_window.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "quincebank/base/digest.h"
#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

constexpr unsigned kGroupBits = 7;
constexpr unsigned kMoreFollow = 1U << kGroupBits;
constexpr unsigned kMostShift = 63;
// More counters than any group has; bounds what a malformed message makes a reader keep.
constexpr std::size_t kMostCounters = std::size_t{1} << 20U;

std::string Pack(const std::vector<std::uint64_t>& numbers) {
  std::string bytes;
  bytes.reserve(numbers.size());
  for (std::uint64_t number : numbers) {
    while (number >= kMoreFollow) {
      bytes.push_back(static_cast<char>((number & (kMoreFollow - 1)) | kMoreFollow));
      number >>= kGroupBits;
    }
    bytes.push_back(static_cast<char>(number));
  }
  return bytes;
}

std::optional<std::vector<std::uint64_t>> Unpack(std::string_view bytes) {
  if (bytes.size() > kMostCounters)
    return std::nullopt;
  std::vector<std::uint64_t> numbers;
  numbers.reserve(bytes.size());
  std::uint64_t number = 0;
  unsigned shift = 0;
  for (const char byte : bytes) {
    const auto bits = static_cast<unsigned char>(byte);
    if (shift > kMostShift)
      return std::nullopt;
    number |= static_cast<std::uint64_t>(bits & (kMoreFollow - 1)) << shift;
    shift += kGroupBits;
    if ((bits & kMoreFollow) != 0)
      continue;
    numbers.push_back(number);
    number = 0;
    shift = 0;
  }
  if (shift != 0)
    return std::nullopt;
  return numbers;
}

/// Whether an engine has gone on counting: a restart begins anew.
bool Continues(const std::vector<std::uint64_t>& before, const std::vector<std::uint64_t>& now) {
  return before.size() == now.size() &&
         std::equal(before.begin(), before.end(), now.begin(), std::less_equal<>());
}

}  // namespace

count_window count_recorder::Take(pick_counts now, const count_question& question) {
  for (std::uint64_t& count : now.counts)
    count /= kCountUnit;
  const bool continues = question.since == mark_ && Continues(last_.counts, now.counts);
  count_window window{now.epoch, mark_ + 1, 0, now.counts};
  if (continues) {
    window.since = question.since;
    std::uint64_t choices = 0;
    for (std::size_t i = 0; i < window.counts.size(); ++i) {
      window.counts[i] -= last_.counts[i];
      choices += window.counts[i];
    }
    if (choices * kCountUnit < question.least * window.counts.size())
      return {now.epoch, mark_, mark_, {}};
  }
  ++mark_;
  last_ = std::move(now);
  return window;
}

result<pick_counts> count_sum::Add(const count_window& window) {
  sum_.epoch = window.epoch;
  if (window.since == mark_ && window.mark == mark_ && mark_ != 0)
    return sum_;
  const bool whole = window.since == 0;
  if (!whole && (window.since != mark_ || window.counts.size() != sum_.counts.size())) {
    mark_ = 0;
    return MakeError(error_code::kStale, "counts since another read");
  }
  if (whole)
    sum_.counts.assign(window.counts.size(), 0);
  for (std::size_t i = 0; i < sum_.counts.size(); ++i)
    sum_.counts[i] += window.counts[i] * kCountUnit;
  mark_ = window.mark;
  return sum_;
}

boost::json::object ToJson(const count_window& window) {
  boost::json::object message{
      {"epoch", window.epoch}, {"mark", window.mark}, {"since", window.since}};
  if (!window.counts.empty())
    message["counts"] = Base64Encode(Pack(window.counts));
  return message;
}

result<count_window> CountWindowFromJson(const boost::json::value& value) {
  std::vector<error> errors;
  json_reader reader(value, "", errors);
  count_window window;
  window.epoch = static_cast<std::uint64_t>(reader.Int("epoch", {}));
  window.mark = static_cast<std::uint64_t>(reader.Int("mark", {}));
  window.since = static_cast<std::uint64_t>(reader.Int("since", {}));
  const auto bytes = Base64Decode(reader.Has("counts") ? reader.String("counts") : std::string());
  auto counts = bytes ? Unpack(*bytes) : std::nullopt;
  if (!counts)
    reader.Fail("counts", "expected counters in base64");
  if (!errors.empty())
    return JoinErrors(errors);
  window.counts = std::move(*counts);
  return window;
}

}  // namespace quincebank
