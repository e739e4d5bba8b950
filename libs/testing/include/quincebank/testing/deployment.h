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
  bool relays = false;  ///< Entries reach each agent through a relay named `relay-` and its name.
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
/// Three failure domains; hosts are dealt to them in turn. Process names: `kv`, `hosts`,
/// `entry-N`, `drafts-N`, `orders-N` (upstreams) and `agent-drafts-N`, `agent-orders-N`.
class deployment {
 public:
  explicit deployment(const deployment_plan& plan);
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  /// \brief Starts all processes, applies the configuration and waits until the entries route.
  [[nodiscard]] result<void> Start();

  [[nodiscard]] endpoint AddressOf(const std::string& process) const;
  [[nodiscard]] child_process& Process(const std::string& name);
  /// \brief Starts a process again that was killed.
  void Restart(const std::string& name);
  /// \brief Marks a host as leaving in the host list.
  void SetLeaving(const std::string& process);
  /// \brief Changes how the host list shows a host.
  void SetListing(const std::string& process, host_listing listing);
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

 private:
  struct process_plan {
    std::string name;
    std::string failure_domain;
    endpoint address;
    std::vector<std::string> arguments;
  };

  void Plan();
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
  std::map<std::string, host_listing> listings_;  ///< Hosts that are not shown as live.
  fiber_thread client_thread_{"test-client"};
};

}  // namespace quincebank
