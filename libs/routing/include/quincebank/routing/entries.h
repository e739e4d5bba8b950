#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace quincebank {

/// \brief Address of one entry process, as a look-up returns it.
struct entry_address {
  std::string address;
  std::uint16_t port = 0;
  std::string host;
  std::string failure_domain;
  bool draining = false;  ///< It still serves callers that hold its address, but is not listed.

  [[nodiscard]] bool operator==(const entry_address&) const noexcept = default;
};

/// Most addresses in one look-up.
inline constexpr std::size_t kMaxListedEntries = 8;

/// \brief Orders the entries for one look-up.
///
/// Callers connect to the first address and use the next one if it fails, so the order of each
/// look-up is drawn anew. Entries of the caller's failure domain come first. At least a quarter of
/// a full list is from other failure domains if there are any, so that a caller can get out of a
/// failure domain that is lost while it holds the list.
///
/// \param seed  random for each look-up.
/// \param limit  most addresses in the list.
[[nodiscard]] std::vector<entry_address> OrderEntries(std::span<const entry_address> entries,
                                                      std::string_view caller_failure_domain,
                                                      std::uint64_t seed,
                                                      std::size_t limit = kMaxListedEntries);

}  // namespace quincebank
