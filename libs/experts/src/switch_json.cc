#include "quincebank/experts/switch_json.h"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <limits>
#include <utility>
#include <vector>

#include "quincebank/base/digest.h"
#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

constexpr std::string_view kDigits = "0123456789abcdef";
constexpr std::array<std::string_view, 3> kVerdictNames{"abort", "commit", "restart"};

/// Reads 64 hexadecimal digits; false if the text is malformed.
bool ReadHex(std::string_view text, map_digest& digest) {
  if (text.size() != 2 * digest.bytes.size())
    return false;
  for (std::size_t i = 0; i < digest.bytes.size(); ++i) {
    const std::size_t high = kDigits.find(text[2 * i]);
    const std::size_t low = kDigits.find(text[(2 * i) + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos)
      return false;
    digest.bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return true;
}

}  // namespace

map_digest DigestOfMap(std::string_view json) {
  map_digest digest;
  (void)ReadHex(Sha256Hex(json), digest);
  return digest;
}

std::string DecisionKey(std::string_view group, map_epoch epoch) {
  return "experts/" + std::string(group) + "/" + std::to_string(epoch);
}

std::string ToHex(const map_digest& digest) {
  std::string text;
  for (const std::uint8_t byte : digest.bytes) {
    text += kDigits[byte / 16];
    text += kDigits[byte % 16];
  }
  return text;
}

std::optional<map_digest> MapDigestFromHex(std::string_view text) {
  map_digest digest;
  if (!ReadHex(text, digest))
    return std::nullopt;
  return digest;
}

boost::json::object ToJson(const switch_decision& record) {
  boost::json::object object{
      {"epoch", record.epoch},
      {"verdict", kVerdictNames.at(static_cast<std::size_t>(record.verdict))}};
  if (record.verdict == switch_verdict::kCommit) {
    object["step"] = record.step;
    object["map"] = ToHex(record.map);
  }
  if (record.verdict == switch_verdict::kRestart) {
    boost::json::array engines;
    for (const std::uint64_t boot : record.boots)
      engines.push_back(boost::json::object{{"boot", boot}});
    object["engines"] = std::move(engines);
  }
  return object;
}

result<switch_decision> SwitchDecisionFromJson(const boost::json::value& value) {
  std::vector<error> errors;
  json_reader reader(value, "", errors);
  switch_decision record;
  const int_range any{0, std::numeric_limits<std::int64_t>::max()};
  record.epoch = static_cast<map_epoch>(reader.Int("epoch", any));
  const std::string verdict = reader.String("verdict");
  if (verdict == "commit") {
    record.verdict = switch_verdict::kCommit;
    record.step = static_cast<step_number>(reader.Int("step", any));
    if (!ReadHex(reader.String("map"), record.map))
      reader.Fail("map", "expected 64 hexadecimal digits");
  } else if (verdict == "restart") {
    record.verdict = switch_verdict::kRestart;
    if (!reader.Has("engines"))
      reader.Fail("engines", "missing");
    reader.Each("engines", [&](json_reader& engine) {
      record.boots.push_back(static_cast<std::uint64_t>(engine.Int("boot", any)));
      engine.Finish();
    });
  } else if (verdict != "abort") {
    reader.Fail("verdict", "expected \"commit\", \"restart\" or \"abort\"");
  }
  reader.Finish();
  if (!errors.empty())
    return JoinErrors(errors);
  return record;
}

}  // namespace quincebank
