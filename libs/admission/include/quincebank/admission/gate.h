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

/// \brief Decides which requests an upstream gets, and when.
///
/// Bounds the work in flight by a limit that starts cold and follows the service times, holds
/// waiting work in a queue that is fair between workspaces, and refuses early what cannot meet its
/// deadline. Not safe for use by several threads at once. Memory is bounded by the settings and
/// does not depend on the number of workspaces.
///
/// \example
///   admission_gate gate(settings);
///   const admission_decision decision = gate.Offer(request, now);
///   if (decision.admitted())
///     Start(decision.ticket);
///   ...
///   gate.Finish(ticket, work_outcome::kServed, service_time, now);
///   const queue_changes changes = gate.NextAdmitted(now);
class admission_gate {
 public:
  explicit admission_gate(const admission_settings& settings);
  admission_gate(const admission_gate&) = delete;
  admission_gate& operator=(const admission_gate&) = delete;

  /// \brief Admits, queues or rejects a request. Call `NextAdmitted` afterwards: queueing a request
  /// can displace another one.
  [[nodiscard]] admission_decision Offer(const admission_request& request, time_point now);

  /// \brief Ends admitted work. A ticket that is unknown or still queued is ignored.
  ///
  /// \param service_time  compared with `ramp_settings::good_service_time`; a measure that does not
  ///     depend on the size of the request (such as the time to the first token) gives the
  ///     steadiest limit. How long the slot was occupied is measured by the gate itself.
  void Finish(admission_ticket ticket,
              work_outcome outcome,
              milliseconds service_time,
              time_point now);

  /// \brief Reports the service time of running work, measured over the last moments (such as the
  /// time per token), on the scale of `Finish`. It only ever lowers the limit. Without it, an
  /// upstream that turns cold unannounced is noticed when the first slow work finishes.
  void ReportServiceTime(admission_ticket ticket, milliseconds service_time);

  /// \brief Withdraws a request whose caller has left. A queued one leaves the queue; admitted work
  /// frees its slot without being evidence, so call it for such work only once the upstream has
  /// stopped running it.
  void Cancel(admission_ticket ticket);

  /// \brief Returns what to start and what to reject now. Call after `Offer`, `Finish`, `Cancel`
  /// and the events below, and at least every 100 ms so that expired work leaves the queue.
  [[nodiscard]] queue_changes ProcessQueue(time_point now);

  /// \brief Reports the engine's boot number. A changed number sends the limit back to cold.
  void OnUpstreamBoot(std::uint64_t boot_number);
  /// \brief Reports that the upstream can no longer be reached, or dropped its connections. Sends
  /// the limit back to cold. One failed request is `Finish` with `work_outcome::kUpstreamError`.
  void OnConnectionLost();
  /// \brief While draining, new and queued work is rejected and running work goes on. The end of a
  /// drain starts cold.
  void SetDraining(bool draining);

  /// \brief Changes the limits, as a new configuration may. Accepted work keeps its ticket; queued
  /// work above a smaller queue limit is shed by the next `NextAdmitted`.
  void SetLimits(std::size_t cold_limit, std::size_t full_limit, std::size_t queue_limit);
  /// \brief Changes `ramp_settings::warm_requests`.
  void SetWarmRequests(std::size_t warm_requests) noexcept;

  [[nodiscard]] admission_state State() const noexcept;

 private:
  using entry = admission_entry;

  [[nodiscard]] entry* Find(admission_ticket ticket) noexcept;
  [[nodiscard]] std::size_t QueueLimit() const noexcept;
  [[nodiscard]] bool CanMeetDeadline(const admission_request& request) const noexcept;
  [[nodiscard]] milliseconds RetryAfter() const noexcept;
  [[nodiscard]] rejection MakeRejection(shed_reason reason) const;
  [[nodiscard]] admission_decision Enqueue(const admission_request& request, time_point now);
  void Start(entry& work, time_point now) noexcept;
  void Shed(entry& work, shed_reason reason);
  void ShedExpired(time_point now);
  [[nodiscard]] entry* Allocate() noexcept;
  void Release(entry& work) noexcept;

  void GrowPool();

  admission_settings settings_;
  std::deque<entry> entries_;  // before `queue_`, which links its elements
  std::vector<std::uint32_t> free_indices_;
  concurrency_limit limit_;
  occupancy_estimate occupancy_;
  fair_queue queue_;
  std::vector<shed_ticket> shed_;
  std::size_t in_flight_ = 0;
  std::optional<std::uint64_t> boot_number_;
  time_point next_expiry_sweep_;
  bool draining_ = false;
};

}  // namespace quincebank
