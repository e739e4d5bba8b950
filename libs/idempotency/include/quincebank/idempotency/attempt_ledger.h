#pragma once

#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "quincebank/base/ids.h"
#include "quincebank/base/time.h"
#include "quincebank/base/verdict.h"
#include "quincebank/idempotency/attempt_archive.h"
#include "quincebank/idempotency/attempt_state.h"
#include "quincebank/idempotency/retention.h"

namespace quincebank {

/// \brief Bounds of an agent's memory: about 45 MB with these values.
struct ledger_limits {
  std::size_t max_records = 60'000;    ///< Running attempts and those with an answer.
  std::size_t max_archived = 600'000;  ///< Ended attempts without an answer.
  std::size_t max_answer_bytes = std::size_t{8} << 20U;  ///< One answer.
  std::size_t max_total_bytes = std::size_t{24} << 20U;  ///< All held answers.
  seconds answer_retention = std::chrono::hours(1);      ///< Counted from completion.
  seconds repeatable_retention{60};   ///< Of a repeatable attempt, counted from its end.
  seconds horizon = kAttemptHorizon;  ///< Other attempts are known this long; see `SetHorizon`.
};

/// \brief Part of a held answer. Views are valid until the next non-const call of the ledger.
struct answer_part {
  attempt_state state = attempt_state::kNeverSeen;
  bool available = false;  ///< False if the bytes from the offset on are not held.
  bool complete = false;   ///< True if `bytes` reaches the end of the answer.
  int status = 0;          ///< HTTP status; 0 while unknown.
  std::string_view headers;
  std::string_view bytes;
};

/// \brief Attempts seen by one incarnation of an agent, and their answers.
///
/// An attempt is started at most once. Answers are dropped by age and size; the record of the
/// attempt stays for the whole horizon. Not safe for use by several threads.
///
/// \example
///   if (ledger.Begin(id, wanted, now) == begin_outcome::kStart) {
///     ledger.SetHead(id, 200, headers);
///     ledger.Append(id, bytes);
///     ledger.Complete(id, 200, now);
///   }
class attempt_ledger {
 public:
  /// \param started       monotonic time at which the wall clock read `wall_started`.
  attempt_ledger(incarnation self,
                 ledger_limits limits,
                 time_point started,
                 wall_time wall_started);
  ~attempt_ledger();
  attempt_ledger(const attempt_ledger&) = delete;
  attempt_ledger& operator=(const attempt_ledger&) = delete;

  /// \brief Decides whether a copy of an attempt runs. Only `kStart` may run.
  ///
  /// \param repeatable  the attempt may run again; it is forgotten soon after its end.
  [[nodiscard]] begin_outcome Begin(attempt_id attempt,
                                    incarnation wanted,
                                    time_point now,
                                    bool repeatable = false);

  /// \brief Stores the status and headers of the answer, in the form the agent replays them.
  void SetHead(attempt_id attempt, int status, std::string headers);
  /// \brief Adds bytes to the answer of a running attempt.
  ///
  /// \returns False if the answer is not held (too large, or the attempt is not running). The
  ///          caller still passes the bytes on.
  bool Append(attempt_id attempt, std::string_view bytes);
  /// \brief Ends a running attempt with a whole answer.
  void Complete(attempt_id attempt, int status, time_point now);
  /// \brief Ends a running attempt without a whole answer.
  ///
  /// `kNotRun` blocks it permanently, so that a late copy does not run after that verdict.
  void Fail(attempt_id attempt, verdict outcome, time_point now);

  [[nodiscard]] attempt_state Status(attempt_id attempt, time_point now) const;
  /// \brief Status for a sender that means one incarnation.
  [[nodiscard]] attempt_state Status(attempt_id attempt, incarnation wanted, time_point now) const;

  /// \brief Blocks an attempt that was never seen.
  ///
  /// \returns `kBlocked` if it is blocked; else the state that prevents it. `kNeverSeen` means
  ///          that there is no room for the record and nothing was blocked.
  [[nodiscard]] attempt_state Block(attempt_id attempt, incarnation wanted, time_point now);

  /// \brief Reads the answer from a byte offset on, complete or not.
  [[nodiscard]] answer_part Read(attempt_id attempt, std::uint64_t offset, time_point now) const;

  /// \brief Changes how long attempts are known.
  ///
  /// A longer horizon holds from now on; attempts that are older than the former one stay
  /// forgotten. A shorter one holds once all claims made under the former one can be gone.
  void SetHorizon(seconds horizon, time_point now);
  /// \brief Drops old answers and records beyond the horizon. Other calls do so as well.
  void Expire(time_point now);

  [[nodiscard]] incarnation self() const noexcept { return self_; }
  [[nodiscard]] std::size_t records() const noexcept { return records_.size() + archive_.size(); }
  [[nodiscard]] std::size_t held_bytes() const noexcept { return held_bytes_; }
  [[nodiscard]] seconds horizon() const noexcept { return horizon_; }
  [[nodiscard]] std::size_t running() const noexcept { return running_; }

 private:
  struct record;
  using hook = boost::intrusive::list_member_hook<>;

  [[nodiscard]] wall_time WallTime(time_point now) const noexcept;
  void ApplyHorizon(time_point now);
  [[nodiscard]] bool BeyondHorizon(attempt_id attempt, time_point now) const noexcept;
  [[nodiscard]] record* FindRunning(attempt_id attempt) noexcept;
  [[nodiscard]] record* Insert(attempt_id attempt, attempt_state state, time_point now);
  void End(record& entry, attempt_state state, time_point now);
  void DropAnswer(record& entry);
  /// \brief Drops the answer that is missed least. False if there is none.
  bool DropOldest();
  void Archive();
  void Erase(record& entry);

  struct record {
    attempt_id id;
    attempt_state state = attempt_state::kNeverSeen;
    bool holding = true;
    bool repeatable = false;
    int status = 0;
    std::string headers;
    std::string bytes;
    time_point ended;
    hook by_age;  ///< All records, oldest first.
    hook by_end;  ///< In one of `held_`, `brief_` and `gone_`, by end.
  };
  using age_list =
      boost::intrusive::list<record, boost::intrusive::member_hook<record, hook, &record::by_age>>;
  using end_list =
      boost::intrusive::list<record, boost::intrusive::member_hook<record, hook, &record::by_end>>;

  const incarnation self_;
  const ledger_limits limits_;
  seconds horizon_;
  seconds next_horizon_;        ///< Differs from `horizon_` while a shorter one waits.
  time_point next_horizon_at_;  ///< When it holds.
  wall_time forgotten_before_;  ///< Older attempts may have been dropped; never decreases.
  const time_point started_;
  const wall_time wall_started_;
  std::size_t held_bytes_ = 0;
  std::size_t running_ = 0;
  std::unordered_map<attempt_id, record> records_;
  age_list ages_;
  end_list held_;   ///< Not repeatable, in `kDone`.
  end_list brief_;  ///< Repeatable and ended.
  end_list gone_;   ///< Not repeatable, ended without an answer; archived in batches.
  attempt_archive archive_;
};

}  // namespace quincebank
