#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "quincebank/base/ids.h"
#include "quincebank/net/endpoint.h"

namespace quincebank {

/// \brief Place in a streamed answer: the `id` of each server-sent event that a caller gets.
///
/// A caller whose entry died sends it as `Last-Event-ID` to any other entry, which goes on from
/// there without a look at the key-value service. The attempt id has 80 random bits, so a locator
/// can't be guessed.
struct stream_locator {
  endpoint agent;
  incarnation life;
  attempt_id attempt;
  std::uint64_t offset = 0;  ///< Bytes of the upstream's body up to the end of this event.

  [[nodiscard]] bool operator==(const stream_locator&) const = default;
};

[[nodiscard]] std::string Encode(const stream_locator& locator);
[[nodiscard]] std::optional<stream_locator> ParseStreamLocator(std::string_view text);

}  // namespace quincebank
