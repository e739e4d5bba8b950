#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "quincebank/idempotency/attempt_ledger.h"
#include "quincebank/idempotency/request_action.h"
#include "quincebank/scenario/testbed.h"

namespace quincebank::scenario {

/// \brief Message of an agent on the connection of one copy or fetch.
struct stream_event {
  enum class kind : std::uint8_t { kBytes, kHeartbeat, kEnd, kOutcome };
  kind what = kind::kHeartbeat;
  std::string bytes;
  copy_outcome outcome = copy_outcome::kAnswered;  ///< For `kOutcome`.
  incarnation life;                                ///< Of the agent.
};

/// \brief Connection of an entry that reads an attempt's answer.
struct stream_reader {
  std::string entry;
  std::uint64_t entry_life = 0;
  std::uint64_t channel = 0;
  std::uint64_t offset = 0;  ///< Bytes of the answer sent so far.
  std::function<void(const stream_event&)> sink;
};

/// \brief Agent process with its upstream. Faults are set by commands of the script.
class fake_agent {
 public:
  fake_agent(testbed& bed, std::string name);

  void OnAttempt(attempt_id attempt,
                 incarnation wanted,
                 const std::string& order,
                 bool repeatable,
                 stream_reader reader);
  void OnFetch(attempt_id attempt, incarnation wanted, stream_reader reader);
  [[nodiscard]] attempt_state OnStatus(attempt_id attempt, incarnation wanted);
  [[nodiscard]] attempt_state OnBlock(attempt_id attempt, incarnation wanted);

  /// \brief Adopts the retention that the test bed has for this agent.
  void AdoptRetention();
  void SetDrained(bool drained) noexcept { drained_ = drained; }
  /// \brief The upstream refuses the next attempts without running them.
  void Refuse(std::size_t count) noexcept { refuse_ = count; }
  /// \brief The upstream crashes; whether its running requests took effect is unknown.
  void CrashUpstream();
  /// \brief Drops all held answers.
  void Evict();

  [[nodiscard]] incarnation life() const noexcept { return ledger_.self(); }

 private:
  struct running_order {
    std::string order;
    std::size_t next_byte = 0;
    std::vector<stream_reader> readers;
  };

  void Send(const stream_reader& reader, stream_event event);
  void Tell(attempt_id attempt, copy_outcome outcome);
  void StartUpstream(attempt_id attempt);
  void Produce(attempt_id attempt);
  void Heartbeat(attempt_id attempt);

  testbed& bed_;
  const std::string name_;
  attempt_ledger ledger_;
  std::unordered_map<attempt_id, running_order> running_;
  bool drained_ = false;
  std::size_t refuse_ = 0;
};

}  // namespace quincebank::scenario
