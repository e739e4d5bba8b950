#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "engine.h"
#include "entry_model.h"
#include "model.h"
#include "workload.h"

namespace quincebank {

/// \brief Event-driven run of callers, entries and engines in virtual time.
class simulation {
 public:
  explicit simulation(const sim_config& config);

  [[nodiscard]] sim_result Run();

 private:
  static constexpr std::size_t kMaxAttempts = 3;
  static constexpr sim_time kPollEvery{1'000'000};

  enum class event_kind : std::uint8_t {
    kConversation,  // A new conversation starts.
    kTurn,          // Its next request arrives at the entry.
    kAtEngine,
    kNotRun,         // The agent's rejection reaches the entry.
    kConnectFailed,  // The entry gives up connecting.
    kSilence,        // The entry notices that a stream is dead.
    kFirstToken,
    kFinish,
    kReport,  // Engines refresh their load reports.
    kPoll,
    kCacheFlush,
    kCacheDeliver,
    kDomain,
    kAgentLearns,
    kEntryLearns,
  };
  struct event {
    sim_time at{0};
    std::uint64_t order = 0;  // Ties are processed as they were scheduled.
    event_kind kind = event_kind::kConversation;
    std::uint32_t a = 0;
    std::uint64_t b = 0;

    bool operator>(const event& other) const noexcept {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct request {
    std::uint32_t conversation = 0;
    std::uint32_t entry = 0;
    std::uint32_t engine = engine::kNone;
    std::uint64_t boot = 0;
    std::uint64_t ticket = 0;  // Changes with each attempt; late events carry an old one.
    sim_time arrived{0};
    sim_time sent{0};
    sim_time first_token{-1};
    std::array<upstream_key, kMaxAttempts> tried{};
    std::size_t tries = 0;
    std::size_t phase = 0;
    std::uint32_t tokens = 0;
    bool in_use = false;
  };
  struct pending_batch {
    std::uint32_t engine = 0;
    cache_batch changes;
  };

  void Schedule(sim_time at, event_kind kind, std::uint32_t a = 0, std::uint64_t b = 0);
  void Handle(const event& one);
  void StartConversation();
  void StartTurn(std::uint32_t talk);
  void Route(std::uint32_t id);
  void Reject(std::uint32_t id);
  void AtEngine(std::uint32_t id);
  void Retry(std::uint32_t id);
  void Silence(std::uint32_t id);
  void Suspect(const request& one);
  void Pump(std::uint32_t engine);
  void FirstToken(std::uint32_t id);
  void Finish(std::uint32_t id);
  void Release(std::uint32_t id);
  void Report();
  void Poll(std::uint32_t entry);
  void FlushCache();
  void DeliverCache();
  void ChangeDomain(const domain_event& change);
  void AgentLearns(std::uint32_t engine, const domain_event& change);
  void EntryLearns(std::uint32_t entry, const domain_event& change);

  [[nodiscard]] std::uint32_t AliveEntry(std::uint32_t caller_domain);
  [[nodiscard]] std::uint32_t DomainOf(std::uint32_t index) const {
    return index % config_.domains;
  }
  [[nodiscard]] std::uint32_t RegionOf(std::uint32_t domain) const {
    return domain % config_.regions;
  }
  [[nodiscard]] sim_time Latency(std::uint32_t domain_a, std::uint32_t domain_b) const;
  [[nodiscard]] phase_result& ResultOf(const request& one) { return result_.phases[one.phase]; }
  [[nodiscard]] std::size_t PhaseAt(sim_time at) const;

  const sim_config config_;
  const route_policy& policy_;
  sim_time now_{0};
  std::uint64_t order_ = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  workload workload_;
  random_source random_;
  std::vector<std::string> domain_names_;
  std::vector<std::string> region_names_;
  std::vector<bool> domain_lost_;
  std::vector<entry_address> addresses_;
  std::vector<engine> engines_;
  std::vector<upstream_load> reports_;  // As of last_report_.
  sim_time last_report_{0};
  std::vector<std::uint32_t> window_arrivals_;
  std::vector<entry_model> entries_;
  std::vector<conversation> talks_;
  std::vector<std::uint32_t> free_talks_;
  std::vector<request> requests_;
  std::vector<std::uint32_t> free_requests_;
  std::deque<pending_batch> batches_;  // In the order of delivery.
  std::vector<std::uint64_t> samples_;
  double event_bytes_ = 0;
  sim_result result_;  // The last phase holds what falls into no phase; it is dropped.
};

}  // namespace quincebank
