#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Value with the index of its last change, which compare-and-swap compares.
struct kv_entry {
  std::string value;
  std::uint64_t index = 0;
  bool leased = false;  ///< A live lease holds the key.
};

/// Index that a compare-and-swap expects of a key that must not exist yet.
inline constexpr std::uint64_t kKvAbsent = 0;
/// Largest value that the platform's service takes.
inline constexpr std::size_t kKvValueLimit = 1'000'000;

/// \brief Client of the platform's key-value service. Used by the fibers of one thread.
///
/// A failed write carries a verdict: after `kMayHaveRun` the write may have taken effect or may
/// still do so, and the caller must read back.
class kv_store {
 public:
  virtual ~kv_store() = default;

  /// \returns The entry, or nothing if the key does not exist.
  [[nodiscard]] virtual result<std::optional<kv_entry>> Get(std::string_view key) = 0;

  /// \brief Writes the value if the key's index is still `expected`.
  /// \returns False if another writer was faster.
  [[nodiscard]] virtual result<bool> CompareAndSwap(std::string_view key,
                                                    std::string_view value,
                                                    std::uint64_t expected) = 0;

  /// \brief Deletes the key whatever its value. Only for keys that no writer uses any more.
  [[nodiscard]] virtual result<void> Erase(std::string_view key) = 0;

  /// \brief Deletes the key if its index is still `expected`.
  /// \returns False if it has another index or does not exist.
  [[nodiscard]] virtual result<bool> EraseIf(std::string_view key, std::uint64_t expected) = 0;

  /// \brief Waits until the key's index differs from `seen`, at most `wait`.
  /// \returns The entry as it is then, changed or not.
  [[nodiscard]] virtual result<std::optional<kv_entry>> Watch(std::string_view key,
                                                              std::uint64_t seen,
                                                              milliseconds wait) = 0;

  /// \brief Opens a lease that lapses unless it is renewed within its time to live.
  /// \returns The lease's id.
  [[nodiscard]] virtual result<std::string> OpenLease(milliseconds time_to_live) = 0;
  [[nodiscard]] virtual result<void> RenewLease(std::string_view lease) = 0;
  /// \brief Writes the value if no other live lease holds the key.
  /// \returns False if another lease holds it.
  [[nodiscard]] virtual result<bool> Acquire(std::string_view key,
                                             std::string_view value,
                                             std::string_view lease) = 0;
};

}  // namespace quincebank
