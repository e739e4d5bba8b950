#pragma once

#include <boost/fiber/future/promise.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "quincebank/entry/entry_snapshot.h"
#include "quincebank/idempotency/claim_floor.h"
#include "quincebank/idempotency/claim_sweeper.h"
#include "quincebank/idempotency/claim_writer.h"
#include "quincebank/idempotency/request_key.h"
#include "quincebank/node/node_control.h"

namespace quincebank {

/// \brief Writes the claims of this entry, one writer for each bucket. Lives on the control thread.
///
/// A claim goes to the preferred entry of its bucket, so that the claims of many entries share one
/// compare-and-swap; without an answer in time, this entry writes it itself. Both writes name the
/// same attempt, so it does not matter which one takes effect.
class claim_service {
 public:
  /// \param self  name of this entry's host.
  claim_service(node_control& node,
                const snapshot_box& snapshots,
                std::string self,
                std::uint64_t seed);

  /// \brief Starts the sweeps of old claims.
  void Start();
  /// \brief Adds `claims.decide`, by which other entries forward claims.
  void AddMethods(rpc_server& rpc);

  /// \brief Claims or looks up a key; suspends the calling fiber of any thread until decided.
  [[nodiscard]] claim_decision Decide(const request_key& key, const claim_request& request);
  /// \brief Lets a later write drop the claim of an attempt that provably never runs.
  void Release(const request_key& key, const claim& released);

 private:
  struct bucket_state {
    bucket_state(const std::string& name, const claim_writer_options& options)
        : writer(name, options) {}

    claim_writer writer;
    std::map<std::uint64_t, boost::fibers::promise<claim_decision>*> waiting;  ///< By ticket.
    std::optional<time_point> wake;
    int calls = 0;  ///< Calls to the service under way.
    time_point used;
  };

  [[nodiscard]] bucket_state& Bucket(const std::string& name);
  [[nodiscard]] claim_decision DecideHere(const std::string& bucket, const claim_request& request);
  /// \returns The preferred entry's decision, or nothing if this entry must decide.
  [[nodiscard]] std::optional<claim_decision> Forward(const std::string& bucket,
                                                      const claim_request& request);
  /// \brief Confirms a decision about an old key by a read of the claim floor.
  [[nodiscard]] claim_decision CheckFloor(const request_key& key, const claim_decision& decision);
  /// \brief Names and addresses of the entries that are not draining.
  void ListEntries(std::vector<std::string>& names, std::vector<endpoint>& addresses) const;
  void SweepLoop();
  void Sweep();
  void Drive(bucket_state& bucket);
  void Call(bucket_state& bucket, const store_action& action);
  [[nodiscard]] store_reply Perform(const store_action& action);
  void ScheduleWake(bucket_state& bucket);
  void DropIdle();

  node_control& node_;
  const snapshot_box& snapshots_;
  const std::string self_;
  const bucket_layout layout_;
  claim_writer_options options_;
  claim_sweeper sweeper_{{.layout = layout_}};
  std::uint64_t floor_slice_ = 0;  ///< Highest floor read so far.
  std::map<std::string, std::unique_ptr<bucket_state>, std::less<>> buckets_;
};

}  // namespace quincebank
