#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace quincebank {

/// \brief Key of the platform's store, its value and the revision of its last change.
struct store_item {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
};

/// \brief One change of a key.
struct store_event {
  store_item item;
  bool removed = false;  ///< The key was removed at the revision of `item`.
};

/// \brief Changes since a revision, or the whole content.
struct store_update {
  std::vector<store_event> events;
  /// The update holds all keys and replaces the whole content.
  bool whole = false;
  std::uint64_t revision = 0;  ///< Revision of the store; later changes are not included.
};

}  // namespace quincebank
