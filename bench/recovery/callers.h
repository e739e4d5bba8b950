#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "quincebank/base/random.h"
#include "quincebank/base/time.h"
#include "quincebank/net/fiber_thread.h"
#include "quincebank/net/http_client.h"
#include "quincebank/testing/deployment.h"

namespace quincebank {

enum class call_kind : std::uint8_t { kDraft, kOrder };

/// \brief How a caller's request ended after all its repeats.
enum class call_end : std::uint8_t {
  kAnswered,
  kRefused,  ///< The last verdict was "not run".
  kUnsure,   ///< The last verdict was "may have run".
  kFailed,   ///< The last try got no verdict.
};

/// \brief One request of a caller, from its first try to the end of its last one.
struct call_record {
  call_kind kind = call_kind::kDraft;
  call_end end = call_end::kFailed;
  time_point started;
  time_point ended;
  int tries = 0;
  int refusals = 0;    ///< Tries with the verdict "not run".
  bool wrong = false;  ///< A whole answer whose text is not that of the prompt.
  std::string order;   ///< Key of an order.
  std::string prompt;  ///< Of a draft.
};

/// \brief How many callers there are and what tells their requests from those of other callers.
struct callers_plan {
  int drafts = 48;
  int orders = 8;
  std::uint64_t seed = 1;
  std::string order_prefix = "order";
};

/// \brief Callers that send drafts and orders without a pause and repeat what is safe to repeat.
///
/// Each keeps the addresses of a look-up for their time to live, sends to the first of them, and
/// takes the next one when a connection fails.
class callers {
 public:
  callers(deployment& system, const callers_plan& plan);
  ~callers();

  /// \brief Ends the callers; requests under way run to their end.
  void Stop();
  /// \brief Returns the requests that have ended; call it after `Stop`.
  [[nodiscard]] const std::vector<call_record>& records() const noexcept { return records_; }

 private:
  struct caller {
    random_source random;
    std::string failure_domain;
    std::string service;
    std::vector<endpoint> addresses;
    std::size_t next = 0;
    time_point expires;
  };

  void Spawn(int count, const std::string& service, random_source& random);
  void DraftLoop(caller& self);
  void OrderLoop(caller& self);
  void Repeat(caller& self, http_request& request, int expected_status, call_record& record);
  void Refresh(caller& self);
  [[nodiscard]] result<http_response> Send(caller& self, const http_request& request);

  const callers_plan plan_;
  std::vector<endpoint> entries_;
  fiber_thread thread_{"callers"};
  http_client client_{thread_};
  std::mutex mutex_;
  std::vector<call_record> records_;
  std::atomic<bool> stop_{false};
  std::atomic<int> running_{0};
  int next_order_ = 0;
};

}  // namespace quincebank
