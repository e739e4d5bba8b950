#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Upstream that crashed while it ran requests, as one entry saw it.
struct crash_report {
  std::string upstream;  ///< Id and incarnation of the upstream.
  milliseconds at{0};    ///< Unix time at which the entry noticed the crash.
  /// Suspect prompt segments of each request that it ran, in prompt order.
  std::vector<std::vector<std::string>> requests;

  [[nodiscard]] bool operator==(const crash_report&) const = default;
};

/// \name Encoding of crash reports; decoding a malformed one returns nothing.
/// @{
[[nodiscard]] std::string Encode(const crash_report& report);
[[nodiscard]] std::optional<crash_report> DecodeCrashReport(std::string_view text);
/// @}

/// \brief Settings of a `crash_blame`.
struct crash_blame_settings {
  /// Crashes that no other segment explains until a segment is blocked. Fewer would block a segment
  /// that only happened to be present.
  int crashes_to_block = 3;
  /// Upstreams that crash within this time may have a common cause and count once.
  milliseconds common_cause_window{100};
  /// Time within which all entries have reported a crash.
  milliseconds report_time{1'000};
  /// A segment that was served within this time is not reported.
  milliseconds served_memory{60'000};
  milliseconds block_time{600'000};  ///< After the last crash.
  std::size_t max_crashes = 256;
  std::size_t max_served = 8'192;
};

/// \brief Finds prompt segments that crash the upstreams that run them (queries of death).
///
/// Several requests run on an upstream when it crashes, and sound requests share segments with
/// those that crash it. A segment is blocked if it was present in several crashes and no request
/// with it was served since the first of them. If several segments fit, one is blocked: that which
/// was served less recently, is later in the prompt, or was in more of the requests, in this order.
/// Its crashes do not count for other segments. A served request clears its segments.
///
/// The reports of all entries on a crash take a moment to arrive. Until then all segments that fit
/// are blocked.
///
/// Used by one thread.
class crash_blame {
 public:
  explicit crash_blame(const crash_blame_settings& settings = {}) : settings_(settings) {}

  /// \brief Returns the segments that were not served lately.
  [[nodiscard]] std::vector<std::string> Suspects(const std::vector<std::string>& segments,
                                                  time_point now) const;
  /// \brief Adds a report; those of several entries on one crash are joined.
  void OnCrash(const crash_report& report, time_point now);
  /// \brief Decides which segments stay blocked, if the reports on the last crashes are complete.
  /// \returns The segments that are blocked from now on.
  std::vector<std::string> Evaluate(time_point now);
  /// \brief A request with these segments was served completely.
  void OnServed(const std::vector<std::string>& segments, time_point now);
  /// \brief Returns until when requests with one of the segments are rejected, if so.
  [[nodiscard]] std::optional<time_point> BlockedUntil(const std::vector<std::string>& segments,
                                                       time_point now) const;

 private:
  struct crash {
    std::string upstream;
    milliseconds at{0};
    std::vector<std::vector<std::string>> requests;
    time_point received{};
    bool explained = false;  ///< A blocked segment was present.
  };

  /// Evidence against a segment; the larger one is blocked.
  struct evidence {
    time_point::duration not_served_for{0};
    std::size_t position = 0;  ///< Largest one in the prompts of the requests.
    int requests = 0;          ///< In unexplained crashes.

    [[nodiscard]] bool operator<(const evidence& other) const {
      return std::tie(not_served_for, position, requests) <
             std::tie(other.not_served_for, other.position, other.requests);
    }
  };

  [[nodiscard]] evidence EvidenceAgainst(const std::string& segment, time_point now) const;
  /// \brief Returns the segments that were present in enough crashes.
  [[nodiscard]] std::set<std::string, std::less<>> Candidates() const;
  /// \brief Returns the segment to block next, if any.
  [[nodiscard]] std::optional<std::string> FindCulprit(time_point now) const;
  /// \brief Counts unexplained crashes with a segment; those with a common cause count once.
  [[nodiscard]] int CountCrashes(const std::string& segment) const;
  void Block(const std::string& segment);
  void Forget(time_point now);

  const crash_blame_settings settings_;
  std::deque<crash> crashes_;  ///< In the order of their first report.
  std::map<std::string, time_point, std::less<>> blocked_until_;
  std::map<std::string, time_point, std::less<>> served_at_;
  std::set<std::string, std::less<>> candidates_;  ///< Blocked until `evaluate_at_`.
  std::optional<time_point> evaluate_at_;
};

}  // namespace quincebank
