#pragma once

#include <deque>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Estimates how many requests are on their way to an engine from the load replies that
/// entries have received.
///
/// Without it, all entries that query the load at the same moment see the same free slot and send a
/// request to it. An entry queries several engines and sends to one of them, so each reply counts
/// as a fraction of a request until that request would appear in the engine's own report. Not
/// thread-safe.
class expected_arrivals {
 public:
  /// \brief Records that the load was sent to an entry that queried it.
  void OnLoadReply(time_point now);
  /// \brief Returns the expected number of requests that the engine does not report yet, rounded.
  [[nodiscard]] int ExpectedCount(time_point now);

 private:
  std::deque<time_point> reply_times_;  ///< Oldest first.
};

}  // namespace quincebank
