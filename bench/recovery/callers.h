#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "quincebank/base/random.h"
#include "quincebank/base/time.h"
#include "quincebank/net/fiber_thread.h"
#include "quincebank/net/http_client.h"
#include "quincebank/testing/deployment.h"

namespace quincebank {

/// \brief What callers saw in one phase.
struct phase_counts {
  int drafts = 0;
  int drafts_failed = 0;  ///< No whole answer after all repeats.
  int refusals = 0;       ///< Answers "not run" that were repeated.
  int orders = 0;
  int orders_unsure = 0;  ///< Ended as "may have run".
  int orders_failed = 0;  ///< Refused until the caller gave up.
  std::vector<milliseconds> first_bytes;
};

/// \brief Callers that send drafts and orders without a pause and repeat what is safe to repeat.
class callers {
 public:
  callers(deployment& system, int draft_callers, int order_callers, std::uint64_t seed);
  ~callers();

  /// \brief Starts a new phase and returns the counts of the one before.
  [[nodiscard]] phase_counts NextPhase();
  void Stop();

  /// \brief Orders that callers were told to be answered, by key.
  [[nodiscard]] std::vector<std::string> answered_orders();
  /// \brief Orders whose last verdict was "not run".
  [[nodiscard]] std::vector<std::string> refused_orders();

 private:
  void DraftLoop(random_source random);
  void OrderLoop(random_source random);
  void CountOrder(const std::string& order, const result<http_response>& answer, int refusals);
  [[nodiscard]] result<http_response> Send(const http_request& request,
                                           random_source& random,
                                           milliseconds& first_byte);

  deployment& system_;
  std::vector<endpoint> entries_;
  fiber_thread thread_{"callers"};
  http_client client_{thread_};
  std::mutex mutex_;
  phase_counts counts_;
  std::vector<std::string> answered_;
  std::vector<std::string> refused_;
  std::atomic<bool> stop_{false};
  std::atomic<int> running_{0};
  std::atomic<int> next_order_{0};
};

}  // namespace quincebank
