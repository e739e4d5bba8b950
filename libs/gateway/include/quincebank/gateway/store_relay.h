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
struct store_news {
  std::string reader;          ///< Name of the entry.
  std::uint64_t revision = 0;  ///< Up to which it knows the store.
  milliseconds age{0};         ///< Since the store last answered it.

  [[nodiscard]] bool operator==(const store_news&) const = default;
};

/// \name Datagrams between entries.
/// @{
[[nodiscard]] std::string Encode(const store_news& news);
[[nodiscard]] result<store_news> DecodeNews(std::string_view payload);
/// @}

/// \brief Entries of a failure domain that watch the store for the others.
///
/// Each change of the store is a priced call for each entry that watches it, so that the cost of a
/// change would grow with the fleet. All entries that know the same fleet choose the same readers.
[[nodiscard]] std::vector<std::string> ReadersOf(std::string_view failure_domain,
                                                 std::span<const entry_record> entries);

/// \brief What an entry has heard from the readers of its failure domain.
///
/// It follows them while one of them is known to be in touch with the store. Silent readers, and
/// readers that the store turns away, are left within about a second; the entry then watches the
/// store itself.
class reader_view {
 public:
  void OnNews(const store_news& news, time_point now);
  /// \brief A reader did not hand over what it had told of.
  void OnFailure(std::string_view reader);
  /// \brief Whether some reader is in touch with the store.
  [[nodiscard]] bool InTouch(time_point now) const;
  /// \brief Reader with the newest view, if that is newer than `revision`.
  [[nodiscard]] std::optional<std::string> Newer(std::uint64_t revision, time_point now) const;

 private:
  struct heard {
    std::uint64_t revision = 0;
    time_point contact{};  ///< When the store last answered the reader.
    time_point at{};
  };

  [[nodiscard]] static bool IsFresh(const heard& reader, time_point now);

  std::map<std::string, heard, std::less<>> readers_;
};

}  // namespace quincebank
