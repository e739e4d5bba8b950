#pragma once

#include <array>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <boost/intrusive/unordered_set.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "quincebank/admission/concurrency_limit.h"
#include "quincebank/admission/request.h"
#include "quincebank/base/time.h"

namespace quincebank {

struct workspace_flow;

/// \brief One request that is queued in a `fair_queue` or in flight. The gate keeps a pool of these
/// and uses the state, index, generation and times, which the queue itself doesn't read.
struct admission_entry : boost::intrusive::set_base_hook<> {
  enum class entry_state : std::uint8_t { kFree, kQueued, kInFlight };

  std::uint64_t sequence = 0;    ///< Arrival order within the queue.
  std::uint32_t index = 0;       ///< Position in the gate's pool.
  std::uint32_t generation = 0;  ///< Incremented by the gate each time it reuses this entry.
  std::uint32_t cost = 1;        ///< Units charged to the workspace when the request is served.
  std::uint8_t priority = 0;
  entry_state state = entry_state::kFree;
  limit_revision revision;  ///< State of the concurrency limit when the request was started.
  time_point started;       ///< Set while in flight.
  time_point deadline = time_point::max();  ///< `max()` if the request has no deadline.
  workspace_flow* flow = nullptr;           ///< Set while queued.
};

/// \brief Service order within one workspace: higher priority first, then by arrival.
struct entry_order {
  [[nodiscard]] bool operator()(const admission_entry& a, const admission_entry& b) const noexcept {
    return a.priority != b.priority ? a.priority > b.priority : a.sequence < b.sequence;
  }
};

struct start_tag_hook;
struct last_finish_hook;
struct idle_hook;
struct table_hook;

/// \brief Queued requests and virtual-time tags of one workspace.
struct workspace_flow
    : boost::intrusive::set_base_hook<boost::intrusive::tag<start_tag_hook>>,
      boost::intrusive::set_base_hook<boost::intrusive::tag<last_finish_hook>>,
      boost::intrusive::list_base_hook<boost::intrusive::tag<idle_hook>>,
      boost::intrusive::unordered_set_base_hook<boost::intrusive::tag<table_hook>> {
  std::uint64_t workspace = 0;   ///< Hash of the workspace name.
  std::uint64_t start_tag = 0;   ///< Virtual start time of the next request while queued.
  std::uint64_t finish_tag = 0;  ///< Virtual finish time of the last request served.
  std::uint64_t sequence = 0;    ///< Breaks ties between equal tags.
  /// Virtual finish time of the last queued request, at cost 1 for each one.
  std::uint64_t last_finish_tag = 0;
  std::uint32_t weight = 1;  ///< Share relative to the other workspaces, at least 1.
  /// Number of queued requests of each priority.
  std::array<std::uint32_t, kHighestPriority + 1> queued_by_priority{};
  boost::intrusive::set<admission_entry, boost::intrusive::compare<entry_order>> queued;
};

/// \brief Start-time fair queue (SFQ) with one flow per workspace.
///
/// The workspace with the lowest start tag is served next; each served request advances the tag of
/// its workspace by cost divided by weight. A workspace keeps a flow only while it has queued
/// requests or a finish tag ahead of the virtual time, so memory is bounded by the two capacities
/// and not by the number of workspaces. Except for `Reserve` and `ForEach`, operations take at most
/// logarithmic time in the number of queued requests and don't allocate.
class fair_queue {
 public:
  /// \param capacity       maximum number of queued requests.
  /// \param idle_capacity  maximum number of workspaces without queued requests whose finish tags
  ///     are kept.
  fair_queue(std::size_t capacity, std::size_t idle_capacity);
  ~fair_queue();
  fair_queue(const fair_queue&) = delete;
  fair_queue& operator=(const fair_queue&) = delete;

  /// \brief Allocates room for `capacity` queued requests. The capacity never shrinks.
  void Reserve(std::size_t capacity);

  [[nodiscard]] std::size_t size() const noexcept { return size_; }
  [[nodiscard]] bool empty() const noexcept { return size_ == 0; }

  /// \brief Queues `entry` with the workspace, weight, priority and cost of `request`. The entry
  /// must stay at its address until it is popped or removed.
  void Push(admission_entry& entry, const admission_request& request);
  /// \brief Returns the next entry to serve; null if empty.
  [[nodiscard]] const admission_entry* First() const noexcept {
    return backlogged_.empty() ? nullptr : &*backlogged_.begin()->queued.begin();
  }
  /// \brief Removes and returns the next entry to serve and charges its workspace; null if empty.
  [[nodiscard]] admission_entry* Pop();
  /// \brief Removes a queued entry without charging its workspace.
  void Remove(admission_entry& entry);
  /// \brief Charges the workspace of a request that is served without being queued.
  void Charge(const admission_request& request);

  /// \brief Estimates in constant time how many queued requests would be served before this one.
  [[nodiscard]] std::size_t EstimateAhead(const admission_request& request) const;
  /// \brief Returns the queued entry to displace when `request` arrives at a full queue: the one
  /// that would be served last, if `request` would be served before it, otherwise the last entry
  /// of the same workspace, if its priority is lower.
  /// \returns Null if `request` itself must be rejected.
  [[nodiscard]] admission_entry* FindVictim(const admission_request& request);
  /// \brief Returns the entry that would be served last; null if empty.
  [[nodiscard]] admission_entry* Last();

  /// \brief Calls `visit` for each queued entry, in linear time. `visit` must not change the queue.
  template <typename Visitor>
  void ForEach(Visitor&& visit) {
    for (workspace_flow& flow : backlogged_) {
      for (admission_entry& entry : flow.queued)
        visit(entry);
    }
  }

 private:
  struct start_tag_order {
    [[nodiscard]] bool operator()(const workspace_flow& a, const workspace_flow& b) const noexcept {
      return a.start_tag != b.start_tag ? a.start_tag < b.start_tag : a.sequence < b.sequence;
    }
  };
  struct last_finish_order {
    [[nodiscard]] bool operator()(const workspace_flow& a, const workspace_flow& b) const noexcept {
      return a.last_finish_tag != b.last_finish_tag ? a.last_finish_tag > b.last_finish_tag
                                                    : a.sequence > b.sequence;
    }
  };
  struct workspace_key {
    using type = std::uint64_t;
    [[nodiscard]] type operator()(const workspace_flow& flow) const noexcept {
      return flow.workspace;
    }
  };
  using flow_table = boost::intrusive::unordered_set<
      workspace_flow,
      boost::intrusive::base_hook<
          boost::intrusive::unordered_set_base_hook<boost::intrusive::tag<table_hook>>>,
      boost::intrusive::key_of_value<workspace_key>,
      boost::intrusive::power_2_buckets<true>>;
  using idle_list =
      boost::intrusive::list<workspace_flow,
                             boost::intrusive::base_hook<boost::intrusive::list_base_hook<
                                 boost::intrusive::tag<idle_hook>>>>;

  [[nodiscard]] workspace_flow* FindFlow(std::uint64_t workspace);
  [[nodiscard]] const workspace_flow* FindFlow(std::uint64_t workspace) const;
  /// Returns the flow of the request's workspace with its weight updated.
  [[nodiscard]] workspace_flow& FindOrCreateFlow(const admission_request& request);
  /// Unlinks the entry from its flow and makes the flow idle if that was its last entry.
  void Detach(admission_entry& entry);
  void SetWeight(workspace_flow& flow, std::uint32_t weight);
  void UpdateLastFinishTag(workspace_flow& flow);
  /// Returns an idle flow to the free list.
  void ReleaseFlow(workspace_flow& flow);
  /// Releases idle flows that are expired or exceed `idle_capacity_`.
  void EvictIdleFlows();

  const std::size_t idle_capacity_;
  std::deque<workspace_flow> flow_pool_;  ///< Owns all flows; addresses are stable.
  std::vector<flow_table::bucket_type> buckets_;
  flow_table flows_by_workspace_;
  boost::intrusive::set<workspace_flow,
                        boost::intrusive::base_hook<
                            boost::intrusive::set_base_hook<boost::intrusive::tag<start_tag_hook>>>,
                        boost::intrusive::compare<start_tag_order>>
      backlogged_;
  boost::intrusive::set<workspace_flow,
                        boost::intrusive::base_hook<boost::intrusive::set_base_hook<
                            boost::intrusive::tag<last_finish_hook>>>,
                        boost::intrusive::compare<last_finish_order>>
      by_last_finish_;
  idle_list idle_flows_;  ///< Flows without queued entries, least recently used first.
  idle_list free_flows_;  ///< Flows that belong to no workspace.
  std::size_t size_ = 0;
  std::uint64_t virtual_time_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t active_weight_ = 0;  ///< Sum of the weights of the backlogged flows.
};

}  // namespace quincebank
