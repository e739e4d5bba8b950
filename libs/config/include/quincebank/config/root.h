#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Key of the root record in the key-value service.
inline constexpr std::string_view kRootKey = "config/root";
/// \brief Returns the key of a section body.
[[nodiscard]] std::string SectionKey(std::string_view digest);

/// \brief Digests of earlier roots that a root lists. A writer whose answer was lost recognises
/// its own root for this many later versions.
inline constexpr std::size_t kRootHistory = 32;

/// \brief Section as the root names it.
struct section_ref {
  std::string digest;
  std::uint64_t version = 0;  ///< Root version that changed the section last.
  std::string author;         ///< Author of that version.

  [[nodiscard]] bool operator==(const section_ref&) const = default;
};

/// \brief Record that puts a configuration in force: one value under `kRootKey`.
struct config_root {
  std::uint64_t version = 0;  ///< 0 if nothing has been accepted yet.
  std::map<std::string, section_ref, std::less<>> sections;
  std::vector<std::string> previous;  ///< Digests of versions `version - 1`, `version - 2`, ...
  wall_time at;
  std::string author;
  std::string id;  ///< Unique to the apply, so that two equal changes differ in digest.

  [[nodiscard]] bool operator==(const config_root&) const = default;
};

/// \brief Root that a document was edited from, as far as a three-way merge needs it.
struct config_base {
  std::uint64_t version = 0;  ///< 0 for a document that starts from nothing.
  std::string digest;
  std::map<std::string, std::string, std::less<>> sections;  ///< Digest by name.
};

[[nodiscard]] config_base BaseOf(const config_root& root);

/// \brief Returns the canonical JSON, the bytes that are stored and hashed.
[[nodiscard]] std::string Serialize(const config_root& root);
/// \brief Returns the SHA-256 of the canonical JSON; empty for version 0.
[[nodiscard]] std::string Digest(const config_root& root);
[[nodiscard]] result<config_root> ParseRoot(std::string_view text);

/// \brief What a node tells its peers about its configuration.
struct root_announcement {
  std::uint64_t version = 0;
  std::string digest;
  /// Time since a node read this root from the key-value service; nothing if unknown.
  std::optional<milliseconds> age;
};

/// \brief Answer to `config.root {"have": N}`.
///
/// Besides the announcement it brings what the asker lacks, the root first, as far as it is small:
/// a change then takes one call from node to node instead of three.
struct root_answer {
  root_announcement announcement;
  std::vector<std::string> bodies;
};

/// \brief Largest sum of bodies in an answer; the rest is fetched by digest.
inline constexpr std::size_t kMaxInlineBytes = 65'536;

/// \brief Wire form of the announcement with `bodies`, which is left out if empty.
[[nodiscard]] boost::json::object ToJson(const root_answer& answer);
[[nodiscard]] result<root_answer> RootAnswerFromJson(const boost::json::value& value);

/// \brief Wire form `{"version", "digest", "age_ms"}`; `age_ms` is -1 if unknown.
[[nodiscard]] boost::json::object ToJson(const root_announcement& announcement);
[[nodiscard]] result<root_announcement> AnnouncementFromJson(const boost::json::value& value);

}  // namespace quincebank
