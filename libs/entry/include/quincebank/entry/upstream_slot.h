#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <utility>

#include "quincebank/base/ids.h"
#include "quincebank/base/ref_counted.h"
#include "quincebank/base/time.h"
#include "quincebank/messages/agent_load.h"
#include "quincebank/net/endpoint.h"
#include "quincebank/routing/load.h"

namespace quincebank {

/// \brief Live numbers of one upstream, shared by the threads of an entry.
///
/// They are hints: a wrong one costs a "not run" refusal by the agent and another choice.
class upstream_slot : public ref_counted<upstream_slot> {
 public:
  upstream_slot(std::string name, endpoint agent)
      : name_(std::move(name)), agent_(std::move(agent)) {}

  [[nodiscard]] const std::string& name() const noexcept { return name_; }
  [[nodiscard]] const endpoint& agent() const noexcept { return agent_; }

  void OnLoad(const agent_load& load, time_point now) noexcept {
    in_flight_ = load.in_flight;
    queued_ = load.queued;
    limit_ = load.limit;
    cold_ = load.cold;
    draining_ = load.draining;
    leaving_ = load.leaving;
    life_ = load.life.value;
    boot_ = load.boot;
    sent_since_ = 0;
    heard_at_ = now.time_since_epoch().count();
  }

  void OnSent() noexcept { ++sent_since_; }

  /// \brief A call to the agent got no answer in time: connections that have not answered since its
  /// start may all be dead. Each thread has connections of its own; this tells the other threads.
  void OnSilent(time_point since) noexcept { silent_since_ = since.time_since_epoch().count(); }
  /// \brief Returns the start of the last silence, or the epoch.
  [[nodiscard]] time_point silent_since() const noexcept {
    return time_point(time_point::duration(silent_since_.load()));
  }

  [[nodiscard]] upstream_load Read(time_point now) const noexcept {
    const time_point heard = heard_at();
    upstream_load load;
    if (heard == time_point())
      return load;
    load.in_flight = in_flight_;
    load.queued = queued_;
    load.limit = limit_;
    load.cold = cold_;
    load.closed = draining_ || leaving_;
    load.age = std::chrono::duration_cast<milliseconds>(now - heard);
    load.sent_since = sent_since_;
    return load;
  }

  /// \brief Returns the time of the last answer, or the epoch if there was none.
  [[nodiscard]] time_point heard_at() const noexcept {
    return time_point(time_point::duration(heard_at_.load()));
  }
  /// \brief Returns the agent's incarnation; 0 while unknown.
  [[nodiscard]] incarnation life() const noexcept { return incarnation{life_}; }
  /// \brief Returns the boot number of the upstream; 0 while unknown.
  [[nodiscard]] std::uint64_t boot() const noexcept { return boot_; }
  [[nodiscard]] bool draining() const noexcept { return draining_; }
  [[nodiscard]] bool leaving() const noexcept { return leaving_; }

 private:
  const std::string name_;
  const endpoint agent_;
  std::atomic<std::uint32_t> in_flight_{0};
  std::atomic<std::uint32_t> queued_{0};
  std::atomic<std::uint32_t> limit_{0};
  std::atomic<std::uint32_t> sent_since_{0};
  std::atomic<bool> cold_{false};
  std::atomic<bool> draining_{false};
  std::atomic<bool> leaving_{false};
  std::atomic<std::uint64_t> life_{0};
  std::atomic<std::uint64_t> boot_{0};
  std::atomic<time_point::rep> heard_at_{0};
  std::atomic<time_point::rep> silent_since_{0};
};

}  // namespace quincebank
