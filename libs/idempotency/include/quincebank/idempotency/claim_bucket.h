#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
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

/// \brief Returns the time slice of a timed key.
[[nodiscard]] std::uint64_t SliceOf(const bucket_layout& layout, wall_time issued) noexcept;
/// \brief Returns the name of one bucket of a time slice.
[[nodiscard]] std::string TimedBucketName(std::uint64_t slice, std::uint32_t bucket);
/// \brief Whether claims of this bucket are erased with it, and never one by one.
[[nodiscard]] bool IsTimedBucket(std::string_view name) noexcept;

/// \brief Returns the entry to which the claims of a bucket are forwarded, by rendezvous hashing.
///
/// Forwarding only saves conflicts: any entry may write any bucket at any time. An entry whose
/// forwarded claim is not answered gives the same claim to a writer of its own.
///
/// \returns An index into `entries`, which must not be empty.
[[nodiscard]] std::size_t PreferredEntry(std::string_view bucket,
                                         const std::vector<std::string>& entries) noexcept;

/// \brief Value of one bucket: claims by key, and reduced claims that say only "used".
///
/// A reduced claim is 32 bits of its key's digest. A key that was never used is taken for a used
/// one with a probability of the number of reduced claims in its bucket over 2^32.
class claim_bucket {
 public:
  /// \brief Reads a value; an empty value is an empty bucket.
  [[nodiscard]] static result<claim_bucket> Parse(std::string_view value);
  /// \brief Writes the value: 46 bytes a claim, 4 a reduced one, and each target once.
  [[nodiscard]] std::string Serialise() const;

  [[nodiscard]] const claim* Find(const claim_key& key) const noexcept;
  /// \brief Whether a reduced claim may be that of the key. Ask only if `Find` finds none.
  [[nodiscard]] bool Used(const claim_key& key) const noexcept;
  /// \brief Adds a claim or replaces the one with the same key.
  ///
  /// \returns False, with no change, if the value would grow beyond `limit`.
  [[nodiscard]] bool Put(const claim& value, std::size_t limit = kMaxBucketBytes);
  /// \brief Removes the claim of a key if it names this attempt.
  bool Remove(const claim_key& key, attempt_id attempt);
  /// \brief Removes claims whose retention is over. Not for buckets of time slices.
  ///
  /// \returns The number removed.
  std::size_t DropExpired(wall_time now);
  /// \brief Reduces the claims whose attempt was made before `limit`.
  ///
  /// \returns The number reduced.
  std::size_t Reduce(wall_time limit);

  [[nodiscard]] std::size_t size() const noexcept { return claims_.size(); }
  [[nodiscard]] std::size_t reduced() const noexcept { return used_.size(); }
  [[nodiscard]] std::size_t Bytes() const noexcept;

 private:
  void AddTarget(const attempt_target& target);
  void RemoveTarget(const attempt_target& target);

  std::map<claim_key, claim> claims_;
  std::vector<std::uint32_t> used_;                ///< Sorted.
  std::map<attempt_target, std::size_t> targets_;  ///< Number of claims that name each target.
  std::size_t target_bytes_ = 0;
};

}  // namespace quincebank
