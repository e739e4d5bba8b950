#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/net/endpoint.h"
#include "quincebank/net/fiber_thread.h"
#include "quincebank/net/http_client.h"
#include "quincebank/testing/child_process.h"

namespace quincebank {

/// \brief Size and behaviour of a deployment on loopback addresses.
struct deployment_plan {
  int entries = 3;
  int drafts = 3;  ///< Replicas of the model service `quince-drafts`.
  int orders = 3;  ///< Replicas of the plain service `order-desk`.
  int cold_limit = 2;
  int full_limit = 16;
  int queue_limit = 64;
  int warm_requests = 8;
  int lookup_ttl_ms = 300;
  int traffic_threads = 2;       ///< Of an entry.
  int shutdown_linger_ms = 200;  ///< Of the agents.
  bool relays = false;  ///< Entries reach each agent through a relay named `relay-` and its name.
  /// Two regions of two failure domains each: hosts are dealt to `qc-east-a`, `qc-west-a`,
  /// `qc-east-b` and `qc-west-b` in turn. Nodes reach each other and the platform, which is in
  /// `qc-east`, through relays, so that `Cut` can part them.
  bool two_regions = false;
  std::vector<std::string> unlisted;        ///< Nodes that the host list does not show at first.
  std::vector<std::string> engine_options;  ///< For the engine stand-ins.
  std::string hedging;  ///< JSON of the model service's member `hedging`; empty for none.
  int ranks = 0;  ///< Ranks of the expert group `quince-group`, all held by the stand-in `ranks`.
  std::vector<std::string> rank_options;    ///< For the rank group stand-in.
  std::vector<std::string> orders_options;  ///< For the plain service stand-ins.
};

/// \brief How the host list shows a host.
enum class host_listing : std::uint8_t {
  kLive,
  kLeaving,
  kAbsent,
};

/// \brief Processes of the system with stand-ins for the platform, each a process of its own.
///
/// Three failure domains in one region; hosts are dealt to them in turn. Process names: `kv`,
/// `hosts`, `entry-N`, `drafts-N`, `orders-N` (upstreams) and `agent-drafts-N`, `agent-orders-N`.
class deployment {
 public:
  explicit deployment(const deployment_plan& plan);
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  /// \brief Starts all processes, applies the configuration and waits until the entries route.
  [[nodiscard]] result<void> Start();

  /// \brief Address at which the process listens.
  [[nodiscard]] endpoint AddressOf(const std::string& process) const;
  /// \brief Address at which other processes reach it: that of its relay, if it has one.
  [[nodiscard]] endpoint ReachedAt(const std::string& process) const;
  [[nodiscard]] child_process& Process(const std::string& name);
  /// \brief Starts a process again that was killed.
  void Restart(const std::string& name);
  /// \brief Marks a host as leaving in the host list.
  void SetLeaving(const std::string& process);
  /// \brief Changes how the host list shows a host.
  void SetListing(const std::string& process, host_listing listing);
  /// \brief Freezes the host list that nodes and tools see, whatever is set later, or shows the
  /// newest one again.
  void FreezeHostList(bool frozen);
  /// \brief Lets nothing pass on connections from callers to targets, in addition to earlier cuts.
  /// \param callers  nodes; `tool` for the operators' tool.
  /// \param targets  nodes, `kv` and `hosts`; they need relays, so a plan with `two_regions`.
  void Cut(const std::vector<std::string>& callers, const std::vector<std::string>& targets);
  /// \brief Cuts the nodes of `qc-west` from all other processes of the system, in both directions.
  void CutRegions();
  /// \brief Lets new connections pass again; those that were cut stay silent.
  void Heal();
  /// \brief Runs the operators' tool and waits for it.
  /// \returns Its exit code; its output goes to `tool_output`.
  int RunTool(const std::vector<std::string>& arguments, std::string* tool_output = nullptr);

  /// \brief Sends one request and reads the whole answer.
  [[nodiscard]] result<http_response> Call(const std::string& process,
                                           const http_request& request,
                                           milliseconds timeout = milliseconds(20'000));
  /// \brief `PUT /control` of a stand-in, relays included.
  void Control(const std::string& process, const std::string& switches);
  /// \brief `GET /control` of a stand-in.
  /// \param query  what to ask for besides the counters; starts with `?`.
  [[nodiscard]] boost::json::value Counters(const std::string& process,
                                            const std::string& query = {});
  /// \brief Waits until `check` holds, at most the duration.
  [[nodiscard]] static bool WaitUntil(const std::function<bool()>& check,
                                      milliseconds duration = milliseconds(20'000));

  [[nodiscard]] const std::string& folder() const noexcept { return folder_; }
  [[nodiscard]] std::vector<std::string> entries() const;
  /// \brief Entries and agents, of all regions or of one.
  [[nodiscard]] std::vector<std::string> nodes(const std::string& region = {}) const;
  /// \brief Region in which a process runs.
  [[nodiscard]] std::string RegionOf(const std::string& process) const;

 private:
  struct process_plan {
    std::string name;
    std::string failure_domain;
    endpoint address;
    std::vector<std::string> arguments;
  };

  void Plan();
  [[nodiscard]] std::string DomainOf(int index) const;
  void AddRelay(const std::string& name, int domain);
  [[nodiscard]] bool HasRelay(const std::string& process) const;
  void AddProcess(std::string name, int domain, std::vector<std::string> arguments);
  void AddNode(const std::string& program, const std::string& name, int domain, std::string extra);
  void AddUpstream(const std::string& kind, int index, std::vector<std::string> options);
  void AddRanks();
  [[nodiscard]] std::string Document() const;
  [[nodiscard]] boost::json::object ExpertGroup() const;
  [[nodiscard]] std::string HostList() const;
  void WriteFile(const std::string& name, const std::string& text) const;
  void StartProcess(const process_plan& process);
  [[nodiscard]] bool EntriesRoute();

  const deployment_plan plan_;
  std::string folder_;
  std::string network_;  ///< First three numbers of this deployment's loopback addresses.
  std::vector<process_plan> processes_;
  std::map<std::string, std::unique_ptr<child_process>> running_;
  std::map<std::string, host_listing> listings_;    ///< Hosts that are not shown as live.
  std::map<std::string, boost::json::array> cuts_;  ///< Sources that each relay cuts off.
  fiber_thread client_thread_{"test-client"};
};

}  // namespace quincebank
