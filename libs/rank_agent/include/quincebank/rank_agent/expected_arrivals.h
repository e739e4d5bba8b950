#pragma once

#include <deque>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Requests that are on their way to an engine, as far as its answers to entries tell.
///
/// Answers a burst in which all entries wait for room: each that hears of a free slot sends, and
/// all that asked in the same moment hear of the same one. An entry asks several engines and sends
/// to one of them, so that an answer counts as a part of a request until that request shows in the
/// engine's own report.
class expected_arrivals {
 public:
  void OnLoadReply(time_point now);
  /// \brief Expected number of requests that do not show yet, rounded.
  [[nodiscard]] int ExpectedCount(time_point now);

 private:
  std::deque<time_point> reply_times_;
};

}  // namespace quincebank
