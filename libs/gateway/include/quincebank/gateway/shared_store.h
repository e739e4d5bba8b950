#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/fleet/era_tracker.h"
#include "quincebank/fleet/store_item.h"

namespace quincebank {

/// \brief Consistency of a read of the store.
enum class read_freshness : std::uint8_t {
  kNewest,      ///< The newest state.
  kMayBeStale,  ///< May be seconds old, but loads the store less. A watch from the revision of the
                ///< read returns the changes that are missing.
};

/// \brief Client of the key-value store that all processes share. Used by the fibers of one thread.
///
/// The error of a failed write carries a verdict: with `kMayHaveRun` the write may have taken
/// effect or may still do so.
///
/// The store may be restored from an older copy, which raises its era. Each answer, also that of a
/// failed call, is recorded in `era()` before it is used. An answer from an older era than one seen
/// before is the error `kStale`. A lease of an older era has ended: calls with it return the error
/// `kNotFound` and are not sent, or their answer is not believed.
class shared_store {
 public:
  virtual ~shared_store() = default;

  /// \brief The eras of the answers. Other entries may show a newer one.
  [[nodiscard]] virtual era_tracker& era() = 0;

  /// \brief Reads all keys that the load balancer uses.
  /// \returns The content, or the error `kStale` if parts of it are from different eras.
  [[nodiscard]] virtual result<store_update> ReadAll(read_freshness freshness) = 0;
  /// \brief Waits for changes after the revision `since`, at most for `wait`.
  /// \returns The changes, possibly none, or the error `kStale` if the store no longer has the
  ///          history since that revision.
  [[nodiscard]] virtual result<store_update> Watch(std::uint64_t since, milliseconds wait) = 0;

  /// \brief Makes a waiting `Watch` return an error. Called from another fiber of the same thread.
  virtual void CancelWatch() = 0;

  /// \brief Creates a lease that ends unless it is renewed within `time_to_live`.
  [[nodiscard]] virtual result<store_lease> OpenLease(milliseconds time_to_live) = 0;
  /// \brief Renews a lease.
  /// \returns The error `kNotFound` if the lease has ended.
  [[nodiscard]] virtual result<void> RenewLease(const store_lease& lease) = 0;
  /// \brief Ends a lease and removes the keys written under it.
  [[nodiscard]] virtual result<void> EndLease(const store_lease& lease) = 0;
  /// \brief Writes a key if it does not exist. The key is removed when the lease ends.
  /// \returns The revision of the write; nothing if the key exists.
  [[nodiscard]] virtual result<std::optional<std::uint64_t>> Create(std::string_view key,
                                                                    std::string_view value,
                                                                    const store_lease& lease) = 0;
  /// \brief Writes a key if the revision of its last change is still that of `expected`. The key is
  /// removed when the lease ends.
  /// \returns The revision of the write; nothing if the key has changed.
  [[nodiscard]] virtual result<std::optional<std::uint64_t>> Replace(const store_item& expected,
                                                                     std::string_view value,
                                                                     const store_lease& lease) = 0;
  /// \brief Writes a key unconditionally.
  /// \param lease  the key is removed when this lease ends; empty: the key is permanent.
  [[nodiscard]] virtual result<void> Put(std::string_view key,
                                         std::string_view value,
                                         const store_lease& lease) = 0;
};

}  // namespace quincebank
