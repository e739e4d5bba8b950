#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "quincebank/base/time.h"
#include "quincebank/placement/upstream_observations.h"

namespace quincebank {

/// \brief Whether an entry avoids an upstream because of the reports of others, or why not.
enum class report_decision : std::uint8_t {
  kNothingReported,
  kAccepted,
  kOtherIncarnation,  ///< The reports are about another start of the upstream.
  kTooFewEntries,     ///< Only one entry reports silence or failures.
  kServedHere,        ///< This entry's own requests were served within the last second.
  kOwnProbe,          ///< This entry has ejected the upstream itself and probes it now.
  kTooFewLeft,        ///< Fewer than half of the upstreams of the service would be left.
};

inline constexpr std::size_t kReportDecisions = 7;

[[nodiscard]] std::string_view ToString(report_decision decision) noexcept;

/// \brief Upstreams of one service, for the decision about one of them.
struct service_upstreams {
  int total = 0;
  int usable_others = 0;  ///< Neither ejected, avoided nor leaving; without the one in question.
};

/// \brief What an entry knows from its own requests to an upstream besides silence and failures.
struct own_statements {
  bool leaving = false;
  time_point paused_until{};
};

/// \brief An observation that is due to be sent.
struct due_observation {
  observation_kind kind = observation_kind::kSilent;
  std::int64_t value = 0;
  milliseconds age{0};
};

/// \brief Entry-side state for one upstream: what this entry reports of it, and which reports of
/// the others it accepts. Decides without I/O. Not thread-safe.
///
/// Load condition: an engine hangs, or is reachable for some entries only. Silence and failures
/// need two entries, and no service within the last second here. What is accepted ends
/// after a second unless it is reported again.
class observation_exchange {
 public:
  /// \brief An attempt gets no data for the time from which on it is reported.
  /// \param began_at  when it was sent, or has last got data.
  void OnSilentAttempt(time_point began_at, time_point now) noexcept;
  /// \brief A silent attempt has got data or has ended.
  void OnSilentAttemptEnd(time_point now) noexcept;
  /// \brief An attempt has exceeded the timeout that ejects the upstream here.
  /// \param began_at  when it was sent, or has last got data.
  void OnTimeout(time_point began_at, time_point now) noexcept;
  /// \brief An attempt has failed, and the upstream is ejected here for it.
  void OnFailure(time_point now) noexcept;
  /// \brief A request gets data or is served.
  void OnServed(time_point now) noexcept;
  /// \brief An answer states that the upstream leaves or pauses.
  void OnStatement(time_point now) noexcept { stated_at_ = now; }
  /// \brief An answer states a limit in requests per second, or that there is none.
  void OnStatedLimit(std::optional<double> per_second, time_point now) noexcept;

  /// \brief The agent reports what the entries have observed; nothing if no observation holds.
  /// \param incarnation  of the upstream, as registered.
  /// \returns The decision about silence, failures, leaving and pauses together.
  report_decision OnSummary(const std::optional<observation_summary>& summary,
                            std::uint64_t incarnation,
                            const service_upstreams& service,
                            time_point now);
  /// \brief Until when the upstream is used only if there is no other one.
  [[nodiscard]] time_point avoided_until() const noexcept { return avoided_until_; }
  [[nodiscard]] bool IsAvoided(time_point now) const noexcept { return now < avoided_until_; }
  /// \brief Time since an own request was served, and since the last own evidence of silence or
  /// failures; nothing if there was none.
  [[nodiscard]] std::optional<milliseconds> SinceServed(time_point now) const noexcept;
  [[nodiscard]] std::optional<milliseconds> SinceEvidence(time_point now) const noexcept;
  /// \brief Limit in requests per second that other entries report and this one follows.
  [[nodiscard]] std::optional<double> AcceptedLimit(time_point now) const noexcept;

  /// \brief Returns the observations that have to be sent now, and counts them as sent.
  [[nodiscard]] std::vector<due_observation> TakeDue(const own_statements& own, time_point now);

 private:
  [[nodiscard]] report_decision Decide(const observation_summary& summary,
                                       const service_upstreams& service,
                                       time_point now) const noexcept;
  /// \brief What this entry observes of the kind now.
  [[nodiscard]] std::optional<due_observation> Observe(observation_kind kind,
                                                       const own_statements& own,
                                                       time_point now) const noexcept;
  /// \brief Milliseconds from the start of the latest silence.
  [[nodiscard]] std::int64_t Silence(time_point until) const noexcept;
  [[nodiscard]] bool ServedRecently(time_point now) const noexcept;

  int silent_attempts_ = 0;
  std::optional<time_point> silent_at_;  ///< Last time a request was seen silent.
  time_point silence_began_at_{};        ///< Latest start of a silence.
  time_point silent_until_{};            ///< When that is no longer reported.
  std::optional<time_point> failed_at_;  ///< Last failure for which it is ejected.
  std::optional<time_point> served_at_;
  std::optional<time_point> stated_at_;
  std::optional<time_point> limit_stated_at_;
  std::optional<double> stated_limit_;
  std::array<std::optional<time_point>, kObservationKinds> sent_at_{};
  time_point avoided_until_{};
  time_point limit_until_{};
  double accepted_limit_ = 0;
  time_point reported_until_{};  ///< Until when others' reports of silence or failures are current.
};

}  // namespace quincebank
