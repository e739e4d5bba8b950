#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/idempotency/retention.h"

namespace quincebank {

/// \brief Digest of service, workspace and idempotency key. Workspaces never share a key.
struct claim_key {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  [[nodiscard]] bool operator==(const claim_key&) const noexcept = default;
  [[nodiscard]] bool operator<(const claim_key& other) const noexcept {
    return high != other.high ? high < other.high : low < other.low;
  }
};

/// \brief Idempotency key of one request.
struct request_key {
  claim_key digest;
  std::optional<wall_time> issued;  ///< Time that the key carries, if it is a UUIDv7.
};

/// \brief Returns the time in a UUIDv7 (`018f...-....-7...-[89ab]...`), or nothing for other keys.
[[nodiscard]] std::optional<wall_time> UuidV7Time(std::string_view text) noexcept;

/// \brief Checks the `Idempotency-Key` header and computes its digest.
///
/// \returns The key, or an error: an empty or oversized key, or one issued in the future, has not
///          run; a UUIDv7 older than `retention` may have run, since its claim may be gone.
[[nodiscard]] result<request_key> ParseRequestKey(std::string_view service,
                                                  std::string_view workspace,
                                                  std::string_view key,
                                                  wall_time now,
                                                  seconds retention = kKeyRetention);

/// \brief Digest of method, path and body, to detect a key that is reused for another request.
[[nodiscard]] std::uint64_t RequestDigest(std::string_view method,
                                          std::string_view path,
                                          std::string_view body) noexcept;

}  // namespace quincebank
