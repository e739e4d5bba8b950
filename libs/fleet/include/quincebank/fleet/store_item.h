#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace quincebank {

/// \brief Key of the platform's store with its value and the revision of its last change.
struct store_item {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
};

/// \brief One change of a key.
struct store_event {
  store_item item;
  bool removed = false;
};

/// \brief Changes since a revision, or the whole content.
struct store_update {
  std::vector<store_event> events;
  /// All keys; set when the update replaces the whole content.
  bool whole = false;
  std::uint64_t revision = 0;  ///< Of the store; later changes are not included.
};

}  // namespace quincebank
