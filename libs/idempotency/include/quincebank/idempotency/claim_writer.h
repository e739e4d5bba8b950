#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/random.h"
#include "quincebank/base/time.h"
#include "quincebank/idempotency/claim.h"
#include "quincebank/idempotency/claim_bucket.h"

namespace quincebank {

/// \brief One request to a claim writer.
struct claim_request {
  claim value;  ///< Only `value.key` is read if `look` is set.
  /// \brief Attempt that the claim is moved away from. Its sender must know that it never ran.
  std::optional<attempt_id> expected;
  bool look = false;  ///< Only reads the current claim, from a value read after the request.
  time_point deadline;
};

enum class claim_outcome : std::uint8_t {
  kOwned,   ///< The claim is in the store and names the requested attempt.
  kHeld,    ///< The store holds `holder` for this key.
  kAbsent,  ///< Only for `look`: there is no claim.
  kUsed,    ///< An earlier request with this key may have run, and no more is on record.
  /// Not claimed in time; a write under way may still claim it. The writer does not remove it,
  /// since the request may have got the same claim through another entry. `keyed_request` releases
  /// it.
  kNotRun,
};

/// \brief Result of one `claim_request`, matched by `ticket`.
struct claim_decision {
  std::uint64_t ticket = 0;
  claim_outcome outcome = claim_outcome::kNotRun;
  claim holder;   ///< For `kHeld`.
  error failure;  ///< For `kNotRun`.
};

/// \brief Call to the key-value service that the caller must make.
struct store_action {
  enum class kind : std::uint8_t { kRead, kSwap, kErase };
  kind what = kind::kRead;
  std::uint64_t operation = 0;  ///< Given back in the reply.
  std::string key;
  std::string value;        ///< For `kSwap`.
  std::uint64_t index = 0;  ///< For `kSwap`: expected modify index; 0 creates.
};

/// \brief Reply of the key-value service to one action.
struct store_reply {
  enum class status : std::uint8_t {
    kOk,  ///< Read: `value` and `index` (0 if absent). Swap: written at `index`, 0 if unknown.
    kConflict,  ///< Swap: the index did not match; nothing was written.
    kUnknown,   ///< Error or timeout: a swap may have taken effect, or may still do so.
  };
  std::uint64_t operation = 0;
  status what = status::kUnknown;
  std::string value;
  std::uint64_t index = 0;
};

struct claim_writer_options {
  milliseconds window{20};  ///< Time that the first pending claim waits for others.
  milliseconds reply_timeout{1000};
  milliseconds retry_delay{50};  ///< After a reply `kUnknown`; doubled up to the maximum.
  milliseconds max_retry_delay{800};
  /// \brief Time that released claims wait for a write. A claim that stays behind makes later calls
  /// with its key ask an agent that may be gone.
  milliseconds release_delay{200};
  std::size_t max_pending = 4096;
  std::size_t max_bytes = kMaxBucketBytes;
  std::uint64_t seed = 0;  ///< Spreads the retries of several writers after a conflict.
};

/// \brief Writes the claims of one bucket for one entry.
///
/// Pending claims share one compare-and-swap. A swap whose outcome is unknown is resolved by
/// reading back. Every retry carries the same attempts under a compare-and-swap, so a delayed
/// earlier write either loses by its index or writes the same claims. A bucket is only deleted
/// below the claim floor, since a delayed create could succeed again after a deletion.
class claim_writer {
 public:
  claim_writer(std::string bucket, claim_writer_options options);

  /// \returns A ticket that identifies the decision.
  std::uint64_t Add(claim_request request, time_point now);
  /// \brief Removes the claim soon, if it still names this attempt. Call `Poll` afterwards.
  ///
  /// Only for attempts that provably never run. The removal is not guaranteed.
  void Release(const claim_key& key, attempt_id attempt);

  /// \brief Returns the calls that are due now. Call after every event.
  [[nodiscard]] std::vector<store_action> Poll(time_point now, wall_time wall);
  /// \brief Takes a reply. Replies to operations that have timed out are ignored.
  void OnReply(const store_reply& reply, time_point now);
  /// \brief Returns the decisions made since the last call.
  [[nodiscard]] std::vector<claim_decision> TakeDecisions();
  /// \brief Returns the time of the next `Poll` if no reply comes before.
  [[nodiscard]] std::optional<time_point> NextWake() const;

  [[nodiscard]] const std::string& bucket() const noexcept { return bucket_; }
  [[nodiscard]] std::size_t pending() const noexcept { return pending_.size(); }
  /// \brief True if the writer can be dropped. A released claim that waits for a write then stays.
  [[nodiscard]] bool Idle() const noexcept { return pending_.empty() && operation_ == 0; }

 private:
  struct pending_claim {
    std::uint64_t ticket = 0;
    claim_request request;
    std::uint64_t read_after = 0;  ///< Operations up to this one are too old for a look.
    bool in_flight = false;        ///< Part of the swap that is under way.
  };
  struct released_claim {
    claim_key key;
    attempt_id attempt;
  };

  void Decide(const pending_claim& entry, claim_outcome outcome);
  void Refuse(const pending_claim& entry, error failure);
  void ExpirePending(time_point now);
  void Resolve();
  [[nodiscard]] bool Movable(const pending_claim& entry, const claim& holder) const;
  [[nodiscard]] std::optional<store_action> NextCall(time_point now, wall_time wall);
  [[nodiscard]] bool ApplyPending(wall_time wall);
  void OnRead(const store_reply& reply, time_point now);
  void OnSwap(const store_reply& reply, time_point now);
  void Backoff(time_point now);

  const std::string bucket_;
  const claim_writer_options options_;
  std::vector<pending_claim> pending_;
  std::vector<released_claim> released_;
  std::size_t released_in_swap_ = 0;  ///< The first ones, which the swap under way removes.
  std::vector<claim_decision> decisions_;
  random_source random_;
  bool cached_ = false;  ///< `stored_` is the value at `index_`.
  claim_bucket stored_;  ///< Last known value; the proposed one while a swap is under way.
  std::uint64_t index_ = 0;
  std::uint32_t contention_ = 0;  ///< Swaps to go until the writer takes itself for the only one.
  std::uint64_t read_operation_ = 0;  ///< Operation that filled the cache.

  std::uint64_t next_ticket_ = 1;
  std::uint64_t next_operation_ = 1;
  std::uint64_t operation_ = 0;  ///< Call under way; 0 if none.
  bool swapping_ = false;
  time_point call_deadline_;
  time_point batch_at_;
  std::optional<time_point> release_at_;
  time_point retry_at_;
  milliseconds retry_delay_{0};
};

}  // namespace quincebank
