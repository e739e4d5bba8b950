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
  enum class place : std::uint8_t { kFree, kQueued, kInFlight };

  std::uint64_t sequence = 0;
  std::uint32_t index = 0;       ///< Position in the gate's pool.
  std::uint32_t generation = 0;  ///< Counts the uses of this position.
  std::uint32_t cost = 1;
  std::uint8_t priority = 0;
  place where = place::kFree;
  limit_revision revision;
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

struct tag_hook;
struct tail_hook;
struct idle_hook;
struct table_hook;

/// \brief Queue and recent use of one workspace.
struct workspace_flow
    : boost::intrusive::set_base_hook<boost::intrusive::tag<tag_hook>>,
      boost::intrusive::set_base_hook<boost::intrusive::tag<tail_hook>>,
      boost::intrusive::list_base_hook<boost::intrusive::tag<idle_hook>>,
      boost::intrusive::unordered_set_base_hook<boost::intrusive::tag<table_hook>> {
  std::uint64_t workspace = 0;
  std::uint64_t start = 0;   ///< Virtual start time of the next request while queued.
  std::uint64_t finish = 0;  ///< Virtual finish time of the last request served.
  std::uint64_t sequence = 0;
  std::uint64_t tail = 0;  ///< Virtual time at which the last queued request is finished.
  std::uint32_t weight = 1;
  std::array<std::uint32_t, kHighestPriority + 1> by_priority{};
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
  [[nodiscard]] std::size_t Ahead(const admission_request& request) const;
  /// \brief Returns the entry to give up so that the request can be queued: the one that would be
  /// served last, if the request would be served before it.
  /// \returns Null if the request itself is the one to reject.
  [[nodiscard]] admission_entry* Victim(const admission_request& request);
  /// \brief Returns the entry that would be served last; null if empty.
  [[nodiscard]] admission_entry* Last();

  /// \brief Calls `visit` for each queued entry. `visit` may not change the queue.
  template <typename Visitor>
  void Each(Visitor&& visit) {
    for (workspace_flow& flow : backlogged_) {
      for (admission_entry& entry : flow.queued)
        visit(entry);
    }
  }

 private:
  struct tag_order {
    [[nodiscard]] bool operator()(const workspace_flow& a, const workspace_flow& b) const noexcept {
      return a.start != b.start ? a.start < b.start : a.sequence < b.sequence;
    }
  };
  struct tail_order {
    [[nodiscard]] bool operator()(const workspace_flow& a, const workspace_flow& b) const noexcept {
      return a.tail != b.tail ? a.tail > b.tail : a.sequence > b.sequence;
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
  [[nodiscard]] workspace_flow& FlowOf(const admission_request& request);
  void Detach(admission_entry& entry);
  void SetWeight(workspace_flow& flow, std::uint32_t weight);
  void UpdateTail(workspace_flow& flow);
  void Forget(workspace_flow& flow);
  void TrimIdle();

  const std::size_t idle_capacity_;
  std::deque<workspace_flow> flows_;
  std::vector<flow_table::bucket_type> buckets_;
  flow_table table_;
  boost::intrusive::set<
      workspace_flow,
      boost::intrusive::base_hook<boost::intrusive::set_base_hook<boost::intrusive::tag<tag_hook>>>,
      boost::intrusive::compare<tag_order>>
      backlogged_;
  boost::intrusive::set<workspace_flow,
                        boost::intrusive::base_hook<
                            boost::intrusive::set_base_hook<boost::intrusive::tag<tail_hook>>>,
                        boost::intrusive::compare<tail_order>>
      by_tail_;
  idle_list idle_;
  idle_list unused_;
  std::size_t size_ = 0;
  std::uint64_t virtual_time_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t active_weight_ = 0;
};

}  // namespace quincebank
