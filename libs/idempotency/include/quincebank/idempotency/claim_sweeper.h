#pragma once

#include <cstdint>
#include <optional>

#include "quincebank/base/time.h"
#include "quincebank/idempotency/claim_bucket.h"
#include "quincebank/idempotency/claim_floor.h"
#include "quincebank/idempotency/claim_writer.h"
#include "quincebank/idempotency/retention.h"

namespace quincebank {

struct sweep_options {
  bucket_layout layout;
  std::uint64_t max_slices = 16;  ///< Erased, and reduced, in one pass.
  seconds reduce_age = kReduceAge;
};

/// \brief Raises the claim floor, erases buckets below it, and reduces old claims to "used".
///
/// One pass reads the floor, does a bounded part of the work, and writes the floor back by
/// compare-and-swap. Several entries may sweep at the same time and any call may be lost: a pass
/// erases only below the floor that it has read, replaces a bucket only at the index that it has
/// read, and work whose cursor is not written is done again.
///
/// \example
///   sweeper.Begin(wall, longest_retention);
///   while (const auto call = sweeper.Next()) sweeper.OnReply(Perform(*call));
class claim_sweeper {
 public:
  explicit claim_sweeper(sweep_options options) : options_(options) {}

  /// \brief Starts a pass; one that is under way is given up.
  ///
  /// \param retention  the longest of all services whose requests make claims.
  void Begin(wall_time now, seconds retention);
  /// \brief Returns the next call, or nothing if one is under way or the pass is over.
  [[nodiscard]] std::optional<store_action> Next();
  /// \brief Takes the reply to the call under way; others are ignored.
  void OnReply(const store_reply& reply);

  [[nodiscard]] bool finished() const noexcept { return step_ == step::kDone; }
  /// \brief Floor that the last pass has read.
  [[nodiscard]] const claim_floor& floor() const noexcept { return read_; }

 private:
  enum class step : std::uint8_t {
    kReadFloor,
    kErase,
    kReadBucket,
    kSwapBucket,
    kSwapFloor,
    kDone
  };

  void OnFloor(const store_reply& reply);
  void OnBucket(const store_reply& reply);
  void NextBucket(bool done);
  void BeginReduce();
  void BeginSwapFloor();

  const sweep_options options_;
  wall_time now_;
  seconds retention_{0};
  step step_ = step::kDone;
  std::uint64_t next_operation_ = 1;
  std::uint64_t operation_ = 0;  ///< Call under way; 0 if none.
  claim_floor read_;
  claim_floor next_;  ///< Written at the end of the pass.
  std::uint64_t floor_index_ = 0;
  std::uint64_t slice_ = 0;  ///< Slice and bucket that the pass is at.
  std::uint32_t bucket_ = 0;
  std::uint64_t end_ = 0;
  bool slice_done_ = true;  ///< All buckets of the slice so far are done.
  std::string value_;
  std::uint64_t index_ = 0;
};

}  // namespace quincebank
