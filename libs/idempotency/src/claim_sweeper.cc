#include "quincebank/idempotency/claim_sweeper.h"

#include <algorithm>
#include <utility>

namespace quincebank {

void claim_sweeper::Begin(wall_time now, seconds retention) {
  now_ = now;
  retention_ = std::max(retention, kMinKeyRetention);
  operation_ = 0;
  step_ = step::kReadFloor;
}

std::optional<store_action> claim_sweeper::Next() {
  if (step_ == step::kDone || operation_ != 0)
    return std::nullopt;
  store_action action;
  action.operation = operation_ = next_operation_++;
  action.key = step_ == step::kReadFloor || step_ == step::kSwapFloor
                   ? std::string(kClaimFloorKey)
                   : TimedBucketName(slice_, bucket_);
  switch (step_) {
    case step::kErase:
      action.what = store_action::kind::kErase;
      break;
    case step::kSwapBucket:
      action.what = store_action::kind::kSwap;
      action.value = value_;
      action.index = index_;
      break;
    case step::kSwapFloor:
      action.what = store_action::kind::kSwap;
      action.value = next_.Serialise();
      action.index = floor_index_;
      break;
    default:
      break;
  }
  return action;
}

void claim_sweeper::OnReply(const store_reply& reply) {
  if (reply.operation == 0 || reply.operation != operation_)
    return;
  operation_ = 0;
  const bool ok = reply.what == store_reply::status::kOk;
  switch (step_) {
    case step::kReadFloor:
      return OnFloor(reply);
    case step::kReadBucket:
      return OnBucket(reply);
    case step::kErase:
    case step::kSwapBucket:
      return NextBucket(ok);
    case step::kSwapFloor:
    case step::kDone:
      step_ = step::kDone;
  }
}

void claim_sweeper::OnFloor(const store_reply& reply) {
  const auto floor = claim_floor::Parse(reply.value);
  step_ = step::kDone;
  if (reply.what != store_reply::status::kOk || !floor)
    return;
  read_ = floor.value();
  next_ = read_;
  floor_index_ = reply.index;
  next_.slice = std::max(read_.slice, SliceOf(options_.layout, now_ - ClaimLifetime(retention_)));
  if (floor_index_ == 0) {
    // Nothing was ever erased, so no bucket is older than the first floor.
    next_.erased = next_.slice;
    return BeginSwapFloor();
  }
  slice_ = read_.erased;
  // Not below `next_`: that floor may still lose its compare-and-swap.
  end_ = std::min(read_.slice, slice_ + options_.max_slices);
  bucket_ = 0;
  slice_done_ = true;
  if (slice_ >= end_)
    return BeginReduce();
  step_ = step::kErase;
}

void claim_sweeper::BeginReduce() {
  next_.reduced = std::max(next_.reduced, read_.slice);
  slice_ = next_.reduced;
  end_ =
      std::min(SliceOf(options_.layout, now_ - options_.reduce_age), slice_ + options_.max_slices);
  bucket_ = 0;
  slice_done_ = true;
  if (slice_ >= end_)
    return BeginSwapFloor();
  step_ = step::kReadBucket;
}

void claim_sweeper::OnBucket(const store_reply& reply) {
  if (reply.what != store_reply::status::kOk)
    return NextBucket(false);
  auto bucket = claim_bucket::Parse(reply.value);
  // A value that can't be read is left as it is, and must not hold the others up.
  if (!bucket || bucket.value().Reduce(now_ - options_.reduce_age) == 0)
    return NextBucket(true);
  value_ = bucket.value().Serialise();
  index_ = reply.index;
  step_ = step::kSwapBucket;
}

void claim_sweeper::NextBucket(bool done) {
  const bool erasing = step_ == step::kErase;
  slice_done_ = slice_done_ && done;
  if (!erasing)
    step_ = step::kReadBucket;
  if (++bucket_ < options_.layout.timed_buckets)
    return;
  bucket_ = 0;
  ++slice_;
  if (slice_done_)
    (erasing ? next_.erased : next_.reduced) = slice_;
  if (slice_done_ && slice_ < end_)
    return;
  if (erasing)
    return BeginReduce();
  BeginSwapFloor();
}

void claim_sweeper::BeginSwapFloor() {
  step_ = next_ == read_ ? step::kDone : step::kSwapFloor;
}

}  // namespace quincebank
