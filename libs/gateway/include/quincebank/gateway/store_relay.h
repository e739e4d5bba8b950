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

namespace quincebank {

/// \brief What a reader of the store tells the other entries of its failure domain.
struct revision_announcement {
  std::string reader;          ///< Name of the entry.
  std::uint64_t revision = 0;  ///< Up to which it knows the store.
  milliseconds age{0};         ///< Since the store last answered it.

  [[nodiscard]] bool operator==(const revision_announcement&) const = default;
};

/// \name Datagrams between entries.
/// @{
[[nodiscard]] std::string Encode(const revision_announcement& announcement);
[[nodiscard]] result<revision_announcement> DecodeAnnouncement(std::string_view payload);
/// @}

/// \brief Entries of a failure domain that watch the store for the others.
///
/// Each change of the store is a priced call for each entry that watches it, so that the cost of a
/// change would grow with the fleet. All entries that know the same fleet choose the same readers.
[[nodiscard]] std::vector<std::string> SelectStoreReaders(std::string_view failure_domain,
                                                          std::span<const entry_record> entries);

/// \brief What an entry has heard from the readers of its failure domain.
///
/// It follows them while one of them is known to be in touch with the store. Silent readers, and
/// readers that the store turns away, are left within about a second; the entry then watches the
/// store itself.
class store_reader_tracker {
 public:
  void OnAnnouncement(const revision_announcement& announcement, time_point now);
  /// \brief A reader did not hand over what it had told of.
  void OnReadFailure(std::string_view reader);
  /// \brief Whether some reader is in touch with the store.
  [[nodiscard]] bool HasLiveReader(time_point now) const;
  /// \brief Reader with the newest view, if that is newer than `revision`.
  [[nodiscard]] std::optional<std::string> ReaderAheadOf(std::uint64_t revision,
                                                         time_point now) const;

 private:
  struct reader_state {
    std::uint64_t revision = 0;
    time_point store_contact{};  ///< When the store last answered the reader.
    time_point received_at{};
  };

  [[nodiscard]] static bool IsLive(const reader_state& reader, time_point now);

  std::map<std::string, reader_state, std::less<>> readers_;
};

}  // namespace quincebank
