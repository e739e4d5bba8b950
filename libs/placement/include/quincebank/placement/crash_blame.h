#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Upstream that crashed while it ran requests, as one entry saw it.
struct crash_report {
  std::string upstream;               ///< Id and incarnation of the upstream.
  milliseconds at{0};                 ///< Unix time at which the entry noticed the crash.
  std::vector<std::string> segments;  ///< Suspect prompt segments of the requests that it ran.

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
/// with it was served since the first of them. If several segments fit, the one that was served
/// less recently is blocked, then the one that is later in the prompt; its crashes do not count for
/// other segments. A served request clears its segments.
///
/// Used by one thread.
class crash_blame {
 public:
  explicit crash_blame(const crash_blame_settings& settings = {}) : settings_(settings) {}

  /// \brief Returns the segments that were not served lately.
  [[nodiscard]] std::vector<std::string> Suspects(const std::vector<std::string>& segments,
                                                  time_point now) const;
  /// \brief Adds a report; those of several entries on one crash are joined.
  /// \returns The segments that are blocked from now on.
  std::vector<std::string> OnCrash(const crash_report& report, time_point now);
  /// \brief A request with these segments was served completely.
  void OnServed(const std::vector<std::string>& segments, time_point now);
  /// \brief Returns until when requests with one of the segments are rejected, if so.
  [[nodiscard]] std::optional<time_point> BlockedUntil(const std::vector<std::string>& segments,
                                                       time_point now) const;

 private:
  struct crash {
    std::string upstream;
    milliseconds at{0};
    std::vector<std::string> segments;  ///< In prompt order for each request.
    time_point received{};
    bool explained = false;  ///< A blocked segment was present.
  };

  /// \brief Returns the segment to block next, if any.
  [[nodiscard]] std::optional<std::string> FindCulprit() const;
  /// \brief Counts unexplained crashes with a segment; those with a common cause count once.
  [[nodiscard]] int CountCrashes(const std::string& segment) const;
  void Explain(const std::string& segment);
  void Forget(time_point now);

  const crash_blame_settings settings_;
  std::deque<crash> crashes_;  ///< In the order of their first report.
  std::map<std::string, time_point, std::less<>> blocked_until_;
  std::map<std::string, time_point, std::less<>> served_at_;
};

}  // namespace quincebank
