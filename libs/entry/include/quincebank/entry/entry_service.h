#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "quincebank/admission/adaptive_throttle.h"
#include "quincebank/admission/retry_budget.h"
#include "quincebank/base/record.h"
#include "quincebank/entry/claim_service.h"
#include "quincebank/entry/entry_metrics.h"
#include "quincebank/entry/entry_snapshot.h"
#include "quincebank/entry/hedge_book.h"
#include "quincebank/entry/upstream_directory.h"
#include "quincebank/net/fiber_thread.h"
#include "quincebank/net/http_client.h"
#include "quincebank/net/http_server.h"
#include "quincebank/node/node_control.h"

namespace quincebank {

/// \brief Settings of an entry.
struct entry_settings {
  node_settings node;
  std::size_t traffic_threads = 2;
  milliseconds lookup_ttl{5'000};  ///< How long callers may keep a looked-up address.
};

/// \brief Reads and checks the settings file of an entry.
[[nodiscard]] result<entry_settings> ParseEntrySettings(std::string_view text);

/// \brief Clients of one traffic thread.
struct traffic_context {
  traffic_context(fiber_thread& thread, const std::string& source)
      : http(thread, source), rpc(http) {}

  http_client http;
  rpc_client rpc;
  /// What each service's refusals say about its capacity, as this thread has seen it.
  std::map<std::string, adaptive_throttle, std::less<>> throttles;
};

/// \brief What the handling of requests shares in one entry.
struct entry_shared {
  explicit entry_shared(const entry_settings& entry) : settings(entry) {}

  const entry_settings& settings;
  snapshot_box snapshots;
  upstream_directory* directory = nullptr;
  claim_service* claims = nullptr;
  record_log* records = nullptr;
  entry_metrics metrics;
  retry_budget retries{{.ratio = 0.1, .burst = 20, .initial = 20}};
  hedge_book hedges;
  std::uint64_t seed = 0;                   ///< Random for this process.
  std::atomic<int> waiting{0};              ///< Requests that wait for room at an upstream.
  std::atomic<std::uint64_t> requests{0};   ///< Requests begun.
  std::atomic<std::uint64_t> decisions{0};  ///< Routing decisions made.
};

/// \brief Answers callers: look-ups, forwarded requests, records, health and metrics.
class entry_service {
 public:
  entry_service(const entry_settings& settings, fiber_thread& control, std::uint64_t seed);
  ~entry_service();
  entry_service(const entry_service&) = delete;
  entry_service& operator=(const entry_service&) = delete;

  /// \brief Starts the control loops and listens.
  [[nodiscard]] result<void> Start();
  /// \brief Tells the other entries, serves kept addresses until they lapse, and waits for running
  /// requests. Returns when all have ended.
  void Shutdown();

  [[nodiscard]] const endpoint& address() const noexcept { return server_->address(); }

 private:
  void Handle(http_exchange& exchange);
  void Lookup(http_exchange& exchange, const parsed_target& target);
  void Records(http_exchange& exchange, const parsed_target& target);
  void Ready(http_exchange& exchange);
  void Metrics(http_exchange& exchange);
  void Burn(http_exchange& exchange);
  void TellOtherEntries();

  const entry_settings settings_;
  fiber_thread& control_;
  record_log records_;
  entry_shared shared_;
  node_control node_;
  upstream_directory directory_;
  claim_service claims_;
  rpc_server rpc_;
  std::vector<std::unique_ptr<fiber_thread>> threads_;
  std::vector<std::unique_ptr<traffic_context>> contexts_;
  std::unique_ptr<http_server> server_;
  std::atomic<bool> leaving_{false};
};

}  // namespace quincebank
