#include "quincebank/config/document.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "json_text.h"
#include "quincebank/base/json_reader.h"
#include "section_reader.h"

namespace quincebank {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 7> kKindNames{
    "failure_domains", "workspaces", "model_versions", "services",
    "upstreams",       "objectives", "expert_groups",
};

constexpr std::string_view kBaseKey = "$base";

config_base ReadBase(const json::value& value, std::vector<error>& errors) {
  json_reader reader(value, PointerTo("", kBaseKey), errors);
  config_base base;
  base.version = static_cast<std::uint64_t>(reader.Int("version", {}));
  base.digest = reader.String("digest", "");
  const json::object* const object = value.if_object();
  const json::value* const sections = object ? object->if_contains("sections") : nullptr;
  if (sections == nullptr || !sections->is_object()) {
    reader.Fail("sections", "expected an object of digests");
  } else {
    json_reader digests(*sections, PointerTo(reader.path(), "sections"), errors);
    for (const json::key_value_pair& member : sections->get_object())
      base.sections.emplace(member.key(), digests.String(member.key()));
  }
  return base;
}

json::object ToJson(const config_base& base) {
  json::object sections;
  for (const auto& [name, digest] : base.sections)
    sections[name] = digest;
  return {{"version", base.version}, {"digest", base.digest}, {"sections", std::move(sections)}};
}

}  // namespace

std::string_view ToString(section_kind kind) noexcept {
  return kKindNames.at(static_cast<std::size_t>(kind));
}

std::optional<section_kind> ParseSectionKind(std::string_view text) noexcept {
  const auto* const found = std::find(kKindNames.begin(), kKindNames.end(), text);
  if (found == kKindNames.end())
    return std::nullopt;
  return static_cast<section_kind>(found - kKindNames.begin());
}

const config_section* config_document::Find(std::string_view name) const noexcept {
  const auto found = std::lower_bound(
      sections.begin(), sections.end(), name,
      [](const config_section& section, std::string_view wanted) { return section.name < wanted; });
  return found != sections.end() && found->name == name ? &*found : nullptr;
}

result<config_document> ParsePartialDocument(std::string_view text) {
  auto parsed = ParseJson(text);
  if (!parsed)
    return std::move(parsed).error();
  if (auto unique = CheckDuplicateKeys(text); !unique)
    return std::move(unique).error();
  const json::object* const object = parsed.value().if_object();
  if (object == nullptr) {
    return error{error_code::kInvalidArgument, "expected an object of sections", verdict::kNotRun,
                 "/"};
  }
  config_document document;
  std::vector<error> errors;
  document.sections.reserve(object->size());
  for (const json::key_value_pair& member : *object) {
    if (member.key() == kBaseKey) {
      document.base = ReadBase(member.value(), errors);
      continue;
    }
    document.sections.push_back(
        ReadSection(member.value(), member.key(), PointerTo("", member.key()), errors));
  }
  if (!errors.empty())
    return JoinFirstErrors(std::move(errors));
  std::sort(document.sections.begin(), document.sections.end(),
            [](const config_section& a, const config_section& b) { return a.name < b.name; });
  return document;
}

result<config_document> ParseDocument(std::string_view text) {
  auto document = ParsePartialDocument(text);
  if (!document)
    return document;
  if (auto checked = CheckDocument(document.value()); !checked)
    return std::move(checked).error();
  return document;
}

result<config_section> ParseSection(std::string_view name, std::string_view body) {
  auto parsed = ParseJson(body);
  if (!parsed)
    return std::move(parsed).error();
  std::vector<error> errors;
  config_section section =
      ReadSection(parsed.value(), std::string(name), PointerTo("", name), errors);
  if (!errors.empty())
    return JoinFirstErrors(std::move(errors));
  return section;
}

std::string FormatDocument(const config_document& document) {
  std::string text = "{";
  if (document.base)
    text += "\n  \"$base\": " + json::serialize(ToJson(*document.base));
  for (const config_section& section : document.sections) {
    const json::value value = json::parse(section.body);
    const std::string_view kind = ToString(section.kind());
    text += text.size() > 1 ? ",\n" : "\n";
    text += "  " + json::serialize(json::value(section.name)) + ": {\n";
    text += "    \"owner\": " + json::serialize(json::value(section.owner)) + ",\n";
    text += "    \"kind\": \"" + std::string(kind) + "\",\n";
    text += "    \"" + std::string(kind) + "\": [";
    bool first = true;
    for (const json::value& item : value.at(kind).as_array()) {
      text += (first ? "\n      " : ",\n      ") + json::serialize(item);
      first = false;
    }
    text += first ? "]\n  }" : "\n    ]\n  }";
  }
  return text + "\n}\n";
}

}  // namespace quincebank
