#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "quincebank/admission/concurrency_limit.h"
#include "quincebank/admission/fair_queue.h"
#include "quincebank/admission/occupancy.h"
#include "quincebank/admission/request.h"
#include "quincebank/admission/settings.h"
#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Admission control for one upstream: admits, queues or rejects requests.
///
/// Limits the requests in flight with an adaptive concurrency limit that starts at the cold limit
/// and follows the service times, queues requests fairly between workspaces, and rejects early
/// those that cannot meet their deadline. Not thread-safe. Memory is bounded by the settings and
/// does not depend on the number of workspaces.
///
/// \example
///   admission_gate gate(settings);
///   const admission_decision decision = gate.Offer(request, now);
///   if (decision.admitted())
///     Start(decision.ticket);
///   ...
///   gate.Finish(ticket, work_outcome::kServed, service_time, now);
///   const queue_changes changes = gate.ProcessQueue(now);
class admission_gate {
 public:
  explicit admission_gate(const admission_settings& settings);
  admission_gate(const admission_gate&) = delete;
  admission_gate& operator=(const admission_gate&) = delete;

  /// \brief Admits, queues or rejects a request. Call `ProcessQueue` afterwards: queueing a request
  /// can displace another one.
  [[nodiscard]] admission_decision Offer(const admission_request& request, time_point now);

  /// \brief Reports that an admitted request has ended and frees its slot. A ticket that is unknown
  /// or still queued is ignored.
  ///
  /// \param service_time  compared with `ramp_settings::good_service_time`. A measure that does not
  ///     depend on the size of the request, such as the time to the first token, gives the most
  ///     stable limit. The gate measures by itself how long the slot was occupied.
  void Finish(admission_ticket ticket,
              work_outcome outcome,
              milliseconds service_time,
              time_point now);

  /// \brief Reports the recent service time of a request in flight, for example derived from its
  /// time per token, on the same scale as in `Finish`. Can lower the limit but never raises it.
  /// Without it, an upstream that turns cold without an event is noticed only when the first slow
  /// request finishes. A ticket that is unknown or still queued is ignored.
  void ReportServiceTime(admission_ticket ticket, milliseconds service_time);

  /// \brief Cancels a request whose caller has disconnected. A queued request leaves the queue. An
  /// admitted one frees its slot without affecting the limit, so call this only after the upstream
  /// has stopped running it.
  void Cancel(admission_ticket ticket);

  /// \brief Admits queued requests into free slots and sheds those that expired or no longer fit in
  /// the queue. Call after `Offer`, `Finish`, `Cancel` and the events below, and at least every
  /// 100 ms so that expired requests leave the queue.
  /// \returns The requests to start and those to reject, including ones displaced by `Offer`.
  [[nodiscard]] queue_changes ProcessQueue(time_point now);

  /// \brief Reports the engine's boot number. A change, in either direction, means that the engine
  /// restarted and resets the limit to the cold limit.
  void OnUpstreamBoot(std::uint64_t boot_number);
  /// \brief Reports that the upstream is unreachable or dropped its connections. Resets the limit
  /// to the cold limit. For one failed request, call `Finish` with `work_outcome::kUpstreamError`.
  void OnConnectionLost();
  /// \brief Starts or ends draining. While draining, new and queued requests are rejected and those
  /// in flight continue. After a drain the limit starts at the cold limit.
  void SetDraining(bool draining);

  /// \brief Applies changed limits of the configuration. Accepted requests keep their tickets;
  /// queued requests above a smaller queue limit are shed by the next `ProcessQueue`.
  void SetLimits(std::size_t cold_limit, std::size_t full_limit, std::size_t queue_limit);
  /// \brief Changes `ramp_settings::warm_requests`.
  void SetWarmRequests(std::size_t warm_requests) noexcept;

  [[nodiscard]] admission_state State() const noexcept;

 private:
  using entry = admission_entry;

  /// Returns the entry of a ticket; null if the ticket is unknown or no longer valid.
  [[nodiscard]] entry* Find(admission_ticket ticket) noexcept;
  /// Queue limit in effect: 0 while draining or cold, else in proportion to the limit.
  [[nodiscard]] std::size_t QueueLimit() const noexcept;
  [[nodiscard]] bool CanMeetDeadline(const admission_request& request) const noexcept;
  [[nodiscard]] milliseconds RetryAfter() const noexcept;
  [[nodiscard]] rejection MakeRejection(shed_reason reason) const;
  [[nodiscard]] admission_decision Enqueue(const admission_request& request, time_point now);
  void Start(entry& work, time_point now) noexcept;
  void Shed(entry& work, shed_reason reason);
  void ShedExpired(time_point now);
  /// Takes an entry from the pool; null if none is free.
  [[nodiscard]] entry* Allocate() noexcept;
  void Release(entry& work) noexcept;

  void GrowPool();

  admission_settings settings_;
  std::deque<entry> entries_;  // Declared before `queue_`, which holds links to its elements.
  std::vector<std::uint32_t> free_indices_;
  concurrency_limit limit_;
  occupancy_estimate occupancy_;
  fair_queue queue_;
  std::vector<shed_ticket> shed_;  ///< Not yet returned by `ProcessQueue`.
  std::size_t in_flight_ = 0;
  std::optional<std::uint64_t> boot_number_;
  time_point next_expiry_sweep_;
  bool draining_ = false;
};

}  // namespace quincebank
