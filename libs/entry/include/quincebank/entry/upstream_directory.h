#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/entry/entry_snapshot.h"
#include "quincebank/membership/host_view.h"
#include "quincebank/node/node_control.h"

namespace quincebank {

/// \brief Keeps the view of the upstreams and publishes snapshots. Lives on the control thread.
class upstream_directory {
 public:
  upstream_directory(node_control& node, const node_settings& settings, snapshot_box& box);

  /// \brief Starts the polls of agents.
  void Start();
  void OnConfig(const ref_ptr<const effective_config>& config);
  void OnHosts(const std::vector<host_entry>& hosts);
  /// \brief Takes a failed or refused contact. May be called from any thread.
  void Report(std::string upstream, contact what);
  /// \brief Another entry says that it leaves.
  void OnEntryLeaving(std::string_view host);
  /// \brief This entry leaves: it no longer lists itself.
  void SetLeaving();

 private:
  void Loop();
  void Poll(std::uint32_t upstream);
  void TakeHints();
  void ForgetPrompts(std::string_view upstream);
  void Publish();
  [[nodiscard]] bool StatusesChanged();
  [[nodiscard]] ref_ptr<upstream_slot> SlotFor(const upstream_config& upstream);
  [[nodiscard]] service_view ViewOf(std::uint32_t service);
  [[nodiscard]] std::vector<entry_address> ListEntries() const;

  node_control& node_;
  const node_settings settings_;
  snapshot_box& box_;
  rpc_client rpc_;
  host_view view_;
  ref_ptr<const effective_config> config_;
  ref_ptr<const objective_table> objectives_;
  std::vector<host_entry> hosts_;
  std::map<std::string, ref_ptr<upstream_slot>, std::less<>> slots_;
  struct taken_hint {
    time_point heard;
    std::uint64_t boot = 0;
  };
  std::map<std::string, taken_hint, std::less<>> taken_;  ///< Hints already given to the view.
  std::map<std::string, ref_ptr<prompt_notes>, std::less<>> prompts_;  ///< By service.
  std::vector<upstream_status> published_;
  std::vector<std::string> leaving_entries_;
  bool leaving_ = false;
};

}  // namespace quincebank
