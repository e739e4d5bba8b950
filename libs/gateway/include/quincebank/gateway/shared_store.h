#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/fleet/store_item.h"

namespace quincebank {

/// \brief How new a read of the store has to be.
enum class read_freshness : std::uint8_t {
  kNewest,
  kMayBeStale,  ///< May be seconds old, for less load; a watch from its revision brings the rest.
};

/// \brief Client of the store that all processes share. Used by the fibers of one thread.
///
/// A failed write carries a verdict: after `kMayHaveRun` it may have taken effect or may still do
/// so.
class shared_store {
 public:
  virtual ~shared_store() = default;

  /// \brief Reads all keys that the product needs.
  [[nodiscard]] virtual result<store_update> ReadAll(read_freshness freshness) = 0;
  /// \brief Waits for changes after a revision, at most `wait`.
  /// \returns The changes, possibly none, or `kStale` if the store no longer has that history.
  [[nodiscard]] virtual result<store_update> Watch(std::uint64_t since, milliseconds wait) = 0;

  /// \brief Ends a waiting watch with an error, from another fiber of the same thread.
  virtual void CancelWatch() = 0;

  /// \returns The id of a lease that ends unless it is renewed in time.
  [[nodiscard]] virtual result<std::string> OpenLease(milliseconds time_to_live) = 0;
  /// \returns `kNotFound` if the lease has ended.
  [[nodiscard]] virtual result<void> RenewLease(std::string_view lease) = 0;
  /// \brief Ends a lease and removes its keys.
  [[nodiscard]] virtual result<void> EndLease(std::string_view lease) = 0;
  /// \brief Writes a key that must not exist, removed when the lease ends.
  /// \returns False if it exists.
  [[nodiscard]] virtual result<bool> Create(std::string_view key,
                                            std::string_view value,
                                            std::string_view lease) = 0;
  /// \brief Writes a key whose last change is still that of `expected`.
  /// \returns False if it has changed.
  [[nodiscard]] virtual result<bool> Replace(const store_item& expected,
                                             std::string_view value,
                                             std::string_view lease) = 0;
  /// \brief Writes a key whatever its state, removed when the lease ends.
  [[nodiscard]] virtual result<void> Put(std::string_view key,
                                         std::string_view value,
                                         std::string_view lease) = 0;
};

}  // namespace quincebank
