#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace quincebank {

/// \brief Point in the history of the store.
///
/// The era rises when the store is restored from an older copy. Revisions of different eras are
/// unrelated, since the store assigns them again.
struct store_position {
  std::uint64_t era = 0;  ///< 0 if the store states none.
  std::uint64_t revision = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the defaulted operator.
  [[nodiscard]] auto operator<=>(const store_position&) const = default;
};

/// \brief Lease of the store. It ends with the era in which it was opened: a restored store may
/// assign its id again.
struct store_lease {
  std::string id;  ///< Empty if there is no lease.
  std::uint64_t era = 0;

  [[nodiscard]] bool empty() const noexcept { return id.empty(); }
  [[nodiscard]] bool operator==(const store_lease&) const = default;
};

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
  std::uint64_t era = 0;       ///< Era of the revisions.

  [[nodiscard]] store_position position() const noexcept { return {era, revision}; }
};

}  // namespace quincebank
