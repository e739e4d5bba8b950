#include "quincebank/idempotency/claim_bucket.h"

#include <algorithm>

#include "quincebank/base/digest.h"
#include "quincebank/idempotency/retention.h"
#include "quincebank/idempotency/timed_attempt.h"

namespace quincebank {
namespace {

constexpr std::string_view kMagic = "QC2\n";
// Earlier format: no reduced claims, and the time at which a claim was made instead of its end.
constexpr std::string_view kOldMagic = "QC1\n";
constexpr std::size_t kCountBytes = 4;
constexpr std::size_t kHeaderBytes = kMagic.size() + 3 * kCountBytes;
constexpr std::size_t kClaimBytes = 46;
constexpr std::size_t kUsedBytes = 4;
constexpr std::size_t kTargetBytes = 9;  // Length byte and incarnation, without the address.
constexpr std::size_t kMaxTargets = 65'535;
constexpr std::size_t kMaxAddressBytes = 255;
constexpr std::string_view kTimedPrefix = "claims/t";

void AppendNumber(std::string& text, std::uint64_t value, std::size_t bytes) {
  for (std::size_t i = 0; i < bytes; ++i)
    text += static_cast<char>((value >> (8 * i)) & 0xffU);
}

class byte_reader {
 public:
  explicit byte_reader(std::string_view text) noexcept : text_(text) {}

  std::uint64_t Number(std::size_t bytes) noexcept {
    const std::string_view part = Text(bytes);
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < part.size(); ++i)
      value |= std::uint64_t{static_cast<unsigned char>(part[i])} << (8 * i);
    return value;
  }

  std::string_view Text(std::size_t bytes) noexcept {
    if (bytes > text_.size()) {
      failed_ = true;
      text_ = {};
      return {};
    }
    const std::string_view part = text_.substr(0, bytes);
    text_.remove_prefix(bytes);
    return part;
  }

  [[nodiscard]] bool failed() const noexcept { return failed_; }
  [[nodiscard]] std::size_t left() const noexcept { return text_.size(); }

 private:
  std::string_view text_;
  bool failed_ = false;
};

std::uint32_t UsedMark(const claim_key& key) noexcept {
  return static_cast<std::uint32_t>(key.high >> 32U);
}

error Malformed(std::string message) {
  return MakeError(error_code::kInternal, "claim bucket is malformed: " + std::move(message));
}

std::uint64_t UnixSeconds(wall_time at) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<seconds>(at.time_since_epoch()).count());
}

}  // namespace

std::string BucketName(const bucket_layout& layout, const request_key& key) {
  if (!key.issued)
    return "claims/p" + std::to_string(key.digest.low % layout.plain_buckets);
  return TimedBucketName(SliceOf(layout, *key.issued),
                         static_cast<std::uint32_t>(key.digest.low % layout.timed_buckets));
}

std::uint64_t SliceOf(const bucket_layout& layout, wall_time issued) noexcept {
  return UnixSeconds(issued) / static_cast<std::uint64_t>(layout.slice.count());
}

std::string TimedBucketName(std::uint64_t slice, std::uint32_t bucket) {
  return std::string(kTimedPrefix) + std::to_string(slice) + "-" + std::to_string(bucket);
}

bool IsTimedBucket(std::string_view name) noexcept {
  return name.starts_with(kTimedPrefix);
}

std::size_t PreferredEntry(std::string_view bucket,
                           const std::vector<std::string>& entries) noexcept {
  std::size_t best = 0;
  std::uint64_t best_score = 0;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const std::uint64_t score = StableHash64(bucket, StableHash64(entries[i]));
    if (score < best_score)
      continue;
    best = i;
    best_score = score;
  }
  return best;
}

result<claim_bucket> claim_bucket::Parse(std::string_view value) {
  claim_bucket bucket;
  if (value.empty())
    return bucket;
  byte_reader reader(value);
  const std::string_view magic = reader.Text(kMagic.size());
  const bool old = magic == kOldMagic;
  if (!old && magic != kMagic)
    return Malformed("unknown format");
  const std::uint64_t target_count = reader.Number(kCountBytes);
  const std::uint64_t claim_count = reader.Number(kCountBytes);
  const std::uint64_t used_count = old ? 0 : reader.Number(kCountBytes);
  std::vector<attempt_target> targets;
  for (std::uint64_t i = 0; i < target_count && !reader.failed(); ++i) {
    const std::uint64_t length = reader.Number(1);
    std::string agent(reader.Text(length));
    targets.push_back({std::move(agent), incarnation{reader.Number(8)}});
  }
  if (reader.failed() || reader.left() != claim_count * kClaimBytes + used_count * kUsedBytes)
    return Malformed("length does not match the counts");
  for (std::uint64_t i = 0; i < claim_count; ++i) {
    claim entry;
    entry.key.high = reader.Number(8);
    entry.key.low = reader.Number(8);
    entry.request_digest = reader.Number(8);
    entry.attempt.high = reader.Number(8);
    entry.attempt.low = reader.Number(8);
    entry.expires = wall_time(seconds(reader.Number(4)));
    if (old)
      entry.expires += kClaimRetention;
    const std::uint64_t target = reader.Number(2);
    if (target >= targets.size())
      return Malformed("claim names an unknown target");
    entry.target = targets[target];
    if (bucket.Find(entry.key) != nullptr)
      return Malformed("key occurs twice");
    if (!bucket.Put(entry))
      return Malformed("value is too large");
  }
  for (std::uint64_t i = 0; i < used_count; ++i)
    bucket.used_.push_back(static_cast<std::uint32_t>(reader.Number(kUsedBytes)));
  if (!std::is_sorted(bucket.used_.begin(), bucket.used_.end()))
    return Malformed("reduced claims are not in order");
  if (bucket.Bytes() > kMaxBucketBytes)
    return Malformed("value is too large");
  return bucket;
}

std::string claim_bucket::Serialise() const {
  std::string text;
  text.reserve(Bytes());
  text += kMagic;
  AppendNumber(text, targets_.size(), kCountBytes);
  AppendNumber(text, claims_.size(), kCountBytes);
  AppendNumber(text, used_.size(), kCountBytes);
  std::map<attempt_target, std::size_t> numbers;
  for (const auto& [target, count] : targets_) {
    numbers.emplace(target, numbers.size());
    AppendNumber(text, target.agent.size(), 1);
    text += target.agent;
    AppendNumber(text, target.life.value, 8);
  }
  for (const auto& [key, entry] : claims_) {
    AppendNumber(text, key.high, 8);
    AppendNumber(text, key.low, 8);
    AppendNumber(text, entry.request_digest, 8);
    AppendNumber(text, entry.attempt.high, 8);
    AppendNumber(text, entry.attempt.low, 8);
    AppendNumber(text, UnixSeconds(entry.expires), 4);
    AppendNumber(text, numbers.at(entry.target), 2);
  }
  for (const std::uint32_t mark : used_)
    AppendNumber(text, mark, kUsedBytes);
  return text;
}

const claim* claim_bucket::Find(const claim_key& key) const noexcept {
  const auto found = claims_.find(key);
  return found == claims_.end() ? nullptr : &found->second;
}

bool claim_bucket::Used(const claim_key& key) const noexcept {
  return std::binary_search(used_.begin(), used_.end(), UsedMark(key));
}

bool claim_bucket::Put(const claim& value, std::size_t limit) {
  if (value.target.agent.size() > kMaxAddressBytes)
    return false;
  const auto found = claims_.find(value.key);
  const bool new_target = !targets_.contains(value.target);
  std::size_t grown = Bytes();
  if (found == claims_.end())
    grown += kClaimBytes;
  else if (targets_.at(found->second.target) == 1 && found->second.target != value.target)
    grown -= kTargetBytes + found->second.target.agent.size();
  if (new_target)
    grown += kTargetBytes + value.target.agent.size();
  if (grown > limit || (new_target && targets_.size() >= kMaxTargets))
    return false;
  if (found != claims_.end())
    RemoveTarget(found->second.target);
  AddTarget(value.target);
  claim stored = value;
  stored.expires = wall_time(seconds(UnixSeconds(value.expires)));
  // A shorter retention must not take back what an earlier attempt was promised.
  if (found != claims_.end())
    stored.expires = std::max(stored.expires, found->second.expires);
  claims_.insert_or_assign(value.key, std::move(stored));
  return true;
}

bool claim_bucket::Remove(const claim_key& key, attempt_id attempt) {
  const auto found = claims_.find(key);
  if (found == claims_.end() || found->second.attempt != attempt)
    return false;
  RemoveTarget(found->second.target);
  claims_.erase(found);
  return true;
}

std::size_t claim_bucket::DropExpired(wall_time now) {
  std::size_t dropped = 0;
  for (auto entry = claims_.begin(); entry != claims_.end();) {
    if (entry->second.expires >= now) {
      ++entry;
      continue;
    }
    RemoveTarget(entry->second.target);
    entry = claims_.erase(entry);
    ++dropped;
  }
  return dropped;
}

std::size_t claim_bucket::Reduce(wall_time limit) {
  const std::size_t before = used_.size();
  for (auto entry = claims_.begin(); entry != claims_.end();) {
    if (AttemptTime(entry->second.attempt) >= limit) {
      ++entry;
      continue;
    }
    used_.push_back(UsedMark(entry->first));
    RemoveTarget(entry->second.target);
    entry = claims_.erase(entry);
  }
  std::sort(used_.begin(), used_.end());
  return used_.size() - before;
}

std::size_t claim_bucket::Bytes() const noexcept {
  return kHeaderBytes + target_bytes_ + claims_.size() * kClaimBytes + used_.size() * kUsedBytes;
}

void claim_bucket::AddTarget(const attempt_target& target) {
  if (++targets_[target] == 1)
    target_bytes_ += kTargetBytes + target.agent.size();
}

void claim_bucket::RemoveTarget(const attempt_target& target) {
  const auto found = targets_.find(target);
  if (--found->second > 0)
    return;
  target_bytes_ -= kTargetBytes + target.agent.size();
  targets_.erase(found);
}

}  // namespace quincebank
