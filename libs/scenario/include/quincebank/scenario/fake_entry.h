#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "quincebank/idempotency/claim_sweeper.h"
#include "quincebank/idempotency/claim_writer.h"
#include "quincebank/idempotency/keyed_request.h"
#include "quincebank/scenario/fake_agent.h"
#include "quincebank/scenario/testbed.h"

namespace quincebank::scenario {

/// \brief Call as an entry receives it.
struct entry_call {
  std::uint64_t id = 0;
  std::string order;
  std::string key;
  request_kind kind = request_kind::kKeyed;
  milliseconds deadline{15'000};
  bool first_send = false;  ///< No earlier call had this key.
};

/// \brief Entry process: performs the actions of `keyed_request` and `claim_writer`.
class fake_entry {
 public:
  using claim_sink = std::function<void(const claim_decision&)>;

  fake_entry(testbed& bed, std::string name);

  void OnCall(const entry_call& call);
  /// \brief Takes a claim of another entry for a bucket that this entry is preferred for.
  void OnForwarded(const std::string& bucket, const claim_request& wanted, claim_sink done);
  /// \brief Runs one pass over old claims; a pass under way is given up.
  void Sweep();
  /// \brief Takes a hint about an agent's incarnation.
  void Learn(const std::string& agent, incarnation life) { known_[agent] = life; }

 private:
  struct open_request {
    entry_call call;
    std::unique_ptr<keyed_request> machine;
    request_action action;
    request_key key;
    std::string bucket;
    std::uint64_t delivered = 0;  ///< Bytes of the present attempt that went to the caller.
    time_point heard;             ///< Last message on the present connection.
  };

  void Advance(std::uint64_t id, request_action next);
  void Perform(std::uint64_t id);
  void Choose(open_request& request);
  void SubmitClaim(open_request& request);
  void ForwardClaim(open_request& request, const std::string& entry, const claim_request& wanted);
  void AddClaim(const std::string& bucket, const claim_request& wanted, claim_sink done);
  void OnDecision(std::uint64_t id, std::uint32_t step, const claim_decision& decision);
  void CheckFloor(open_request& request, const claim_decision& decision);
  void DriveSweep();
  void OpenStream(open_request& request);
  void OnStream(std::uint64_t id, std::uint32_t step, const stream_event& event);
  void WatchSilence(std::uint64_t id, std::uint32_t step);
  void AskAgent(open_request& request);
  void OnAgentState(std::uint64_t id, std::uint32_t step, state_report report);
  void Finish(open_request& request);
  void PollWriter(const std::string& bucket);
  [[nodiscard]] claim_writer& Writer(const std::string& bucket);
  [[nodiscard]] open_request* Find(std::uint64_t id, std::uint32_t step);

  testbed& bed_;
  const std::string name_;
  claim_sweeper sweeper_;
  std::map<std::string, incarnation> known_;
  std::map<std::uint64_t, open_request> requests_;
  std::map<std::string, std::unique_ptr<claim_writer>> writers_;
  std::map<std::pair<std::string, std::uint64_t>, claim_sink> tickets_;
};

}  // namespace quincebank::scenario
