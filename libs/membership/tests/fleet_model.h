#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "quincebank/base/random.h"
#include "quincebank/config/config.h"
#include "quincebank/membership/membership.h"

namespace quincebank {

struct fleet_options {
  std::size_t nodes = 20;
  std::size_t regions = 2;
  double loss = 0;  ///< Share of requests and of answers that never arrive.
  std::uint64_t seed = 1;
  std::size_t workspaces = 0;  ///< In the document.
  std::size_t per_section = 500;
};

struct fleet_counts {
  std::uint64_t messages = 0;  ///< Requests and answers between nodes, and offers.
  std::uint64_t bytes = 0;     ///< Of these messages, with an assumed overhead of HTTP.
  std::uint64_t reads = 0;     ///< Calls to the key-value service.
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;  ///< Blocked watches, each counted when it starts.
};

/// Exchange of configurations between nodes in virtual time. Each node is a real `config_holder`
/// and `config_exchange`; messages, the key-value service and the writer are modelled.
class fleet_model {
 public:
  explicit fleet_model(fleet_options options);
  fleet_model(const fleet_model&) = delete;
  fleet_model& operator=(const fleet_model&) = delete;
  ~fleet_model();

  /// Runs all events up to a time since the start.
  void RunUntil(milliseconds end);
  /// Runs until all running nodes hold the version, at most up to `end`.
  bool RunUntilHeld(std::uint64_t version, milliseconds end);

  /// Writes the next version to the service; `drained` is the state of the first failure domain.
  std::uint64_t Write(bool drained);
  /// Offers the last written root directly, to at most `targets` nodes, as the tool does.
  void Offer(std::size_t targets = SIZE_MAX);
  void SetServiceUp(bool up) { service_up_ = up; }
  /// Nodes for which `in_part` holds reach only one another, without the service and the tool.
  void Cut(const std::function<bool(const config_peer&)>& in_part);
  void Heal();
  void Stop(std::size_t node);
  /// Starts a new process on the host; it holds nothing.
  void Start(std::size_t node);

  [[nodiscard]] std::size_t size() const noexcept { return nodes_.size(); }
  [[nodiscard]] const config_peer& peer(std::size_t node) const { return peers_[node]; }
  [[nodiscard]] bool IsRunning(std::size_t node) const { return nodes_[node] != nullptr; }
  [[nodiscard]] const config_holder& holder(std::size_t node) const;
  [[nodiscard]] bool IsWatcher(std::size_t node) const;
  [[nodiscard]] holder_status Status(std::size_t node) const;
  [[nodiscard]] milliseconds now() const noexcept { return now_; }
  /// Nodes that ever held a version below one that their host held before.
  [[nodiscard]] std::size_t reverts() const noexcept { return reverts_; }
  /// Time of the last adoption on any node.
  [[nodiscard]] milliseconds last_adoption() const noexcept { return last_adoption_; }
  [[nodiscard]] const fleet_counts& counts() const noexcept { return counts_; }
  [[nodiscard]] const std::vector<std::uint64_t>& node_bytes() const noexcept {
    return node_bytes_;
  }

 private:
  struct node;
  struct event {
    milliseconds at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  [[nodiscard]] time_point At(milliseconds at) const { return time_point(seconds(1'000)) + at; }
  void After(milliseconds delay, std::function<void()> run);
  milliseconds Latency(std::size_t from, std::size_t to);
  [[nodiscard]] bool Reaches(std::size_t from, std::size_t to) const;
  bool Lost() { return random_.Unit() < options_.loss; }
  void Count(std::size_t from, std::size_t to, std::size_t bytes);

  void Tick(std::size_t index, std::uint64_t life);
  void Run(std::size_t index, const exchange_action& action);
  /// Sends a request; `reply` runs at the caller with the answer, or with null after the timeout.
  void Call(std::size_t from,
            std::size_t to,
            milliseconds timeout,
            std::function<std::optional<std::string>(node&)> serve,
            const std::function<void(node&, const std::string*)>& reply);
  void CallService(std::size_t index, const exchange_action& action);
  void OfferTo(std::size_t index, std::size_t tries);
  void Observe(std::size_t index);

  const fleet_options options_;
  random_source random_;
  std::vector<config_peer> peers_;
  std::map<std::string, std::size_t, std::less<>> index_of_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::vector<std::uint64_t> lives_;
  std::vector<std::uint64_t> highest_;  ///< Highest version that each host ever held.
  std::vector<bool> in_part_;
  std::vector<event> events_;  ///< Heap, the earliest first.
  std::uint64_t order_ = 0;
  milliseconds now_{0};

  bool service_up_ = true;
  std::optional<stored_value> root_;
  std::map<std::string, std::string> bodies_;
  std::vector<std::function<void()>> watches_;
  config_snapshot written_;
  std::vector<std::string> offer_;  ///< Root body and the changed section bodies.
  milliseconds written_at_{0};

  std::size_t reverts_ = 0;
  milliseconds last_adoption_{0};
  fleet_counts counts_;
  std::vector<std::uint64_t> node_bytes_;
};

}  // namespace quincebank
