#include "quincebank/config/root.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <limits>
#include <utility>

#include "json_text.h"
#include "quincebank/base/digest.h"
#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

namespace json = boost::json;

constexpr std::size_t kDigestLength = 64;

void CheckDigest(json_reader& reader, std::string_view key, std::string_view digest) {
  if (digest.size() != kDigestLength ||
      digest.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
    reader.Fail(key, "expected 64 hexadecimal digits");
  }
}

}  // namespace

std::string SectionKey(std::string_view digest) {
  return "config/section/" + std::string(digest);
}

std::string Serialize(const config_root& root) {
  json::object sections;
  for (const auto& [name, ref] : root.sections) {
    sections[name] =
        json::object{{"author", ref.author}, {"digest", ref.digest}, {"version", ref.version}};
  }
  const auto at = std::chrono::duration_cast<milliseconds>(root.at.time_since_epoch()).count();
  return CanonicalJson(
      json::object{{"at_ms", at},
                   {"author", root.author},
                   {"id", root.id},
                   {"previous", json::array(root.previous.begin(), root.previous.end())},
                   {"sections", std::move(sections)},
                   {"version", root.version}});
}

std::string Digest(const config_root& root) {
  return root.version == 0 ? std::string() : Sha256Hex(Serialize(root));
}

config_base BaseOf(const config_root& root) {
  config_base base{root.version, Digest(root), {}};
  for (const auto& [name, ref] : root.sections)
    base.sections.emplace(name, ref.digest);
  return base;
}

result<config_root> ParseRoot(std::string_view text) {
  auto parsed = ParseJson(text);
  if (!parsed)
    return std::move(parsed).error();
  std::vector<error> errors;
  json_reader reader(parsed.value(), "", errors);
  config_root root;
  const int_range versions{1, std::numeric_limits<std::int64_t>::max()};
  root.version = static_cast<std::uint64_t>(reader.Int("version", versions));
  root.author = reader.String("author", "");
  root.id = reader.String("id", "");
  root.at = wall_time(milliseconds(reader.Int("at_ms", {})));
  root.previous = reader.Strings("previous");
  reader.EachMember("sections", [&](std::string_view name, json_reader& child) {
    section_ref ref;
    ref.digest = child.String("digest");
    CheckDigest(child, "digest", ref.digest);
    ref.version = static_cast<std::uint64_t>(child.Int("version", versions));
    ref.author = child.String("author", "");
    child.Finish();
    root.sections.emplace(name, std::move(ref));
  });
  reader.Finish();
  if (!errors.empty())
    return JoinErrors(errors);
  return root;
}

json::object ToJson(const root_announcement& announcement) {
  return json::object{{"version", announcement.version},
                      {"digest", announcement.digest},
                      {"age_ms", announcement.age ? announcement.age->count() : -1}};
}

json::object ToJson(const root_answer& answer) {
  json::object object = ToJson(answer.announcement);
  if (!answer.bodies.empty())
    object["bodies"] = json::array(answer.bodies.begin(), answer.bodies.end());
  return object;
}

namespace {

root_announcement ReadAnnouncement(json_reader& reader) {
  root_announcement announcement;
  announcement.version = static_cast<std::uint64_t>(reader.Int("version", {}));
  announcement.digest = reader.String("digest", "");
  const std::int64_t age = reader.Int("age_ms", {-1}, -1);
  if (age >= 0)
    announcement.age = milliseconds(age);
  if (announcement.version > 0)
    CheckDigest(reader, "digest", announcement.digest);
  return announcement;
}

}  // namespace

result<root_announcement> AnnouncementFromJson(const json::value& value) {
  std::vector<error> errors;
  json_reader reader(value, "", errors);
  root_announcement announcement = ReadAnnouncement(reader);
  reader.Finish();
  if (!errors.empty())
    return JoinErrors(errors);
  return announcement;
}

result<root_answer> RootAnswerFromJson(const json::value& value) {
  std::vector<error> errors;
  json_reader reader(value, "", errors);
  root_answer answer{ReadAnnouncement(reader), reader.Strings("bodies")};
  reader.Finish();
  if (!errors.empty())
    return JoinErrors(errors);
  return answer;
}

}  // namespace quincebank
