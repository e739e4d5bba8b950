#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/idempotency/claim_bucket.h"
#include "quincebank/idempotency/claim_writer.h"

namespace quincebank {

/// \brief Key of the claim floor in the key-value service.
inline constexpr std::string_view kClaimFloorKey = "claims/floor";

/// \brief Durable bound below which claims of timed keys may be gone; no field ever decreases.
///
/// Buckets are erased only below a floor that is in the store already, and an old key is accepted
/// only if the floor, read after its claim was written, lies below the key. So it does not matter
/// which retention the erasing and the accepting entry know.
struct claim_floor {
  std::uint64_t slice = 0;    ///< Claims of earlier time slices may be gone.
  std::uint64_t erased = 0;   ///< The buckets of earlier slices are erased.
  std::uint64_t reduced = 0;  ///< Old claims of earlier slices are reduced to "used".

  [[nodiscard]] bool operator==(const claim_floor&) const = default;
  [[nodiscard]] static result<claim_floor> Parse(std::string_view value);
  [[nodiscard]] std::string Serialise() const;
};

/// \brief Whether claims of this key may have been erased below the floor.
[[nodiscard]] bool IsBelow(const bucket_layout& layout,
                           const request_key& key,
                           std::uint64_t floor_slice) noexcept;

/// \brief Whether a decision about a key must be confirmed by a read of the floor.
///
/// That is so for a key older than `kMinKeyRetention` that was found to have no earlier claim.
[[nodiscard]] bool NeedsFloor(const request_key& key,
                              const claim_decision& decision,
                              wall_time now) noexcept;

/// \brief Applies the floor to a decision that `NeedsFloor`.
///
/// \param reply  read of `kClaimFloorKey` that was sent after the decision was received.
[[nodiscard]] claim_decision ApplyFloor(const bucket_layout& layout,
                                        const request_key& key,
                                        const claim_decision& decision,
                                        const store_reply& reply);

}  // namespace quincebank
