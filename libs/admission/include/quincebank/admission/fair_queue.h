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

/// \brief One request known to the gate, queued or in flight.
struct admission_entry : boost::intrusive::set_base_hook<> {
  enum class entry_state : std::uint8_t { kFree, kQueued, kInFlight };

  std::uint64_t sequence = 0;
  std::uint32_t index = 0;       ///< Position in the gate's pool.
  std::uint32_t generation = 0;  ///< Counts the uses of this position.
  std::uint32_t cost = 1;
  std::uint8_t priority = 0;
  entry_state state = entry_state::kFree;
  limit_mark mark;
  time_point started;
  time_point deadline = time_point::max();
  workspace_flow* flow = nullptr;
};

/// \brief Orders the requests of one workspace: higher priority first, then by arrival.
struct entry_order {
  [[nodiscard]] bool operator()(const admission_entry& a, const admission_entry& b) const noexcept {
    return a.priority != b.priority ? a.priority > b.priority : a.sequence < b.sequence;
  }
};

struct start_tag_hook;
struct last_finish_hook;
struct idle_hook;
struct table_hook;

/// \brief Queue and recent use of one workspace.
struct workspace_flow
    : boost::intrusive::set_base_hook<boost::intrusive::tag<start_tag_hook>>,
      boost::intrusive::set_base_hook<boost::intrusive::tag<last_finish_hook>>,
      boost::intrusive::list_base_hook<boost::intrusive::tag<idle_hook>>,
      boost::intrusive::unordered_set_base_hook<boost::intrusive::tag<table_hook>> {
  std::uint64_t workspace = 0;
  std::uint64_t start_tag = 0;   ///< Virtual start time of the next request while queued.
  std::uint64_t finish_tag = 0;  ///< Virtual finish time of the last request served.
  std::uint64_t sequence = 0;
  std::uint64_t last_finish_tag =
      0;  ///< Virtual time at which the last queued request is finished.
  std::uint32_t weight = 1;
  std::array<std::uint32_t, kHighestPriority + 1> queued_by_priority{};
  boost::intrusive::set<admission_entry, boost::intrusive::compare<entry_order>> queued;
};

/// \brief Start-time fair queue between workspaces.
///
/// Serves the workspace with the lowest virtual start time; each request moves its workspace on by
/// cost divided by weight. State of a workspace is kept only while it has queued work or its recent
/// use still matters, so memory is bounded by the capacity and not by the number of workspaces. All
/// operations take logarithmic time in the number of queued requests and allocate nothing.
class fair_queue {
 public:
  fair_queue(std::size_t capacity, std::size_t idle_capacity);
  ~fair_queue();
  fair_queue(const fair_queue&) = delete;
  fair_queue& operator=(const fair_queue&) = delete;

  /// \brief Makes room for more queued requests. The capacity never shrinks.
  void Reserve(std::size_t capacity);

  [[nodiscard]] std::size_t size() const noexcept { return size_; }
  [[nodiscard]] bool empty() const noexcept { return size_ == 0; }

  void Push(admission_entry& entry, const admission_request& request);
  /// \brief Returns the next entry to serve; null if empty.
  [[nodiscard]] const admission_entry* First() const noexcept {
    return backlogged_.empty() ? nullptr : &*backlogged_.begin()->queued.begin();
  }
  /// \brief Removes the next entry to serve and charges its workspace; null if empty.
  [[nodiscard]] admission_entry* Pop();
  void Remove(admission_entry& entry);
  /// \brief Charges a workspace for a request that was served without queueing.
  void Charge(const admission_request& request);

  /// \brief Estimates how many queued requests would be served before this one, in constant time.
  [[nodiscard]] std::size_t EstimateAhead(const admission_request& request) const;
  /// \brief Returns the entry to give up so that the request can be queued: the one that would be
  /// served last, if the request would be served before it.
  /// \returns Null if the request itself is the one to reject.
  [[nodiscard]] admission_entry* FindVictim(const admission_request& request);
  /// \brief Returns the entry that would be served last; null if empty.
  [[nodiscard]] admission_entry* Last();

  /// \brief Calls `visit` for each queued entry. `visit` may not change the queue.
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
  [[nodiscard]] workspace_flow& FindOrCreateFlow(const admission_request& request);
  void Detach(admission_entry& entry);
  void SetWeight(workspace_flow& flow, std::uint32_t weight);
  void UpdateLastFinishTag(workspace_flow& flow);
  void ReleaseFlow(workspace_flow& flow);
  void EvictIdleFlows();

  const std::size_t idle_capacity_;
  std::deque<workspace_flow> flow_pool_;
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
  idle_list idle_flows_;
  idle_list free_flows_;
  std::size_t size_ = 0;
  std::uint64_t virtual_time_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t active_weight_ = 0;
};

}  // namespace quincebank
