#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/fleet/fleet_records.h"
#include "quincebank/fleet/store_item.h"

namespace quincebank {

/// \brief Datagram in which a store reader announces how far it knows the store to the other
/// entries of its failure domain.
struct revision_announcement {
  std::string reader;          ///< Name of the announcing entry.
  std::uint64_t revision = 0;  ///< Store revision up to which it knows all changes.
  milliseconds age{0};         ///< Time since a watch last confirmed that this is the newest one.
  std::uint64_t era = 0;       ///< Era of the revision; 0 if the reader states none.

  [[nodiscard]] store_position position() const noexcept { return {era, revision}; }

  [[nodiscard]] bool operator==(const revision_announcement&) const = default;
};

/// \name Encoding of the datagrams; decoding a malformed payload returns an error.
/// @{
[[nodiscard]] std::string Encode(const revision_announcement& announcement);
[[nodiscard]] result<revision_announcement> DecodeAnnouncement(std::string_view payload);
/// @}

/// \brief Selects the store readers: the entries of a failure domain that watch the store on behalf
/// of the others.
///
/// Each change of the store costs one priced call per watching entry, so the cost of a change would
/// grow with the fleet if all entries watched. Entries that know the same `entries` select the same
/// readers.
///
/// \returns The names of the readers in order of priority: the first one watches most often, the
///          other one stands in for it.
[[nodiscard]] std::vector<std::string> SelectStoreReaders(std::string_view failure_domain,
                                                          std::span<const entry_record> entries);

/// \brief Tracks the announcements of the store readers of an entry's failure domain.
///
/// A reader is live while it sends announcements and its watches of the store succeed. An entry
/// follows the readers while at least one is live, and otherwise watches the store itself. Readers
/// that are silent or whose watches get no answer stop being live within one to two seconds.
class store_reader_tracker {
 public:
  void OnAnnouncement(const revision_announcement& announcement, time_point now);
  /// \brief Drops a reader that did not hand over the changes it had announced, until its next
  /// announcement.
  void OnReadFailure(std::string_view reader);
  /// \brief Whether at least one reader is live and knows the store in an era, or a newer one.
  [[nodiscard]] bool HasLiveReader(time_point now, std::uint64_t era = 0) const;
  /// \brief Returns the live reader that is furthest ahead of a position, if there is one.
  [[nodiscard]] std::optional<std::string> ReaderAheadOf(store_position position,
                                                         time_point now) const;

 private:
  /// Last announcement of one reader.
  struct reader_state {
    store_position position;
    time_point confirmed_at{};  ///< When a watch last confirmed the reader's view.
    time_point received_at{};   ///< When its last announcement arrived.
  };

  [[nodiscard]] static bool IsLive(const reader_state& reader, time_point now);

  std::map<std::string, reader_state, std::less<>> readers_;  ///< By name.
};

}  // namespace quincebank
