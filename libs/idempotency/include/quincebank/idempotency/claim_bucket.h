#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/idempotency/claim.h"

namespace quincebank {

/// \brief Largest value that the key-value service takes.
inline constexpr std::size_t kMaxBucketBytes = 1'000'000;

/// \brief How keys are spread over buckets. All entries of a deployment use the same layout.
struct bucket_layout {
  std::uint32_t timed_buckets = 4;   ///< Buckets of one time slice, for keys that carry a time.
  seconds slice{10};                 ///< Length of a time slice.
  std::uint32_t plain_buckets = 64;  ///< Buckets for keys that carry no time.
};

/// \brief Returns the key-value key of a request's bucket, the same at every entry.
///
/// A key that carries a time goes to a bucket of its time slice: such a bucket stops growing when
/// the slice is over and is erased as a whole. Other keys share buckets that live for ever.
[[nodiscard]] std::string BucketName(const bucket_layout& layout, const request_key& key);

/// \brief Returns the bucket that has outlived all its keys when `name` is created, if any.
[[nodiscard]] std::optional<std::string> ErasableBucket(const bucket_layout& layout,
                                                        std::string_view name);

/// \brief Returns the entry to which the claims of a bucket are forwarded, by rendezvous hashing.
///
/// Forwarding only saves conflicts: any entry may write any bucket at any time. An entry whose
/// forwarded claim is not answered gives the same claim to a writer of its own.
///
/// \returns An index into `entries`, which must not be empty.
[[nodiscard]] std::size_t PreferredEntry(std::string_view bucket,
                                         const std::vector<std::string>& entries) noexcept;

/// \brief Value of one bucket: claims by key.
class claim_bucket {
 public:
  /// \brief Reads a value; an empty value is an empty bucket.
  [[nodiscard]] static result<claim_bucket> Parse(std::string_view value);
  /// \brief Writes the value: 46 bytes a claim, and each target once.
  [[nodiscard]] std::string Serialise() const;

  [[nodiscard]] const claim* Find(const claim_key& key) const noexcept;
  /// \brief Adds a claim or replaces the one with the same key.
  ///
  /// \returns False, with no change, if the value would grow beyond `limit`.
  [[nodiscard]] bool Put(const claim& value, std::size_t limit = kMaxBucketBytes);
  /// \brief Removes the claim of a key if it names this attempt.
  bool Remove(const claim_key& key, attempt_id attempt);
  /// \brief Removes claims older than `kClaimRetention`.
  ///
  /// \returns The number removed.
  std::size_t DropExpired(wall_time now);

  [[nodiscard]] std::size_t size() const noexcept { return claims_.size(); }
  [[nodiscard]] std::size_t Bytes() const noexcept;

 private:
  void AddTarget(const attempt_target& target);
  void RemoveTarget(const attempt_target& target);

  std::map<claim_key, claim> claims_;
  std::map<attempt_target, std::size_t> targets_;  ///< Number of claims that name each target.
  std::size_t target_bytes_ = 0;
};

}  // namespace quincebank
